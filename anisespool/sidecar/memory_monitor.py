"""Watches the process's resident memory, and logs when it nears the limit at which the platform kills it."""

from __future__ import annotations

import mmap

from anisespool.log import EventLimit, log_event

LOG_ABOVE_SHARE = 0.75  # of the limit
BYTES_PER_MB = 1_000_000
# Sizes in pages (proc_pid_statm(5)); the second number is the resident memory.
STATM_PATH = "/proc/self/statm"


def resident_bytes() -> int:
    """Return the resident memory of this process; 0 if the system does not tell it."""
    try:
        with open(STATM_PATH, "rb") as file:
            return int(file.read().split()[1]) * mmap.PAGESIZE
    except (OSError, IndexError, ValueError):
        return 0


class MemoryMonitor:
    """Compares the resident memory with the limit, as often as `check` is called."""

    def __init__(self, limit_bytes: int) -> None:
        """Log above a share of `limit_bytes`, at most one line a second."""
        self._limit_bytes = limit_bytes
        self._limit = EventLimit()

    def check(self, connections: int) -> None:
        """Log the resident memory if it is high, with the number of open client connections."""
        resident = resident_bytes()
        if resident > self._limit_bytes * LOG_ABOVE_SHARE and (count := self._limit.count_to_log("")):
            log_event(
                "memory_high",
                resident_mb=resident // BYTES_PER_MB,
                limit_mb=self._limit_bytes // BYTES_PER_MB,
                connections=connections,
                count=count,
            )
