"""The wall clock. No other module of a sidecar or the agent reads it, so that the lab can shift it.

Durations are differences of the monotonic clock. The wall clock is used only to write and read timestamps.
"""

from __future__ import annotations

import time

_offset_ns = 0


def wall_ns() -> int:
    """Return the wall clock time in Unix ns."""
    return time.time_ns() + _offset_ns


def set_offset(offset_s: float) -> None:
    """Shift this process's wall clock by `offset_s` relative to the machine's. For the lab only."""
    global _offset_ns
    _offset_ns = int(offset_s * 1e9)
