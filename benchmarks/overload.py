"""Overload in the lab's model: goodput against the best fixed limit for that load, and its end.

Ten endpoints of three cores and 20 ms (1,500 requests a second), three sidecars that share nothing. The best
fixed limit on open requests is searched for anew for each load, which nobody could do in service. Objectives:
95 % of the best limit's goodput, 99 % in time from 2 s after the overload, and at most 0.01 less goodput than
an older checkout (BURST_BEFORE).
"""

from __future__ import annotations

import os
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from itertools import product
from pathlib import Path
from typing import Any, NamedTuple

from anisespool.balancer import Balancer
from anisespool.lab.model.world import World, make_balancer
from anisespool.lab.scenario import from_raw
from benchmarks.checkout import call, older_checkout
from benchmarks.pairs import differences, pair_up
from benchmarks.report import Report
from benchmarks.runner import Benchmark

LOADS = (1.1, 1.4, 2.0)  # times the capacity
SPREADS = (0.0, 1.0)  # of the work: all alike, exponential
LIMITS = (20, 40, 60, 80, 100, 120, 140, 170, 200)  # open requests a sidecar
NO_LIMIT = 0  # the balancer's own admission
SEEDS = (1, 2, 3)
CAPACITY_PER_S = 1500
SIDECARS = 3
WARMUP_S = 5
OVERLOAD_S = 6
FIRST_COUNTED_S = 1  # of the overload
RECOVERY_S = 2  # after the overload, not counted
AFTER_S = 3  # counted
QUIET_SHARE = 0.1  # of the capacity, after the overload
AFTER_SHARE = 2  # times the quiet load
MIN_OF_BEST = 0.95
MIN_AFTER = 0.99
MAX_LOSS = 0.01


class Goodput(NamedTuple):
    """Shares of the possible in time. The fields' order is what `checkout.call` prints."""

    overload: float  # from the second second of the overload on
    after: float  # from 2 s after its end


@dataclass(frozen=True, slots=True)
class LoadCase:
    """An overload: the load in multiples of the capacity, and the spread of the work."""

    times: float
    spread: float

    @property
    def work(self) -> str:
        """The distribution of the work, as scenarios name it."""
        return "exponential" if self.spread else "alike"


def _limited_balancer(limit: int) -> Callable[[Any, int, Any], Any]:
    """Return a policy that admits as long as no more than `limit` requests are open."""

    class LimitedBalancer(Balancer):
        def _sheds_load(self, req: Any) -> bool:
            return self.open_requests > limit

    return lambda settings, seed, world: LimitedBalancer(settings, seed)


def _raw_scenario(case: LoadCase) -> dict[str, Any]:
    after_s = OVERLOAD_S + RECOVERY_S
    quiet_per_s = QUIET_SHARE * CAPACITY_PER_S
    overload = case.times * CAPACITY_PER_S / quiet_per_s
    return {
        "warm_s": WARMUP_S,
        "seconds": after_s + AFTER_S,
        "sidecars": SIDECARS,
        "traffic": {"per_s": quiet_per_s},
        "classes": [{"name": "x", "work": case.work}],
        "troubles": [
            {"kind": "traffic", "at_s": 0, "for_s": OVERLOAD_S, "size": overload},
            {"kind": "traffic", "at_s": after_s, "for_s": AFTER_S, "size": AFTER_SHARE},
        ],
    }


def _day(times: float, spread: float, seed: int, limit: int = NO_LIMIT) -> Goodput:
    """Simulate one overload. Called by name in an older checkout as well.

    Raises:
        AssertionError: A rule was broken.
    """
    scenario = from_raw(_raw_scenario(LoadCase(times, spread)), "overload")
    world = World(scenario, seed, _limited_balancer(limit) if limit else make_balancer)
    metrics = world.run()
    if world.broken:
        raise AssertionError(world.broken)
    counted = range(FIRST_COUNTED_S, OVERLOAD_S)
    in_time = sum(metrics.windows[second][0, "in_time"] for second in counted)
    after_s = OVERLOAD_S + RECOVERY_S
    after: Counter[tuple[int, str]] = Counter()
    for second in range(after_s, after_s + AFTER_S):
        after.update(metrics.windows[second])
    return Goodput(
        overload=in_time / (CAPACITY_PER_S * len(counted)),
        after=after[0, "in_time"] / max(1, after.total()),
    )


def mean(times: float, spread: float, limit: int = NO_LIMIT) -> Goodput:
    """Return the mean over the seeds."""
    return _mean([_day(times, spread, seed, limit) for seed in SEEDS])


def _mean(runs: list[Goodput]) -> Goodput:
    return Goodput(
        overload=sum(run.overload for run in runs) / len(runs),
        after=sum(run.after for run in runs) / len(runs),
    )


def _goodput_before(older: Path, case: LoadCase) -> list[float]:
    """Return the older checkout's goodput under overload by seed."""

    def of_seed(seed: int) -> float:
        return call(older, "overload._day", case.times, case.spread, seed)[0]

    with ThreadPoolExecutor(len(SEEDS)) as pool:
        return list(pool.map(of_seed, SEEDS))


def _measure_case(report: Report, pool: ProcessPoolExecutor, older: Path | None, case: LoadCase) -> None:
    runs = list(pool.map(partial(_day, case.times, case.spread), SEEDS))
    goodput = _mean(runs)
    limited = pool.map(partial(mean, case.times, case.spread), LIMITS)
    best, limit = max((found.overload, limit) for found, limit in zip(limited, LIMITS, strict=True))
    before = _goodput_before(older, case) if older else []
    mean_before = sum(before) / len(before) if before else None
    report.add_row(
        case.times,
        case.work,
        100 * goodput.overload,
        limit,
        100 * best,
        100 * goodput.overload / best,
        "-" if mean_before is None else 100 * mean_before,
        100 * goodput.after,
    )
    _check_objectives(report, case, goodput, best)
    if mean_before is not None:
        _check_against_before(report, case, [run.overload for run in runs], before)


def _check_objectives(report: Report, case: LoadCase, goodput: Goodput, best: float) -> None:
    name = f"{case.times} times, {case.work}"
    text = f"{name}: {goodput.overload / best:.0%} of the best limit, 95 wanted"
    report.check_objective(goodput.overload >= MIN_OF_BEST * best, text)
    text = f"{name}: {goodput.after:.1%} in time from 2 s after its end"
    report.check_objective(goodput.after >= MIN_AFTER, text)


def _check_against_before(report: Report, case: LoadCase, now: list[float], before: list[float]) -> None:
    name = f"{case.times} times, {case.work}"
    spread = differences(pair_up(now, before))
    report.add_note(f"{name}: goodput less the goodput before, {len(now)} seeds: {spread}")
    mean_now = sum(now) / len(now)
    mean_before = sum(before) / len(before)
    text = f"{name}: {mean_now:.1%}, before {mean_before:.1%}"
    report.check_objective(mean_now >= mean_before - MAX_LOSS, text)


def _measure(report: Report) -> None:
    older = older_checkout()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for times, spread in product(LOADS, SPREADS):
            _measure_case(report, pool, older, LoadCase(times, spread))


BENCHMARK = Benchmark(
    "Overload, share of 1,500 a second answered in time; means of three seeds",
    ("load", "work", "goodput %", "best limit", "its %", "of best %", "before %", "after 2 s %"),
    _measure,
)
