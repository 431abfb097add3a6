"""One attempt of a request at one endpoint.

An attempt ends in exactly one status (attempt_outcome.py), and each status belongs to one of three outcomes:
the request succeeded, it was provably not executed (the statuses in `NOT_EXECUTED`), or it may have been
executed. Only a request that was not executed, or that is idempotent, may be sent again.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from anisespool.balancer.interface import NOT_EXECUTED, AttemptStatus
from anisespool.codec import http1
from anisespool.upstream.attempt_outcome import status_of_timeout


class AttemptConnection(Protocol):
    """What an attempt needs of the connection that carries it."""

    has_unsent_bytes: bool
    """Part of the request has not been handed to the kernel, so the endpoint can't have executed it."""

    def on_response_timeout(self, since_ns: int) -> None:
        """Handle a response that did not come in time.

        Args:
            since_ns: When the attempt started (monotonic ns).
        """

    def abort(self) -> None:
        """Close at once, without flushing what is still to be written."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the balancer's decision to send it until its one status.

    `on_finished` is called exactly once, with the attempt, when `status` is set. Times are monotonic ns.
    """

    request_id: int
    number: int
    """Position among the request's attempts, from 0."""
    endpoint: int
    request: http1.Request
    deadline_ns: int
    on_finished: Callable[[Attempt], None]
    status: AttemptStatus | None = None
    response: http1.Response | None = None
    load: tuple[float, ...] = ()
    """Columns of the endpoint's load report; empty where the response had none."""
    connection: AttemptConnection | None = None
    started_ns: int = field(init=False)
    finished_ns: int = 0
    """Set only where request records are kept."""
    _timer: asyncio.TimerHandle = field(init=False)

    def __post_init__(self) -> None:
        """Start the timer that ends the attempt at its deadline."""
        self.started_ns = time.monotonic_ns()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self.deadline_ns / 1e9, self.abort, AttemptStatus.TIMEOUT)

    def finish(self, status: AttemptStatus, response: http1.Response | None = None) -> None:
        """Set the status and notify the owner. Only the first call has an effect."""
        if self.status is None:
            self.status = status
            self.response = response
            self._timer.cancel()
            self.on_finished(self)

    def abort(self, status: AttemptStatus) -> None:
        """Stop waiting for a response and close the connection.

        On a timeout the status becomes `CONNECT_FAILED` where the request never left completely: then it
        was not executed, whatever ended the attempt.
        """
        if self.status is not None:
            return
        connection = self.connection
        self.connection = None
        if connection and status is AttemptStatus.TIMEOUT:
            connection.on_response_timeout(self.started_ns)
        unsent = connection is None or connection.has_unsent_bytes
        if connection:
            connection.abort()
        self.finish(status_of_timeout(unsent) if status is AttemptStatus.TIMEOUT else status)

    @property
    def may_have_executed(self) -> bool:
        """Whether nothing proves that the endpoint did not execute the request.

        An attempt without a status was not executed as long as part of its request has not been sent.
        """
        if self.status is not None:
            return self.status not in NOT_EXECUTED
        return self.connection is not None and not self.connection.has_unsent_bytes
