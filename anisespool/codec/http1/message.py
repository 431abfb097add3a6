"""Complete HTTP/1.1 requests and responses."""

from __future__ import annotations

from typing import NamedTuple


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    target: bytes
    """Path and query, as received."""
    headers: dict[bytes, bytes]
    """Values by lower-case name of the headers that the parser stores; the first value of a repeated one."""
    body: bytes
    keep_alive: bool
    """Whether the client allows another request on the connection."""
    head_bytes: int = 0
    """Size of the target, and of the stored headers' names and values."""


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    """Values by lower-case name of the headers that the parser stores; the first value of a repeated one."""
    body: bytes
    keep_alive: bool
    """Whether the connection can carry another request."""
