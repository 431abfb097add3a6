"""A request and its final response, as passed between the listener and the proxy."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.codec import http1


class FinalResponse(NamedTuple):
    """The single final response to a client's request."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    """Value of the Retry-After header; 0 omits the header."""


class Call(NamedTuple):
    """A client's request, with the properties that the balancer's decisions depend on."""

    request: http1.Request
    request_class: int
    """Index of the request class in the platform's settings."""
    tenant: int
    """Index of the tenant. For an unknown tenant it is the number of known tenants."""
    timeout_ns: int
    """How long the client still waits for the response."""
    size_hint_ns: int | None
    """Expected work on a standard core, or None without a hint."""
    affinity_key: int
    """Digest of the key by which requests are sent to the same endpoint or kept in order; 0 without a key."""
    is_retry: bool
    """Whether the client marked the request as its own retry."""
    queued_ns: int = 0
    """How long the request waited in the listener, already taken off `timeout_ns`."""

    @property
    def trace_id(self) -> bytes:
        """The id that the client gave the request; empty without one."""
        return self.request.headers.get(b"x-trace-id", b"")
