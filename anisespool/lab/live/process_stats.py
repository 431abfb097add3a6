"""Reads CPU time and memory of another process, and sets its limits (proc(5), prlimit(2))."""

from __future__ import annotations

import os
import resource
from contextlib import suppress
from pathlib import Path
from typing import Literal, NamedTuple

MIB = 2**20
UTIME_FIELD = 11  # index in /proc/PID/stat, counted from the field after the command's name
STIME_FIELD = 12
RSS_FIELD = 21


class ProcessStats(NamedTuple):
    """CPU time and memory of a process."""

    cpu_s: float = 0.0  # user and system time
    memory_mb: float = 0.0  # resident set size


def read_stats(pid: int) -> ProcessStats:
    """Read the figures of a process; return zeros if it has ended."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return ProcessStats()
    fields = text.rpartition(")")[2].split()
    ticks = int(fields[UTIME_FIELD]) + int(fields[STIME_FIELD])
    memory_bytes = int(fields[RSS_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    return ProcessStats(ticks / os.sysconf("SC_CLK_TCK"), memory_bytes / MIB)


LimitKind = Literal["descriptors", "memory"]
LIMITS = {"descriptors": resource.RLIMIT_NOFILE, "memory": resource.RLIMIT_AS}


def limit_to_current_use(pid: int, kind: LimitKind, extra: float) -> None:
    """Limit a process to its current use and `extra` more descriptors, or MB of address space."""
    with suppress(OSError, ValueError):
        _set_soft_limit(pid, kind, _current_use(pid, kind) + int(extra * (MIB if kind == "memory" else 1)))


def lift_limit(pid: int, kind: LimitKind) -> None:
    """Set a limit of a process back to that of this process."""
    soft, _ = resource.getrlimit(LIMITS[kind])
    with suppress(OSError, ValueError):
        _set_soft_limit(pid, kind, soft)


def _current_use(pid: int, kind: LimitKind) -> int:
    folder = Path(f"/proc/{pid}")
    if kind == "descriptors":
        return len(list((folder / "fd").iterdir()))
    pages = int((folder / "statm").read_text().split()[0])
    return pages * os.sysconf("SC_PAGE_SIZE")


def _set_soft_limit(pid: int, kind: LimitKind, limit: int) -> None:
    _, hard = resource.getrlimit(LIMITS[kind])
    resource.prlimit(pid, LIMITS[kind], (limit, hard))
