"""A hash that is the same at every sidecar, for ranks of endpoints and for key affinity."""

from __future__ import annotations

_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def hash_pair(key: int, endpoint: int) -> int:
    """Return a number of 64 bits that looks random, by splitmix64's multipliers."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    return mixed ^ mixed >> 29
