"""Subsetting: the endpoints that one sidecar uses. Costs and benefits: docs/standing.md.

If hundreds of sidecars connected to every endpoint, they would fill the endpoints' connection tables, and
each sidecar would get too few samples of any endpoint. So each sidecar has its own order of the endpoints,
and uses only the first of them.
"""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint

MIN_SUBSET_ENDPOINTS = 8  # also at the lowest request rate
NS_PER_SUBSET_ENDPOINT = (
    1_000_000_000  # one more endpoint per request in this time, so that each is sampled often
)
LOCAL_SPACING_ENDPOINTS = 1.5  # two of three consecutive endpoints are in the local zone
REMOTE_SPACING_ENDPOINTS = 3.0  # one of three is in another zone


def subset_size(request_rate_per_ns: float) -> int:
    """Return how many endpoints a sidecar with this request rate uses."""
    return MIN_SUBSET_ENDPOINTS + int(request_rate_per_ns * NS_PER_SUBSET_ENDPOINT)


def order_by_rank(endpoints: list[Endpoint], local_zone: int | None) -> list[Endpoint]:
    """Return the endpoints by rank; with a local zone, two of its endpoints for each one in another zone.

    A subset within the local zone would leave the sidecar without a working endpoint if that zone fails.

    `local_zone` is the sidecar's zone if requests to other zones have a cost, else None.
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
