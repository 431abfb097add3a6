"""One attempt of a request at one endpoint.

An attempt ends in exactly one status (attempt_outcome.py). Each status stands for one of three outcomes: the
request succeeded, it was provably not executed (the statuses in `NOT_EXECUTED`), or it may have been
executed. A request may be sent again only if it was not executed or is idempotent.
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
    """Interface of the connection that carries an attempt."""

    has_unsent_bytes: bool
    """Whether the kernel lacks part of the request. If so, the endpoint can't have executed it."""

    def on_response_timeout(self, since_ns: int) -> None:
        """Handle a response that did not arrive in time.

        Args:
            since_ns: Start time of the attempt (monotonic ns).
        """

    def abort(self) -> None:
        """Close now. The part of a request that the endpoint has not received is never sent."""


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the balancer's decision to send it until its final status.

    `on_finished` is called exactly once, with the attempt, when `status` is set. `end_if_obsolete` is
    called with the attempt before it begins, and ends it if its request may not be sent any more. Times are
    monotonic ns.
    """

    request_id: int
    number: int
    """Index among the request's attempts, from 0."""
    endpoint: int
    """The endpoint's number (proxy/endpoint_registry.py)."""
    request: http1.Request
    deadline_ns: int
    on_finished: Callable[[Attempt], None]
    end_if_obsolete: Callable[[Attempt], None]
    status: AttemptStatus | None = None
    response: http1.Response | None = None
    load: tuple[float, ...] = ()
    """Values of the endpoint's load report in column order; empty if the response had no valid report."""
    connection: AttemptConnection | None = None
    started_ns: int = field(init=False)
    finished_ns: int = 0
    """Set only if request records are kept."""
    _timer: asyncio.TimerHandle = field(init=False)

    def __post_init__(self) -> None:
        """Start the timer that aborts the attempt at its deadline."""
        self.started_ns = time.monotonic_ns()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_at(self.deadline_ns / 1e9, self.abort, AttemptStatus.TIMEOUT)

    def may_begin(self) -> bool:
        """Return whether its request may be written now; otherwise the attempt has ended.

        The event loop may have been late, so that the close of the client and the attempt's own time-out are
        past, but not handled yet.
        """
        if self.status is None:
            self.end_if_obsolete(self)
        if self.status is None and time.monotonic_ns() >= self.deadline_ns:
            self.abort(AttemptStatus.TIMEOUT)
        return self.status is None

    def finish(self, status: AttemptStatus, response: http1.Response | None = None) -> None:
        """Set the status and call `on_finished`. Only the first call has an effect."""
        if self.status is None:
            self.status = status
            self.response = response
            self._timer.cancel()
            self.on_finished(self)

    def abort(self, status: AttemptStatus) -> None:
        """Stop waiting for a response and close the connection.

        A timeout before the request was sent completely gives the status `CONNECT_FAILED`, because the
        endpoint can't have executed it.
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

    def stop_sending(self) -> None:
        """Close the connection, so that nothing more is sent, and leave the status to `abort`."""
        connection = self.connection
        self.connection = None
        if connection:
            connection.abort()

    @property
    def may_have_executed(self) -> bool:
        """Whether the endpoint may have executed the request; true unless the contrary is proven.

        As long as part of the request is unsent, an attempt without a status was not executed.
        """
        if self.status is not None:
            return self.status not in NOT_EXECUTED
        return self.connection is not None and not self.connection.has_unsent_bytes
