"""The state of one client request, from its arrival until its last attempt has finished."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from anisespool.balancer.interface import Idempotency, RequestClass
from anisespool.balancer.retry.idempotency import may_client_retry
from anisespool.proxy.call import Call, FinalResponse
from anisespool.upstream.attempt import Attempt

# 503 permits the client to retry, so it is sent only if a retry is harmless; 504 gives no such permission.
RETRYABLE_RESPONSE = FinalResponse(503, b"no decision in time\n")
NON_RETRYABLE_RESPONSE = FinalResponse(504, b"no answer in time\n")


class BackstopReason(StrEnum):
    """Why a request's time was over when the proxy responded without the balancer."""

    NO_DECISION = "no_decision"
    """Its client was about to give up."""
    SHUTDOWN = "shutdown"
    """The process was about to end."""
    NEXT_REQUEST = "next_request"
    """A later request on its connection, which is answered after it, would have been lost."""


class Completion(NamedTuple):
    """How and when a request ended, for request records."""

    status: int
    """Status of the final response; 0 if the client disconnected first."""
    at_ns: int
    retry_after_s: float


@dataclass(slots=True, eq=False)
class Exchange:
    """State of one request. Times are monotonic ns."""

    call: Call
    attempts_end_at: int
    """Time when all attempts end, which is before the client gives up (proxy/deadlines.py)."""
    send_response: Callable[[FinalResponse], None] | None
    """Sends the final response; None once it was sent or the client has disconnected."""
    client_has_left: Callable[[], bool]
    """Whether the client has disconnected, even if the listener has not read that yet."""
    attempts: list[Attempt] = field(default_factory=list)
    backstop: asyncio.TimerHandle | None = None
    """Timer after which the proxy responds without the balancer."""
    backstop_reason: BackstopReason = BackstopReason.NO_DECISION
    """Reason of the backstop, unless the process shuts down by then."""
    was_executed: bool = False
    """Whether `may_have_executed` was true when sending was stopped."""
    completion: Completion | None = None
    """Set only if request records are kept."""

    def close(self) -> None:
        """Mark the request as answered, or as abandoned by its client, and cancel the backstop."""
        self.send_response = None
        if self.backstop:
            self.backstop.cancel()

    def stop_sending(self) -> None:
        """Close the connections of unfinished attempts. Nothing is sent for a request after its response."""
        self.was_executed = self.may_have_executed
        for attempt in self.attempts:
            attempt.stop_sending()

    def set_backstop(self, at_ns: int, on_expiry: Callable[[int], None], request_id: int) -> None:
        """Start the timer that calls `on_expiry(request_id)` at `at_ns`, replacing an earlier one."""
        if self.backstop:
            self.backstop.cancel()
        loop = asyncio.get_running_loop()
        self.backstop = loop.call_at(at_ns / 1e9, on_expiry, request_id)

    @property
    def is_finished(self) -> bool:
        """Whether no response is due any more and every attempt has its status."""
        return self.send_response is None and all(attempt.status is not None for attempt in self.attempts)

    @property
    def may_have_executed(self) -> bool:
        """Whether an endpoint may have executed the request."""
        return self.was_executed or any(attempt.may_have_executed for attempt in self.attempts)

    def retries_end_at(self, request_class: RequestClass) -> float:
        """Return the time after which no further attempt may begin, because it could execute twice.

        Endpoints discard a repeated idempotency key for a limited time, counted from the first attempt that
        may have executed.
        """
        if request_class.idempotency is not Idempotency.WITH_KEY:
            return math.inf
        executed = (attempt.started_ns for attempt in self.attempts if attempt.may_have_executed)
        return min(executed, default=math.inf) + request_class.dedup_window_ns

    def backstop_response(self, request_class: RequestClass) -> FinalResponse:
        """Return the response to send if the balancer has not decided in time.

        It follows the balancer's rule on whether the client may retry.
        """
        may_retry = may_client_retry(request_class, self.may_have_executed)
        return RETRYABLE_RESPONSE if may_retry else NON_RETRYABLE_RESPONSE
