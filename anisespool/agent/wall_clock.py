"""Wall-clock time in the unit of the store and of agent.proto, and conversion factors to other units."""

from __future__ import annotations

from anisespool.config.clock import wall_ns

NS_PER_MS = 1_000_000
MS_PER_S = 1000


def wall_ms() -> int:
    """Return the wall-clock time in Unix ms."""
    return wall_ns() // NS_PER_MS
