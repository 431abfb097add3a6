"""Starves a process of CPU time by keeping the core that it runs on busy."""

from __future__ import annotations

import asyncio
import os
import sys
from contextlib import suppress

BUSY_PROCESSES = 3


def core_for(number: int) -> int:
    """Return the core on which the member with that number is starved."""
    cores = sorted(os.sched_getaffinity(0))
    return cores[number % len(cores)]


class CpuContention:
    """Keeps a core busy from `start` until `stop`."""

    def __init__(self) -> None:
        self._busy_processes: list[asyncio.subprocess.Process] = []

    async def start(self, core: int, env: dict[str, str]) -> None:
        """Start busy processes on `core`, with `env` added to their environment."""
        for _ in range(BUSY_PROCESSES):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", "while True: pass", env=os.environ | env
            )
            os.sched_setaffinity(process.pid, {core})
            self._busy_processes.append(process)

    async def stop(self) -> None:
        """End the busy processes, if there are any."""
        for process in self._busy_processes:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        self._busy_processes.clear()
