"""Interface of a connection to an endpoint, as used by its pool.

The interface has its own module because `Connection` imports `ConnectionPool`, which manages connections.
"""

from __future__ import annotations

from typing import Protocol

from anisespool.upstream.attempt import Attempt


class PooledConnection(Protocol):
    """One connection to an endpoint.

    Attributes:
        idle_since_s: Time of the last return to the pool (monotonic).
    """

    idle_since_s: float

    @property
    def is_closing(self) -> bool:
        """Whether the transport is closing or closed."""

    @property
    def nothing_sent(self) -> bool:
        """Whether no byte of the request has been handed to the kernel."""

    def is_usable(self) -> bool:
        """Whether a request may be written: the connection is open and has no unread input."""

    def start(self, attempt: Attempt) -> None:
        """Start the attempt by writing its request."""

    def withdraw(self) -> None:
        """End the attempt as not executed. Requires `nothing_sent`."""

    def abort(self) -> None:
        """Close now. The part of a request that the endpoint has not received is never sent."""
