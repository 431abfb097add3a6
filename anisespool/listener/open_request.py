"""The request of a client connection that waits for its response."""

from __future__ import annotations


class OpenRequest:
    """State of the open request of one connection, if there is one.

    Attributes:
        is_open: Whether a request waits for its response.
        id: Its id at the proxy; 0 until `Proxy.start_request` has returned.
        size_bytes: Memory that it takes; 0 if none is open.
        keep_alive: Whether its client wants to keep the connection open after the response.
    """

    __slots__ = ("id", "is_open", "keep_alive", "size_bytes")

    def __init__(self) -> None:
        """Begin without a request."""
        self.is_open = False
        self.id = 0
        self.size_bytes = 0
        self.keep_alive = True

    def begin(self, keep_alive: bool) -> None:
        """Open a request that is not passed to the proxy yet."""
        self.is_open = True
        self.id = 0
        self.keep_alive = keep_alive

    def end(self) -> None:
        """Note that the response was sent, or that none is due any more."""
        self.is_open = False
        self.size_bytes = 0
