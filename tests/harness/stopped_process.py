"""Holds up a real process by a signal, while the kernel goes on to receive what is sent to it."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from tests.harness.waiting import wait_until


@asynccontextmanager
async def stopped(process: asyncio.subprocess.Process) -> AsyncIterator[None]:
    """Stop the process until the block ends."""
    process.send_signal(signal.SIGSTOP)
    try:
        await wait_until(lambda: _is_stopped(process.pid))
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def _is_stopped(pid: int) -> bool:
    """Return whether the state of a process is "stopped" (proc_pid_stat(5), field 3)."""
    after_name = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2]
    return after_name.split()[0] == "T"
