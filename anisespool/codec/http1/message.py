"""A complete HTTP/1.1 request or response."""

from __future__ import annotations

from typing import NamedTuple


class Request(NamedTuple):
    """A complete request."""

    method: bytes
    target: bytes
    """Path and query, as received."""
    headers: dict[bytes, bytes]
    """Names in lower case; of repeated headers the first."""
    body: bytes
    keep_alive: bool
    """Whether the client lets the connection carry another request."""


class Response(NamedTuple):
    """A complete response."""

    status: int
    headers: dict[bytes, bytes]
    """Names in lower case; of repeated headers the first."""
    body: bytes
    keep_alive: bool
    """Whether the connection can carry another request."""
