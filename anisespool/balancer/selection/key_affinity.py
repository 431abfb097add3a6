"""Which endpoint is likely to have cached what a key needs?"""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.hashing import hash_pair
from anisespool.balancer.interface import Settings

AFFINITY_SHARE = 0.6  # of the number of candidates, by which the affine endpoint's weight is multiplied


def affine_endpoint(settings: Settings, key: int, candidates: list[Endpoint]) -> Endpoint | None:
    """Return the endpoint that all sidecars of a zone prefer for a key, by rendezvous hashing.

    Args:
        settings: Whether keys have affinity at all, and the sidecar's zone.
        key: Of the request; 0: none.
        candidates: Eligible endpoints; those of the local zone go first.
    """
    if not key or not settings.key_affinity:
        return None
    local = [e for e in candidates if e.zone == settings.zone] or candidates
    return max(local, key=lambda e: hash_pair(key, e.id))


def affinity_factor(candidate_count: int) -> float:
    """Return the factor by which the affine endpoint's weight is raised."""
    return max(1.0, AFFINITY_SHARE * candidate_count)
