"""Key affinity: prefers the endpoint that is likely to have a key's data in its cache."""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.hashing import hash_pair
from anisespool.balancer.interface import Settings

AFFINITY_SHARE = 0.6  # the affine endpoint's weight is multiplied by this share of the number of candidates


def affine_endpoint(settings: Settings, key: int, candidates: list[Endpoint]) -> Endpoint | None:
    """Return the endpoint that all sidecars of a zone prefer for a key, by rendezvous hashing, or None.

    Only candidates in the local zone are considered, if there are any. The key 0 stands for none.
    """
    if not key or not settings.key_affinity:
        return None
    local = [e for e in candidates if e.zone == settings.zone] or candidates
    return max(local, key=lambda e: hash_pair(key, e.id))


def affinity_factor(candidate_count: int) -> float:
    """Return the factor by which the affine endpoint's weight is multiplied."""
    return max(1.0, AFFINITY_SHARE * candidate_count)
