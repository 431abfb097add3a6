"""The rules for when a request may be repeated without a second effect.

The sidecar can repeat a request at an endpoint that it chooses. A client can repeat it too, and that attempt
may reach any endpoint of the fleet. The decision module and the proxy use the same rules.
"""

from __future__ import annotations

from anisespool.balancer.interface import DedupScope, Idempotency, RequestClass


def may_retry(request_class: RequestClass, may_have_executed: bool) -> bool:
    """Return whether this sidecar may send the request again, within its deduplication scope and window."""
    return not may_have_executed or request_class.idempotency is not Idempotency.NOT_IDEMPOTENT


def may_client_retry(request_class: RequestClass, may_have_executed: bool) -> bool:
    """Return whether a retry by the client is harmless, so that its request may be rejected (503).

    An idempotency key suffices only if all endpoints deduplicate it, as the client's next attempt may reach
    any of them.
    """
    if not may_have_executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.WITH_KEY
    return is_keyed and request_class.dedup_scope is DedupScope.ALL
