"""Interface of a client connection, as used by the connection table, the timeout sweep and the shutdown.

The interface has its own module because `ClientConnection` imports `ConnectionTable`, which manages
connections.
"""

from __future__ import annotations

from typing import Protocol

from anisespool.listener.close_reason import CloseReason


class TrackedConnection(Protocol):
    """One accepted connection.

    Attributes:
        has_sent_request: Whether a complete request has been received.
        inactive_since_s: Time when the connection was opened, its last request ended or the first byte of the
            next one arrived, whichever is latest (monotonic clock).
    """

    has_sent_request: bool
    inactive_since_s: float

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, pipelined or partly received, and the connection is not closing."""

    @property
    def has_read_input(self) -> bool:
        """Whether part of a request, or one that has not been started, has been read."""

    @property
    def has_pending_response(self) -> bool:
        """Whether a request waits for its response, or a response may not have been sent completely."""

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is in the write buffer, because the client has not read enough."""

    def apply_timeouts(self, now_s: float) -> None:
        """Close or reject the connection if its client took too long (`now_s`: monotonic clock)."""

    def give_up_partial_request(self) -> None:
        """Reject the request that is being received, and release its memory."""

    def check_paused(self) -> None:
        """Look at the socket while reading is paused: close the connection if the client has disconnected."""

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close the connection if it is idle and has no unread input; return whether it was closed."""

    def abort(self, reason: CloseReason) -> None:
        """Close immediately, without sending buffered output."""
