"""One client request from its arrival until its last attempt has finished."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.balancer.interface import RequestClass
from anisespool.balancer.retry.idempotency import may_client_retry
from anisespool.proxy.call import Call, FinalResponse
from anisespool.upstream.attempt import Attempt

# 503 allows the client a retry, so it is sent only where one is harmless; 504 promises nothing.
RETRY_IS_HARMLESS = FinalResponse(503, b"no decision in time\n")
MAY_HAVE_EXECUTED = FinalResponse(504, b"no answer in time\n")


class Completion(NamedTuple):
    """How a request ended, for request records."""

    status: int
    """Of the final response; 0: the client disconnected first."""
    at_ns: int
    retry_after_s: float


@dataclass(slots=True, eq=False)
class Exchange:
    """A request's state. Instants are monotonic ns."""

    call: Call
    attempts_end_at: int
    """Before the client gives up (proxy/deadlines.py)."""
    send_response: Callable[[FinalResponse], None] | None
    """Delivers the final response. None: it was sent, or the client disconnected."""
    attempts: list[Attempt] = field(default_factory=list)
    backstop: asyncio.TimerHandle | None = None
    """Timer for a response without the balancer."""
    completion: Completion | None = None
    """Set only where request records are kept."""

    def close(self) -> None:
        """Mark the request as responded to, or as abandoned by its client."""
        self.send_response = None
        if self.backstop:
            self.backstop.cancel()

    def set_backstop(self, at_ns: int, on_expiry: Callable[[int], None], request_id: int) -> None:
        """Set or replace the timer that calls `on_expiry(request_id)` at `at_ns`."""
        if self.backstop:
            self.backstop.cancel()
        loop = asyncio.get_running_loop()
        self.backstop = loop.call_at(at_ns / 1e9, on_expiry, request_id)

    @property
    def is_finished(self) -> bool:
        """Whether the response was sent, or the client disconnected, and every attempt has its status."""
        return self.send_response is None and all(attempt.status is not None for attempt in self.attempts)

    def backstop_response(self, request_class: RequestClass) -> FinalResponse:
        """The response where the balancer made no decision in time; the balancer's rule on retries holds."""
        may_have_executed = any(attempt.may_have_executed for attempt in self.attempts)
        is_harmless = may_client_retry(request_class, may_have_executed)
        return RETRY_IS_HARMLESS if is_harmless else MAY_HAVE_EXECUTED
