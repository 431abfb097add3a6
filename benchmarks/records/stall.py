"""Stalls the receiver for a minute, while one process sends requests to the sidecar as fast as it can.

Objectives: at most 1 MB more memory in the last third of the stall, every record arrives or is reported as
dropped, and the receiver finds no fault in the records.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from benchmarks.records.testbed import WITH_RECORDS, run_testbed
from benchmarks.report import Report

STALL_S = 60.0
SAMPLE_INTERVAL_S = 1.0
MAX_GROWTH_MB = 1.0


@dataclass(frozen=True, slots=True)
class StallRun:
    """The outcome of a stall.

    Attributes:
        answered: Number of answered requests.
        memory_mb: The sidecar's memory in each second of the stall.
        counts: The receiver's counts.
    """

    answered: int
    memory_mb: list[float]
    counts: dict[str, Any]

    @property
    def received(self) -> int:
        """Records that arrived."""
        return int(self.counts["seen"].get("path", 0))

    @property
    def dropped(self) -> int:
        """Records that the sidecar reported as dropped."""
        return int(self.counts["seen"].get("gap.dropped", 0))

    @property
    def samples_per_third(self) -> int:
        """Number of memory samples in a third of the stall."""
        return len(self.memory_mb) // 3

    @property
    def growth_mb(self) -> float:
        """The peak memory of the last third, minus that of the second."""
        second = self.memory_mb[self.samples_per_third : 2 * self.samples_per_third]
        last = self.memory_mb[2 * self.samples_per_third :]
        return max(last) - max(second)


async def _run_stall() -> StallRun:
    memory_mb = []
    async with run_testbed() as testbed:
        await testbed.receiver.pause()
        load = asyncio.create_task(testbed.closed_loop(WITH_RECORDS, STALL_S))
        while not load.done():
            await asyncio.wait([load], timeout=SAMPLE_INTERVAL_S)
            memory_mb.append(testbed.rss_mb(WITH_RECORDS))
        answered = await load
        await testbed.receiver.resume()
        await testbed.stop(WITH_RECORDS)
        counts = await testbed.receiver.counts()
    return StallRun(answered, memory_mb, counts)


def measure_stall(report: Report) -> None:
    """Report the counts of records and the sidecar's memory."""
    run = asyncio.run(_run_stall())
    samples = (0, run.samples_per_third, 2 * run.samples_per_third, -1)
    report.add_table(
        f"A stall of {STALL_S:g} s, requests as fast as one process can send them",
        ("answered", "a second", "MB at 1, 20, 40, 60 s", "last third", "came", "told as dropped"),
        (
            run.answered,
            f"{run.answered / STALL_S:.0f}",
            ", ".join(f"{run.memory_mb[sample]:.1f}" for sample in samples),
            f"{run.growth_mb:.2f} MB",
            run.received,
            run.dropped,
        ),
    )
    text = f"{run.growth_mb:.2f} MB more in the last third of the stall, at most {MAX_GROWTH_MB:g} wanted"
    report.check_objective(run.growth_mb <= MAX_GROWTH_MB, text)
    text = f"{run.received} records arrived and {run.dropped} were reported as dropped, of {run.answered}"
    report.check_objective(run.received + run.dropped == run.answered, text)
    faults = run.counts["faults"]
    report.check_objective(not faults, f"the receiver found faults: {faults[:1]}")
