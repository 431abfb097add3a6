"""Runs the recorder against a receiver that stalls, resets its connections and restarts.

The objective: in none of 50 seeded runs do the receiver's counts contradict the recorder's.
"""

from __future__ import annotations

import asyncio
import os
from concurrent.futures import ProcessPoolExecutor

from anisespool.fakes import record_soak
from benchmarks.report import Report

SEEDS = 50


def _run(seed: int) -> record_soak.SoakResult:
    return asyncio.run(record_soak.run_soak(seed))


def measure_soak(report: Report) -> None:
    """Report the sums over all runs."""
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        runs = list(pool.map(_run, range(1, SEEDS + 1)))
    report.add_table(
        "Soak runs with stalls, resets and restarts, counted by the receiver",
        ("seeds", "answered", "came", "told as dropped", "told as unsure", "cut in a record"),
        (
            SEEDS,
            sum(run.answered for run in runs),
            sum(run.received for run in runs),
            sum(run.dropped for run in runs),
            sum(run.unconfirmed for run in runs),
            sum(run.truncated_streams for run in runs),
        ),
    )
    faults = [fault for run in runs for fault in run.failures]
    text = f"{len(faults)} contradictions in the counts, the first: {faults[:1]}"
    report.check_objective(not faults, text)
