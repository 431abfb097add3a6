"""A request and its final response, in the form that the listener and the proxy exchange."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.codec import http1


class FinalResponse(NamedTuple):
    """The one final response to a client's request."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.0
    """Value of the Retry-After header; 0: none."""


class Call(NamedTuple):
    """A client's request, with its properties that the balancer decides by."""

    request: http1.Request
    request_class: int
    """Index of its class in the platform's settings."""
    tenant: int
    """Index of its tenant; the number of tenants for an unknown one."""
    timeout_ns: int
    """Time until the client gives up."""
    size_hint_ns: int | None
    """Expected work on a standard core; None: no hint."""
    affinity_key: int
    """Digest of the key whose requests should or must reach the same endpoint; 0: none."""
    is_retry: bool
    """Whether the client marked it as a retry of its own."""
