"""Complete HTTP/1.1 requests and responses."""

from __future__ import annotations

from typing import NamedTuple


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    target: bytes
    """Path and query, as received."""
    headers: dict[bytes, bytes]
    """Values by lower-case name; the first value of a repeated header."""
    body: bytes
    keep_alive: bool
    """Whether the client allows another request on the connection."""


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    """Values by lower-case name; the first value of a repeated header."""
    body: bytes
    keep_alive: bool
    """Whether the connection can carry another request."""
