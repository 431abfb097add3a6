"""Measures the CPU time of one request through a real sidecar, in pairs with an older checkout's.

BURST_BEFORE names the older checkout; without it this checkout is compared with itself. A run's CPU time
includes the start of the process. It is therefore reduced by the CPU time of a run of the same length with
almost no requests. The objective is at most 1.05 times the older checkout's, as the median of the pairs'
ratios.
"""

from __future__ import annotations

import statistics
from functools import partial
from pathlib import Path
from typing import Any

from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import from_raw
from benchmarks import live
from benchmarks.checkout import older_checkout
from benchmarks.pairs import Pair, measure_pairs, ratios
from benchmarks.report import Report
from benchmarks.runner import Benchmark

SEED = 1
PAIRS = 12
IDLE_RUNS = 3
REQUESTS_PER_S = 500
IDLE_REQUESTS_PER_S = 1
MAX_RATIO = 1.05
BASE_SCENARIO: dict[str, Any] = {
    "warm_s": 1,
    "seconds": 6,
    "sidecars": 1,
    "endpoints": [{"count": 10, "cores": 3}],
    "classes": [{"name": "read", "effect": "repeatable", "work_ms": 10}, {"name": "write", "work_ms": 10}],
}


def _run(requests_per_s: int, checkout: Path | None) -> tuple[float, int]:
    """Return the sidecar's CPU time in seconds, and the number of requests that its clients sent."""
    scenario = from_raw(BASE_SCENARIO | {"traffic": {"per_s": requests_per_s}}, "request")
    run = live.play(scenario, SEED, checkout)
    assert not run.broken, run.broken
    return run.cpu_s[0], run.lateness.get_total_count()


def _idle_cpu_s(checkout: Path | None) -> float:
    """Return the CPU time of a sidecar that starts and then serves almost no requests."""
    return statistics.median(_run(IDLE_REQUESTS_PER_S, checkout)[0] for _ in range(IDLE_RUNS))


def _microseconds_per_request(checkout: Path | None, idle_cpu_s: float) -> float:
    cpu_s, requests = _run(REQUESTS_PER_S, checkout)
    return (cpu_s - idle_cpu_s) / requests * 1e6


def _measure(report: Report) -> None:
    try:
        _measure_pairs(report)
    except VoidError as error:
        report.check_objective(False, f"void: {error}")


def _measure_pairs(report: Report) -> None:
    older = older_checkout()
    idle = Pair(_idle_cpu_s(None), _idle_cpu_s(older))
    now = partial(_microseconds_per_request, None, idle.measured)
    before = partial(_microseconds_per_request, older, idle.reference)
    pairs: list[Pair] = []
    for pair in measure_pairs(now, before, PAIRS):
        pairs.append(pair)
        report.add_row(len(pairs), pair.measured, pair.reference, f"{pair.ratio:.3f}")
    spread = ratios(pairs)
    report.add_note(f"ratio: {spread}")
    report.add_note(f"start and idle, CPU s: {idle.measured:.2f} now, {idle.reference:.2f} before")
    text = f"{spread.median:.3f} times the older cost, at most {MAX_RATIO} wanted"
    report.check_objective(spread.median <= MAX_RATIO, text)


BENCHMARK = Benchmark(
    "CPU of a request, microseconds, in pairs",
    ("pair", "now", "before", "ratio"),
    _measure,
)
