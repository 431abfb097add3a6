"""Log lines about single requests: why one was refused, failed or retried, or its attempt was not begun.

Each event is limited for each of its reasons (`EventLimit`): a line names the latest request, and how many
there were since the line before. Request records (docs/records.md) have every request.
"""

from __future__ import annotations

import time

from anisespool.log import EventLimit, log_event
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.exchange import Exchange
from anisespool.upstream.attempt import Attempt

NO_ATTEMPT = "no_attempt"


class RequestLog:
    """Writes the lines of one proxy."""

    def __init__(self) -> None:
        self._unserved = EventLimit()
        self._retried = EventLimit()
        self._abandoned = EventLimit()
        self._not_begun = EventLimit()

    def unserved(self, request_id: int, exchange: Exchange, response: FinalResponse) -> None:
        """Log that a request got another response than an endpoint's."""
        reason = _last_status(exchange)
        if count := self._unserved.count_to_log(f"{response.status} {reason}"):
            log_event(
                "request_unserved",
                request=request_id,
                trace_id=_trace_id(exchange),
                status=response.status,
                reason=reason,
                attempts=len(exchange.attempts),
                count=count,
            )

    def retried(self, attempt: Attempt, exchange: Exchange) -> None:
        """Log that a further attempt of a request begins."""
        reason = _last_status(exchange)
        if count := self._retried.count_to_log(reason):
            log_event(
                "request_retried",
                request=attempt.request_id,
                trace_id=_trace_id(exchange),
                number=attempt.endpoint,
                reason=reason,
                count=count,
            )

    def not_begun(self, attempt: Attempt, exchange: Exchange, reason: str) -> None:
        """Log that an attempt that was decided on does not begin."""
        if count := self._not_begun.count_to_log(reason):
            log_event(
                "attempt_not_begun",
                request=attempt.request_id,
                trace_id=_trace_id(exchange),
                number=attempt.endpoint,
                reason=reason,
                count=count,
            )

    def abandoned(self, request_id: int, exchange: Exchange) -> None:
        """Log that a client has left before its response."""
        reason = _last_status(exchange)
        if count := self._abandoned.count_to_log(reason):
            left_ms = (exchange.attempts_end_at - time.monotonic_ns()) // 1_000_000
            log_event(
                "request_abandoned",
                request=request_id,
                trace_id=_trace_id(exchange),
                reason=reason,
                left_ms=left_ms,
                count=count,
            )


def _last_status(exchange: Exchange) -> str:
    """Name the state of a request's latest attempt: its status, `in_flight`, or `no_attempt`."""
    if not exchange.attempts:
        return NO_ATTEMPT
    status = exchange.attempts[-1].status
    return "in_flight" if status is None else status.name.lower()


def _trace_id(exchange: Exchange) -> str:
    return exchange.call.trace_id.decode("latin-1")
