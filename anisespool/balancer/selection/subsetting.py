"""Which endpoints does this sidecar use at all? Weighed in docs/standing.md.

Hundreds of sidecars connected to every endpoint would fill its connection table, and each would get too few
samples of any endpoint. So each sidecar has its own order of the endpoints, and uses the first of it.
"""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint

MIN_SUBSET_ENDPOINTS = 8  # however low the request rate
NS_PER_SUBSET_ENDPOINT = (
    1_000_000_000  # one more endpoint for each request in that time: each is sampled often
)
LOCAL_SPACING_ENDPOINTS = 1.5  # of any three in the order two are in the local zone,
REMOTE_SPACING_ENDPOINTS = 3.0  # and one is not


def subset_size(request_rate_per_ns: float) -> int:
    """Return how many endpoints a sidecar with this request rate uses."""
    return MIN_SUBSET_ENDPOINTS + int(request_rate_per_ns * NS_PER_SUBSET_ENDPOINT)


def order_by_rank(endpoints: list[Endpoint], local_zone: int | None) -> list[Endpoint]:
    """Return the endpoints by rank; with a local zone, two of it for each one that is elsewhere.

    With none of another zone among the first, a sidecar whose zone falls silent would have nowhere to send
    to.

    Args:
        endpoints: In any order.
        local_zone: The sidecar's own, where requests to other zones cost more; None: they don't.
    """
    ranked = sorted(endpoints, key=lambda e: e.rank)
    if local_zone is None:
        return ranked
    placed = []
    local_count = 0
    remote_count = 0
    for index, endpoint in enumerate(ranked):
        if endpoint.zone == local_zone:
            place = local_count * LOCAL_SPACING_ENDPOINTS
            local_count += 1
        else:
            place = remote_count * REMOTE_SPACING_ENDPOINTS + 1
            remote_count += 1
        placed.append((place, index))
    return [ranked[index] for _, index in sorted(placed)]
