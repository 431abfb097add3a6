"""What a process of its own uses of the platform's limits, as the kernel counts it (proc(5))."""

from __future__ import annotations

import resource
from pathlib import Path

BYTES_PER_KB = 1024
BYTES_PER_MB = 1_000_000


def peak_memory_mb(pid: int) -> float:
    """Return the highest resident memory of a running process so far."""
    status = Path(f"/proc/{pid}/status").read_text()
    (line,) = (line for line in status.splitlines() if line.startswith("VmHWM:"))
    return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB


def descriptor_count(pid: int) -> int:
    """Return how many file descriptors a running process has open."""
    return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())


def allow_descriptors(count: int) -> None:
    """Raise this process's own soft limit on descriptors to `count`, if the hard limit allows it."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        allowed = count if hard == resource.RLIM_INFINITY else min(count, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
