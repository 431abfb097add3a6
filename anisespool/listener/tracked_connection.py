"""A client connection as the connection table, the sweep of time-outs and the shutdown see it.

An interface in a module of its own: `ClientConnection` uses the table, and the table manages connections.
"""

from __future__ import annotations

from typing import Protocol


class TrackedConnection(Protocol):
    """One accepted connection.

    Attributes:
        has_sent_request: Whether a complete request has been received.
        inactive_since_s: Since when no request is open and no part of one has arrived (monotonic clock).
    """

    has_sent_request: bool
    inactive_since_s: float

    @property
    def is_idle(self) -> bool:
        """Between two requests, with no part of the next one received and nothing being closed."""

    @property
    def has_pending_response(self) -> bool:
        """Whether a request waits for its response, or a response may not have been sent completely."""

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds bytes that have not been read."""

    @property
    def has_unsent_output(self) -> bool:
        """Whether a response waits for the client to read."""

    def apply_timeouts(self, now_s: float) -> None:
        """Close or reject the connection if its client took too long (`now_s`: monotonic clock)."""

    def close_if_peer_closed(self) -> None:
        """Detect a client's disconnect while reading is paused."""

    def close_if_idle(self) -> bool:
        """Close the connection if it is idle; returns whether it was."""

    def abort(self) -> None:
        """Close at once, without sending what is buffered."""
