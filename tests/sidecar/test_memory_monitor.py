"""The log tells that the process's memory nears its limit."""

from __future__ import annotations

import mmap
import re

import pytest

from anisespool.sidecar import memory_monitor
from anisespool.sidecar.memory_monitor import BYTES_PER_MB, MemoryMonitor, resident_bytes


@pytest.mark.parametrize(("resident_mb", "is_logged"), [(74, False), (76, True)])
def test_memory_above_three_quarters_of_the_limit_is_logged_once_a_second(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], resident_mb: int, is_logged: bool
) -> None:
    monkeypatch.setattr(memory_monitor, "resident_bytes", lambda: resident_mb * BYTES_PER_MB)
    monitor = MemoryMonitor(100 * BYTES_PER_MB)
    for _ in range(3):
        monitor.check(connections=5)
    lines = re.findall(r"memory_high resident_mb=76 limit_mb=100 connections=5", capfd.readouterr().err)
    assert len(lines) == is_logged


def test_the_resident_memory_grows_with_what_the_process_holds() -> None:
    size_bytes = 50 * BYTES_PER_MB
    with mmap.mmap(-1, size_bytes) as held:  # pages of its own, whatever the process has freed before
        before = resident_bytes()
        held.write(b"x" * size_bytes)
        assert resident_bytes() - before > size_bytes // 2
