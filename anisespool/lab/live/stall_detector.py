"""Detects stalls of this process's own event loop."""

from __future__ import annotations

import asyncio
import time
from collections import deque

from anisespool.lab.scenario import MS

INTERVAL_NS = 10 * MS
STALL_NS = 40 * MS
MAX_STALLS = 100


class StallDetector:
    """Checks every 10 ms, while `run` runs, how late the event loop is.

    Several runs in one process, or a busy machine, can keep the loop from reading responses that arrived in
    time. Sidecars are not blamed for that.
    """

    def __init__(self) -> None:
        self._stall_ends: deque[int] = deque(maxlen=MAX_STALLS)

    async def run(self) -> None:
        """Detect stalls until it is cancelled."""
        while True:
            due = time.monotonic_ns() + INTERVAL_NS
            await asyncio.sleep(INTERVAL_NS / 1e9)
            now = time.monotonic_ns()
            if now - due > STALL_NS:
                self._stall_ends.append(now)

    def stalled_since(self, when: int) -> bool:
        """Return whether a stall has ended since `when` (monotonic ns)."""
        return any(end >= when for end in self._stall_ends)
