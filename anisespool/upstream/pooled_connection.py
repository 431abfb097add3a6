"""A connection to an endpoint as its pool sees it.

An interface in a module of its own: `Connection` returns itself to its pool, and the pool manages
connections.
"""

from __future__ import annotations

from typing import Protocol

from anisespool.upstream.attempt import Attempt


class PooledConnection(Protocol):
    """One connection to an endpoint.

    Attributes:
        idle_since_s: Monotonic time of the last return to the pool.
    """

    idle_since_s: float

    @property
    def is_closing(self) -> bool:
        """Whether the transport is closing or closed."""

    @property
    def nothing_sent(self) -> bool:
        """Whether no byte of the request has been handed to the kernel."""

    def is_usable(self) -> bool:
        """Whether a request may be written: the connection is open and nothing waits to be read from it."""

    def start(self, attempt: Attempt) -> None:
        """Write the attempt's request."""

    def withdraw(self) -> None:
        """End the attempt as not executed. Only for a connection of which `nothing_sent` holds."""

    def abort(self) -> None:
        """Close at once, without flushing what is still to be written."""
