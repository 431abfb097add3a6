"""Kills the processes that a run has started, even if the run itself is killed.

`python -m anisespool.lab.live.process_supervisor MARK`

The supervisor is a process of its own. Its input is a pipe that closes when the run ends, for any reason. It
finds the run's processes by a mark in their environment.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import TextIO
from uuid import uuid4

MARK_VARIABLE = "ANISESPOOL_RIG"
SWEEPS = 3  # a later sweep finds processes that were just being started


class ProcessSupervisor:
    """Starts and stops the supervisor. Every process of the run is started with `env` in its environment."""

    def __init__(self) -> None:
        self.mark = uuid4().hex
        self.env = {MARK_VARIABLE: self.mark}
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the supervisor's process, in a session of its own."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "anisespool.lab.live.process_supervisor",
            self.mark,
            stdin=asyncio.subprocess.PIPE,
            start_new_session=True,
        )

    async def stop(self) -> None:
        """Make it kill all remaining processes, and wait until it has ended."""
        if self._process and self._process.stdin:
            self._process.stdin.close()
            await self._process.wait()


def marked_processes(mark: str) -> list[int]:
    """Return the ids of processes that were started with the mark in their environment (proc(5)).

    A list of ids that the run kept would miss a process that was started last, and an id in it could have
    been reused by another process.
    """
    wanted = f"{MARK_VARIABLE}={mark}".encode()
    return [
        int(folder.name)
        for folder in Path("/proc").iterdir()
        if folder.name.isdigit() and wanted in _environment(folder)
    ]


def _environment(folder: Path) -> list[bytes]:
    """Return the variables of a process; empty if it has ended or belongs to another user."""
    try:
        return (folder / "environ").read_bytes().split(b"\0")
    except OSError:
        return []


def kill_marked_at_end(mark: str, run: TextIO) -> None:
    """Read `run` to its end, then kill every process with the mark."""
    run.read()
    for _ in range(SWEEPS):
        for pid in marked_processes(mark):
            with suppress(OSError):
                os.kill(pid, signal.SIGKILL)


if __name__ == "__main__":
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    kill_marked_at_end(sys.argv[1], sys.stdin)
