"""A hash of integers, the same in every process, for endpoint ranks and key affinity."""

from __future__ import annotations

_MASK_64_BITS = 0xFFFFFFFFFFFFFFFF


def hash_pair(key: int, endpoint: int) -> int:
    """Return a pseudorandom 64-bit number for the pair, mixed with constants of splitmix64."""
    mixed = (key ^ endpoint * 0x9E3779B97F4A7C15) & _MASK_64_BITS
    mixed = (mixed ^ mixed >> 31) * 0xBF58476D1CE4E5B9 & _MASK_64_BITS
    return mixed ^ mixed >> 29
