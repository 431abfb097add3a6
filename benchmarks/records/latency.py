"""Compares the latency of requests while the receiver of their records reads and while it is paused.

Windows of four arms alternate. The objective: the paused arm's quantiles are within 1 % of the running arm's,
or within the middle half of the differences between the two arms without records, whichever is more.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from benchmarks.pairs import in_turn, pair_up, ratios
from benchmarks.records.testbed import WITH_RECORDS, WITHOUT_RECORDS, RecordsTestbed, run_testbed
from benchmarks.report import Cell, Report

PAIRS = 14
WINDOW_S = 1.5
REQUESTS_PER_S = 250.0
QUANTILES = (0.5, 0.99)
MAX_DIFFERENCE_SHARE = 0.01


class Arm(Enum):
    """The configuration of a window. The value is its printed name."""

    RUNNING = "running"
    PAUSED = "paused"
    NONE = "none"
    """The sidecar without records."""
    NONE_AGAIN = "none again"
    """The same again, as a baseline."""

    @property
    def sidecar(self) -> str:
        """The sidecar that the requests are sent to."""
        return WITH_RECORDS if self in (Arm.RUNNING, Arm.PAUSED) else WITHOUT_RECORDS


Windows = dict[Arm, list[list[float]]]
"""Latencies in ms, in a list for each window."""


async def _run_windows() -> Windows:
    windows: Windows = {arm: [] for arm in Arm}
    async with run_testbed() as testbed:
        await testbed.warm_up(REQUESTS_PER_S)
        for arm in in_turn(tuple(Arm), PAIRS):
            windows[arm].append(await _run_window(testbed, arm))
    return windows


async def _run_window(testbed: RecordsTestbed, arm: Arm) -> list[float]:
    if arm is Arm.PAUSED:
        await testbed.receiver.pause()
    else:
        await testbed.receiver.resume()
    return await testbed.open_loop(arm.sidecar, WINDOW_S, REQUESTS_PER_S)


def _quantile(values: list[float], quantile: float) -> float:
    return sorted(values)[int(quantile * len(values))]


def _add_quantile(report: Report, windows: Windows, quantile: float) -> tuple[Cell, ...]:
    """Check the objective for a quantile, and return its row."""
    by_arm = {arm: [_quantile(window, quantile) for window in windows[arm]] for arm in Arm}
    pooled = [_quantile([ms for window in windows[arm] for ms in window], quantile) for arm in Arm]
    paused = ratios(pair_up(by_arm[Arm.PAUSED], by_arm[Arm.RUNNING]))
    baseline = ratios(pair_up(by_arm[Arm.NONE_AGAIN], by_arm[Arm.NONE]))
    allowed = max(MAX_DIFFERENCE_SHARE, abs(baseline.upper - 1), abs(1 - baseline.lower))
    name = f"p{100 * quantile:g}"
    text = f"{name} paused / running {paused.median:.3f}, within {allowed:.3f} of 1 wanted"
    report.check_objective(abs(paused.median - 1) <= allowed, text)
    report.add_note(f"{name} paused / running, {PAIRS} pairs: {paused}")
    return (
        name,
        *(f"{ms:.2f}" for ms in pooled),
        f"{paused.median:.3f}",
        f"{baseline.median:.3f}",
        baseline.quartiles,
    )


def measure_latency(report: Report) -> None:
    """Report the latency of each arm."""
    windows = asyncio.run(_run_windows())
    rows = [_add_quantile(report, windows, quantile) for quantile in QUANTILES]
    columns = ("", *(f"{arm.value} ms" for arm in Arm), "paused / running", "none / none", "its middle half")
    title = f"Latency at {REQUESTS_PER_S:g} requests per second, {PAIRS} pairs of {WINDOW_S:g} s"
    report.add_table(title, columns, *rows)
