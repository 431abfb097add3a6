"""Counts rejections of burst requests that could have been answered in time, in the lab's model.

For each fleet shape (endpoints, concurrent requests at each, service time) two bursts of the same size come
5 s apart, on a quiet stream. Each is a fraction of what fits in 85 % of the latency objective. A cell is one
combination of all varied parameters. Objectives: of the second bursts at most 2 % rejected on average over
the cells and 10 % in the worst cell; of the first bursts at most 15 % in the worst cell; at most 2 % late;
at most 1 % of the quiet stream rejected.
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import astuple, dataclass
from itertools import product
from typing import Any

from anisespool.lab.model.world import World
from anisespool.lab.scenario import from_raw
from benchmarks.report import Cell as TableCell
from benchmarks.report import Report
from benchmarks.runner import Benchmark

LATENCY_OBJECTIVE_MS = 400.0
FILL_FRACTION = 0.85
"""Fraction of the latency objective that the largest burst fills."""
FIRST_BURST_S = 3
SECOND_BURST_S = 8
WARMUP_S = 5
COOLDOWN_S = 3
MAX_QUEUED_REQUESTS = 100_000
"""Limit of each endpoint's queue."""
QUIET_STREAM_CLASS = 0
BURST_CLASS = 1
SEEDS = (1, 2)
MAX_BURST_REQUESTS = 3000
CELLS_PER_TASK = 4

MAX_MEAN_SECOND_REJECTED_SHARE = 0.02
MAX_SECOND_REJECTED_SHARE = 0.10
MAX_FIRST_REJECTED_SHARE = 0.15
MAX_MEAN_LATE_SHARE = 0.02
MAX_MEAN_STREAM_REJECTED_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class Shape:
    """A fleet: its number of endpoints, the concurrent requests that each serves, and the service time."""

    endpoints: int
    slots: int
    service_ms: float

    @property
    def capacity_per_s(self) -> float:
        """Requests per second that the whole fleet can serve."""
        return self.endpoints * self.slots * 1000 / self.service_ms

    def __str__(self) -> str:
        return str(astuple(self))


SHAPES = (
    Shape(1, 4, 20.0),
    Shape(2, 16, 50.0),
    Shape(4, 8, 100.0),
    Shape(4, 32, 100.0),
    Shape(10, 3, 20.0),
    Shape(10, 16, 20.0),
    Shape(40, 3, 40.0),
    Shape(100, 1, 300.0),
)
BURST_FRACTIONS = (0.25, 0.5, 0.75, 1.0)
SIDECARS = (1, 5)
LOAD_REPORT_COLUMNS = (("queue", "inflight"), ("inflight",), ())
WORK_DISTRIBUTIONS = ("alike", "exponential")
QUIET_STREAM_RATES = (0.0, 10.0, -0.5)
"""Requests per second; a negative value is a share of the capacity."""


@dataclass(frozen=True, slots=True)
class Cell:
    """One combination of the varied parameters.

    `burst_fraction` is relative to the largest burst that fits. `work` is the distribution of service times.
    `stream_rate` is one of QUIET_STREAM_RATES.
    """

    shape: Shape
    burst_fraction: float
    sidecars: int
    load_report_columns: tuple[str, ...]
    work: str
    stream_rate: float

    @property
    def stream_per_s(self) -> float:
        """Requests per second of the quiet stream."""
        return -self.stream_rate * self.shape.capacity_per_s if self.stream_rate < 0 else self.stream_rate

    @property
    def burst_size(self) -> int:
        """Requests of a burst: a fraction of those that fit in 85 % of the latency objective."""
        rounds = FILL_FRACTION * LATENCY_OBJECTIVE_MS / self.shape.service_ms
        if self.work == "alike":
            rounds = max(1, int(rounds))
        free = 1 - self.stream_per_s / self.shape.capacity_per_s
        return max(1, int(self.burst_fraction * self.shape.endpoints * self.shape.slots * rounds * free))


@dataclass(frozen=True, slots=True)
class Shares:
    """Shares of the bursts and of the quiet stream, averaged over seeds.

    Attributes:
        first_rejected: Share of the first burst that was rejected.
        second_rejected: Share of the second burst that was rejected.
        late: Share of both bursts that was answered late or failed.
        stream_rejected: Share of the quiet stream that was rejected.
    """

    first_rejected: float
    second_rejected: float
    late: float
    stream_rejected: float

    @classmethod
    def mean(cls, shares: Iterable[Shares]) -> Shares:
        """Return the mean of each share."""
        columns = list(zip(*(astuple(one) for one in shares), strict=True))
        return cls(*(sum(column) / len(column) for column in columns))

    @classmethod
    def worst(cls, shares: Iterable[Shares]) -> Shares:
        """Return the maximum of each share."""
        columns = zip(*(astuple(one) for one in shares), strict=True)
        return cls(*(max(column) for column in columns))


def _raw_scenario(cell: Cell) -> dict[str, Any]:
    class_defaults = {"work_ms": cell.shape.service_ms, "work": cell.work, "target_ms": LATENCY_OBJECTIVE_MS}
    return {
        "seconds": SECOND_BURST_S + COOLDOWN_S,
        "warm_s": WARMUP_S,
        "sidecars": cell.sidecars,
        "classes": [
            class_defaults | {"name": "quiet", "share": 1.0},
            class_defaults | {"name": "burst", "share": 1e-9},
        ],
        "traffic": {"per_s": cell.stream_per_s},
        "endpoints": [
            {"count": cell.shape.endpoints, "cores": cell.shape.slots, "waiting": MAX_QUEUED_REQUESTS},
        ],
        "reports": {"columns": list(cell.load_report_columns)},
        "bursts": [
            {"at_s": at_s, "count": cell.burst_size, "cls": BURST_CLASS}
            for at_s in (FIRST_BURST_S, SECOND_BURST_S)
        ],
    }


def measure(cell: Cell, seed: int) -> Shares:
    """Simulate one cell.

    Raises:
        AssertionError: A rule was broken.
    """
    world = World(from_raw(_raw_scenario(cell), "cell"), seed)
    metrics = world.run()
    if world.broken:
        raise AssertionError(f"{cell}, seed {seed}: {world.broken}")
    first = metrics.windows.get(FIRST_BURST_S, Counter())
    second = metrics.windows.get(SECOND_BURST_S, Counter())
    both = first + second
    late = both[BURST_CLASS, "late"] + both[BURST_CLASS, "failed"]
    stream = sum(count for (number, _), count in both.items() if number == QUIET_STREAM_CLASS)
    return Shares(
        first_rejected=first[BURST_CLASS, "refused"] / cell.burst_size,
        second_rejected=second[BURST_CLASS, "refused"] / cell.burst_size,
        late=late / (2 * cell.burst_size),
        stream_rejected=both[QUIET_STREAM_CLASS, "refused"] / stream if stream else 0.0,
    )


def cells() -> list[Cell]:
    """Return all combinations, except those whose bursts would take too long to simulate."""
    grid = product(
        SHAPES, BURST_FRACTIONS, SIDECARS, LOAD_REPORT_COLUMNS, WORK_DISTRIBUTIONS, QUIET_STREAM_RATES
    )
    combinations = [Cell(*parameters) for parameters in grid]
    return [cell for cell in combinations if cell.burst_size <= MAX_BURST_REQUESTS]


def _mean_of_seeds(cell: Cell) -> Shares:
    return Shares.mean(measure(cell, seed) for seed in SEEDS)


def sweep() -> dict[Cell, Shares]:
    """Simulate all cells; the shares are means over the seeds."""
    grid = cells()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        return dict(zip(grid, pool.map(_mean_of_seeds, grid, chunksize=CELLS_PER_TASK), strict=True))


# The printed name of each varied parameter, its values, and its attribute of a cell.
VARIED_PARAMETERS: tuple[tuple[str, tuple[object, ...], str], ...] = (
    ("shape", SHAPES, "shape"),
    ("part", BURST_FRACTIONS, "burst_fraction"),
    ("sidecars", SIDECARS, "sidecars"),
    ("columns", LOAD_REPORT_COLUMNS, "load_report_columns"),
    ("work", WORK_DISTRIBUTIONS, "work"),
    ("quiet", QUIET_STREAM_RATES, "stream_rate"),
)


def _row(name: str, value: str, shares: list[Shares]) -> tuple[TableCell, ...]:
    mean = Shares.mean(shares)
    worst = Shares.worst(shares)
    return (
        name,
        value,
        len(shares),
        100 * mean.first_rejected,
        100 * worst.first_rejected,
        100 * mean.second_rejected,
        100 * worst.second_rejected,
        100 * mean.late,
        100 * mean.stream_rejected,
    )


def _check_objectives(report: Report, shares: list[Shares]) -> None:
    mean = Shares.mean(shares)
    worst = Shares.worst(shares)
    text = f"second bursts: {mean.second_rejected:.1%} rejected in the mean, at most 2 % wanted"
    report.check_objective(mean.second_rejected <= MAX_MEAN_SECOND_REJECTED_SHARE, text)
    text = f"second bursts: {worst.second_rejected:.1%} rejected in the worst cell, at most 10 % wanted"
    report.check_objective(worst.second_rejected <= MAX_SECOND_REJECTED_SHARE, text)
    text = f"first bursts: {worst.first_rejected:.1%} rejected in the worst cell, at most 15 % wanted"
    report.check_objective(worst.first_rejected <= MAX_FIRST_REJECTED_SHARE, text)
    report.check_objective(mean.late <= MAX_MEAN_LATE_SHARE, f"{mean.late:.1%} late, at most 2 % wanted")
    text = f"{mean.stream_rejected:.1%} of the quiet stream rejected, at most 1 % wanted"
    report.check_objective(mean.stream_rejected <= MAX_MEAN_STREAM_REJECTED_SHARE, text)


def _measure(report: Report) -> None:
    by_cell = sweep()
    report.add_row(*_row("all", "", list(by_cell.values())))
    for name, values, attribute in VARIED_PARAMETERS:
        for value in values:
            shares = [found for cell, found in by_cell.items() if getattr(cell, attribute) == value]
            report.add_row(*_row(name, str(value), shares))
    _check_objectives(report, list(by_cell.values()))


BENCHMARK = Benchmark(
    f"Rejections of bursts that fit: {len(cells())} cells, means of {len(SEEDS)} seeds",
    (
        "what",
        "value",
        "cells",
        "first %",
        "worst",
        "second %",
        "worst",
        "late %",
        "quiet refused %",
    ),
    _measure,
)
