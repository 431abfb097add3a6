"""The wall clock in the unit of the store and of agent.proto."""

from __future__ import annotations

from anisespool.config.clock import wall_ns

NS_PER_MS = 1_000_000


def wall_ms() -> int:
    """Return the wall clock's time in Unix ms."""
    return wall_ns() // NS_PER_MS
