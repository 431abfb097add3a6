"""Is a repeat of a request harmless, or could it have a second effect?

Two parties may repeat a request: this sidecar, to any endpoint that it chooses (a retry), and the client,
which reaches any endpoint of the fleet. The same rule serves the decision module and the proxy.
"""

from __future__ import annotations

from anisespool.balancer.interface import DedupScope, Idempotency, RequestClass


def may_retry(request_class: RequestClass, may_have_executed: bool) -> bool:
    """Return whether this sidecar may send the request again, within its deduplication scope and window.

    Args:
        request_class: With its idempotency.
        may_have_executed: An earlier attempt may have had its effect.
    """
    return not may_have_executed or request_class.idempotency is not Idempotency.NOT_IDEMPOTENT


def may_client_retry(request_class: RequestClass, may_have_executed: bool) -> bool:
    """Return whether a retry by the client is harmless: its request may be rejected (503).

    An idempotency key counts only where every endpoint deduplicates it: the client's next attempt may reach
    any.

    Args:
        request_class: With its idempotency and deduplication scope.
        may_have_executed: An earlier attempt may have had its effect.
    """
    if not may_have_executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.WITH_KEY
    return is_keyed and request_class.dedup_scope is DedupScope.ALL
