"""Sends bursts to real sidecars after a quiet period, and measures rejections and late answers.

The lab simulates ten endpoints that each serve three requests at once, with a service time of 20 ms. Three
bursts of each size within capacity come on top of a steady stream. Objectives: at most 2 % rejected in bursts
of up to 64 requests and 10 % in larger ones, none late.

A burst beyond what the fleet can answer within the latency objective is spread over 0.2 s. It is sent to a
slower fleet (60 ms: 500 requests per second), so that the sidecar's own CPU isn't the bottleneck. Objectives:
85 % of what could be answered in time, and rejections within 20 ms (p99).

Half of each burst is idempotent, the other must not be executed twice; the lab checks the rules of both.
BURST_BEFORE names an older checkout to measure beside this one; only this checkout has objectives.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from anisespool.lab.live.live_run import LiveRunResult
from anisespool.lab.scenario import Scenario, from_raw
from benchmarks import live
from benchmarks.checkout import Build, builds
from benchmarks.pairs import Spread
from benchmarks.report import Report
from benchmarks.runner import Benchmark

SEED = 1
ENDPOINTS = 10
SLOTS = 3
WORK_MS = 20.0
LATENCY_OBJECTIVE_S = 0.4
WARMUP_S = 3
COOLDOWN_S = 2
"""Time after the last burst."""
FIRST_BURST_S = 0.5
"""Time from the end of the warm-up to the first burst."""
REPEATS = 3
INTERVAL_S = 2
"""Time between two bursts of the same size."""
SIZES = (8, 16, 32, 64, 128)
"""Requests of a burst at each sidecar."""
MULTI_SIDECAR_SIZES = SIZES[:4]
MULTI_SIDECAR_SPREAD_S = 0.1
"""Spread of a burst: the one client process can't send 320 requests (64 for each of 5 sidecars) in 20 ms."""
SLOW_SPEED_FACTOR = 0.1
QUIET_STREAM_CLASS = 0
BURST_CLASSES = (1, 2)
"""The class of each half of a burst."""
EFFECTS = ("repeatable", "repeatable", "once")
"""The effect of each class, by its number."""

EXCESS_BURST_REQUESTS = 400
EXCESS_SPREAD_S = 0.2
EXCESS_WORK_MS = 60.0
EXCESS_STREAM_PER_S = 10
MIN_IN_TIME_PERCENT = 85.0
MAX_REJECTION_P99_MS = 20.0
LARGE_BURST_REQUESTS = 64
"""Above this size, MAX_LARGE_REJECTED_PERCENT applies."""
MAX_REJECTED_PERCENT = 2.0
MAX_LARGE_REJECTED_PERCENT = 10.0

Outcomes = Counter[str]
"""Requests by outcome; `all` is their sum."""


@dataclass(frozen=True, slots=True)
class WithinCapacityCase:
    """Bursts that the fleet can answer in time, on a quiet stream of `stream_per_s` at each sidecar."""

    name: str
    stream_per_s: int
    slow_endpoints: int = 0
    sidecars: int = 1

    @property
    def sizes(self) -> tuple[int, ...]:
        """Sizes of the bursts, in requests at each sidecar."""
        return SIZES if self.sidecars == 1 else MULTI_SIDECAR_SIZES

    @property
    def spread_s(self) -> float:
        """Time over which a burst is spread."""
        return 0.0 if self.sidecars == 1 else MULTI_SIDECAR_SPREAD_S

    def burst_times(self, size: int) -> list[float]:
        """Seconds after the warm-up at which the bursts of `size` begin."""
        first = FIRST_BURST_S + REPEATS * INTERVAL_S * self.sizes.index(size)
        return [first + INTERVAL_S * repeat for repeat in range(REPEATS)]


@dataclass(frozen=True, slots=True)
class ExcessCase:
    """Bursts beyond what the fleet can answer in time."""

    name: str
    interval_s: float

    def burst_times(self) -> list[float]:
        """Seconds after the warm-up at which the bursts begin."""
        return [FIRST_BURST_S + self.interval_s * repeat for repeat in range(REPEATS)]


WITHIN_CAPACITY_CASES = (
    WithinCapacityCase("10/s", 10),
    WithinCapacityCase("100/s", 100),
    WithinCapacityCase("10/s, 1 slow", 10, slow_endpoints=1),
    WithinCapacityCase("10/s, five sidecars", 10, sidecars=5),
)
EXCESS_CASES = (
    ExcessCase("beyond, each 1.5 s", 1.5),
    ExcessCase("beyond, each 5 s", 5.0),
)


def _scenario(
    stream_per_s: float,
    work_ms: float,
    bursts: list[dict[str, Any]],
    slow_endpoints: int = 0,
    sidecars: int = 1,
) -> Scenario:
    endpoints: list[dict[str, Any]] = [{"count": ENDPOINTS - slow_endpoints, "cores": SLOTS}]
    if slow_endpoints:
        endpoints.append({"count": slow_endpoints, "cores": SLOTS, "speed": SLOW_SPEED_FACTOR})
    raw = {
        "warm_s": WARMUP_S,
        "seconds": max(burst["at_s"] for burst in bursts) + COOLDOWN_S,
        "sidecars": sidecars,
        "endpoints": endpoints,
        "classes": _classes(work_ms),
        "traffic": {"per_s": stream_per_s * sidecars, "arrivals": "steady"},
        "bursts": bursts,
        "membership": {"weights": "none"},
    }
    return from_raw(raw, "burst")


def _classes(work_ms: float) -> list[dict[str, Any]]:
    return [
        {
            "name": f"c{number}",
            "effect": effect,
            "work_ms": work_ms,
            "share": 1.0 if number == QUIET_STREAM_CLASS else 1e-9,  # has to be positive
        }
        for number, effect in enumerate(EFFECTS)
    ]


def _burst(at_s: float, size: int, spread_s: float) -> list[dict[str, Any]]:
    """Return the two halves of a burst."""
    half = {"at_s": at_s, "count": size // 2, "over_ms": 1000 * spread_s}
    return [half | {"cls": number} for number in BURST_CLASSES]


def _outcomes(result: LiveRunResult, at_s: float) -> Outcomes:
    """Return the outcomes of the burst that began at `at_s`, which ends before the next full second."""
    outcomes = Outcomes()
    for (number, outcome), count in result.metrics.windows.get(int(at_s), Counter()).items():
        if number != QUIET_STREAM_CLASS:
            outcomes.update({outcome: count, "all": count})
    return outcomes


def _total(outcomes: Iterable[Outcomes]) -> Outcomes:
    total = Outcomes()
    for counted in outcomes:
        total.update(counted)
    return total


def _rejected_percent(outcomes: Outcomes) -> float:
    return 100 * outcomes["refused"] / max(1, outcomes["all"])


def _rejection_p99_ms(result: LiveRunResult) -> float:
    return float(result.rejections.get_value_at_percentile(99)) / 1000  # recorded in us


def _add_row(
    report: Report, build: Build, name: str, size: int, total: Outcomes, result: LiveRunResult
) -> None:
    report.add_row(
        build.name,
        name,
        size,
        total["all"],
        _rejected_percent(total),
        total["late"],
        total["failed"],
        _rejection_p99_ms(result),
    )


def _rejected_spread(bursts: list[Outcomes]) -> str:
    spread = Spread.of(_rejected_percent(outcomes) for outcomes in bursts)
    return f"{spread.minimum:.1f} to {spread.maximum:.1f}"


def _measure_within_capacity(report: Report, build: Build, case: WithinCapacityCase) -> None:
    bursts = [
        half
        for size in case.sizes
        for at_s in case.burst_times(size)
        for half in _burst(at_s, size * case.sidecars, case.spread_s)
    ]
    scenario = _scenario(case.stream_per_s, WORK_MS, bursts, case.slow_endpoints, case.sidecars)
    result = live.play_unless_void(report, f"{build.name}, {case.name}", scenario, SEED, build.checkout)
    if result is None:
        return
    spreads = []
    for size in case.sizes:
        outcomes = [_outcomes(result, at_s) for at_s in case.burst_times(size)]
        total = _total(outcomes)
        _add_row(report, build, case.name, size, total, result)
        spreads.append(f"{_rejected_spread(outcomes)} of {size}")
        if build.is_current:
            _check_within_capacity(report, case.name, size, total)
    report.add_note(f"{build.name}, {case.name}: rejected % by burst: {', '.join(spreads)}")
    _check_rules(report, build, case.name, result)


def _check_within_capacity(report: Report, name: str, size: int, total: Outcomes) -> None:
    rejected = _rejected_percent(total)
    allowed = MAX_REJECTED_PERCENT if size <= LARGE_BURST_REQUESTS else MAX_LARGE_REJECTED_PERCENT
    text = f"{name}, {size} at once: {rejected:.1f} % rejected, {total['late']} late"
    report.check_objective(rejected <= allowed and not total["late"], text)


def _possible_in_time() -> float:
    """Return how many requests of a burst beyond capacity the fleet can answer in time."""
    per_s = ENDPOINTS * SLOTS / EXCESS_WORK_MS * 1000
    return per_s * (LATENCY_OBJECTIVE_S + EXCESS_SPREAD_S - EXCESS_WORK_MS / 1000)


def _measure_excess(report: Report, build: Build, case: ExcessCase) -> None:
    bursts = [
        half for at_s in case.burst_times() for half in _burst(at_s, EXCESS_BURST_REQUESTS, EXCESS_SPREAD_S)
    ]
    scenario = _scenario(EXCESS_STREAM_PER_S, EXCESS_WORK_MS, bursts)
    name = f"{build.name}, {case.name}"
    result = live.play_unless_void(report, name, scenario, SEED, build.checkout)
    if result is None:
        return
    outcomes = [_outcomes(result, at_s) for at_s in case.burst_times()]
    total = _total(outcomes)
    _add_row(report, build, case.name, EXCESS_BURST_REQUESTS, total, result)
    in_time_percent = 100 * total["in_time"] / min(_possible_in_time() * REPEATS, total["all"])
    report.add_note(f"{name}: {in_time_percent:.0f} % of what could be answered in time")
    report.add_note(f"{name}: rejected % by burst: {_rejected_spread(outcomes)}")
    if build.is_current:
        _check_excess(report, case.name, in_time_percent, result)
    _check_rules(report, build, case.name, result)


def _check_excess(report: Report, name: str, in_time_percent: float, result: LiveRunResult) -> None:
    text = f"{name}: {in_time_percent:.0f} % of the possible in time, at least {MIN_IN_TIME_PERCENT:g} wanted"
    report.check_objective(in_time_percent >= MIN_IN_TIME_PERCENT, text)
    rejection_p99_ms = _rejection_p99_ms(result)
    text = f"{name}: rejections p99 {rejection_p99_ms:.0f} ms, at most {MAX_REJECTION_P99_MS:g} wanted"
    report.check_objective(rejection_p99_ms <= MAX_REJECTION_P99_MS, text)


def _check_rules(report: Report, build: Build, name: str, result: LiveRunResult) -> None:
    text = f"{build.name}, {name}: {result.broken or 'rules kept'}"
    report.check_objective(not result.broken, text)


def _measure(report: Report) -> None:
    for within_capacity, build in itertools.product(WITHIN_CAPACITY_CASES, builds()):
        _measure_within_capacity(report, build, within_capacity)
    for excess, build in itertools.product(EXCESS_CASES, builds()):
        _measure_excess(report, build, excess)


BENCHMARK = Benchmark(
    "Bursts on a quiet stream, 10 endpoints x 3 slots, real sidecars",
    ("build", "case", "size", "asked", "refused %", "late", "failed", "refusal p99 ms"),
    _measure,
)
