"""Measures the CPU time of a sidecar with records, in pairs with one without.

The objective: a record costs at most 5 % of the CPU time of a request.
"""

from __future__ import annotations

import asyncio
import statistics

from benchmarks.pairs import Pair, in_turn, pair_up, ratios
from benchmarks.records.testbed import SIDECARS, WITH_RECORDS, WITHOUT_RECORDS, run_testbed
from benchmarks.report import Report

PAIRS = 10
WINDOW_S = 2.0
REQUESTS_PER_S = 500.0
MAX_COST_SHARE = 0.05


async def _measure_pairs() -> list[Pair]:
    """Return the microseconds per request with records, paired with those without as the reference."""
    cpu_us: dict[str, list[float]] = {name: [] for name in SIDECARS}
    async with run_testbed() as testbed:
        await testbed.warm_up(REQUESTS_PER_S)
        for name in in_turn(SIDECARS, PAIRS):
            start = testbed.cpu_us(name)
            answered = len(await testbed.open_loop(name, WINDOW_S, REQUESTS_PER_S))
            cpu_us[name].append((testbed.cpu_us(name) - start) / answered)
    return pair_up(cpu_us[WITH_RECORDS], cpu_us[WITHOUT_RECORDS])


def measure_cpu(report: Report) -> None:
    """Report the CPU cost of a record."""
    pairs = asyncio.run(_measure_pairs())
    request_us = statistics.median(pair.reference for pair in pairs)
    record_us = statistics.median(pair.difference for pair in pairs)
    spread = ratios(pairs)
    report.add_table(
        "CPU of a sidecar, in pairs",
        ("a request us", "its record us", "with / without", "middle half"),
        (f"{request_us:.0f}", f"{record_us:.1f}", f"{spread.median:.3f}", spread.quartiles),
    )
    cost_percent = 100 * (spread.median - 1)
    text = f"a record costs {cost_percent:.1f} % of a request, at most {100 * MAX_COST_SHARE:g} wanted"
    report.check_objective(spread.median <= 1 + MAX_COST_SHARE, text)
