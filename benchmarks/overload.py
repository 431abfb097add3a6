"""Measures goodput under overload, and after it, in the lab's model.

The fleet has ten endpoints of three cores with a service time of 20 ms (1,500 requests per second), and three
sidecars that share no state. Goodput is compared with that of the best fixed limit on open requests, which is
searched for each load, as no limit in production can be. Objectives: 95 % of the best limit's goodput, 99 %
in time from 2 s after the overload, and at most 0.01 less goodput than an older checkout (BURST_BEFORE).
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

CAPACITY_MULTIPLES = (1.1, 1.4, 2.0)
WORK_SPREADS = (0.0, 1.0)
"""Spreads of the service times: all alike, or exponential."""
LIMITS = (20, 40, 60, 80, 100, 120, 140, 170, 200)
"""Limits on the open requests of a sidecar."""
NO_LIMIT = 0
"""The balancer's own admission control."""
SEEDS = (1, 2, 3)
CAPACITY_PER_S = 1500
SIDECARS = 3
WARMUP_S = 5
OVERLOAD_S = 6
FIRST_COUNTED_SECOND = 1
"""The first second of the overload that is counted."""
RECOVERY_S = 2
"""Time after the overload that is not counted; COUNTED_AFTER_S follows."""
COUNTED_AFTER_S = 3
QUIET_SHARE = 0.1
"""The quiet load, as a share of the capacity."""
AFTER_LOAD_FACTOR = 2
"""The load after the recovery, as a multiple of the quiet load."""
MIN_SHARE_OF_BEST = 0.95
MIN_IN_TIME_SHARE_AFTER = 0.99
MAX_GOODPUT_LOSS_SHARE = 0.01


class Goodput(NamedTuple):
    """Shares of requests answered in time. `checkout.call` prints the fields in this order.

    Attributes:
        overload: Share of the capacity, from the second second of the overload on.
        after: Share of the requests, from 2 s after the overload's end.
    """

    overload: float
    after: float


@dataclass(frozen=True, slots=True)
class LoadCase:
    """An overload: the load as a multiple of the capacity, and the spread of the service times."""

    load_factor: float
    spread: float

    @property
    def work(self) -> str:
        """The distribution of the service times, by its name in scenarios."""
        return "exponential" if self.spread else "alike"


def _limited_balancer(limit: int) -> Callable[[Any, int, Any], Any]:
    """Return a policy that rejects new requests while more than `limit` are open."""

    class LimitedBalancer(Balancer):
        def _sheds_load(self, req: Any) -> bool:
            return self.open_requests > limit

    return lambda settings, seed, world: LimitedBalancer(settings, seed)


def _raw_scenario(case: LoadCase) -> dict[str, Any]:
    after_s = OVERLOAD_S + RECOVERY_S
    quiet_per_s = QUIET_SHARE * CAPACITY_PER_S
    overload = case.load_factor * CAPACITY_PER_S / quiet_per_s
    return {
        "warm_s": WARMUP_S,
        "seconds": after_s + COUNTED_AFTER_S,
        "sidecars": SIDECARS,
        "traffic": {"per_s": quiet_per_s},
        "classes": [{"name": "x", "work": case.work}],
        "troubles": [
            {"kind": "traffic", "at_s": 0, "for_s": OVERLOAD_S, "size": overload},
            {"kind": "traffic", "at_s": after_s, "for_s": COUNTED_AFTER_S, "size": AFTER_LOAD_FACTOR},
        ],
    }


def _day(load_factor: float, spread: float, seed: int, limit: int = NO_LIMIT) -> Goodput:
    """Simulate one overload. `checkout.call` calls it by name in an older checkout as well.

    Raises:
        AssertionError: A rule was broken.
    """
    scenario = from_raw(_raw_scenario(LoadCase(load_factor, spread)), "overload")
    world = World(scenario, seed, _limited_balancer(limit) if limit else make_balancer)
    metrics = world.run()
    if world.broken:
        raise AssertionError(world.broken)
    counted = range(FIRST_COUNTED_SECOND, OVERLOAD_S)
    in_time = sum(metrics.windows[second][0, "in_time"] for second in counted)
    after_s = OVERLOAD_S + RECOVERY_S
    after: Counter[tuple[int, str]] = Counter()
    for second in range(after_s, after_s + COUNTED_AFTER_S):
        after.update(metrics.windows[second])
    return Goodput(
        overload=in_time / (CAPACITY_PER_S * len(counted)),
        after=after[0, "in_time"] / max(1, after.total()),
    )


def mean(load_factor: float, spread: float, limit: int = NO_LIMIT) -> Goodput:
    """Return the mean goodput over the seeds."""
    return _mean([_day(load_factor, spread, seed, limit) for seed in SEEDS])


def _mean(runs: list[Goodput]) -> Goodput:
    return Goodput(
        overload=sum(run.overload for run in runs) / len(runs),
        after=sum(run.after for run in runs) / len(runs),
    )


def _goodput_before(older: Path, case: LoadCase) -> list[float]:
    """Return the older checkout's goodput under overload for each seed."""

    def of_seed(seed: int) -> float:
        return call(older, "overload._day", case.load_factor, case.spread, seed)[0]

    with ThreadPoolExecutor(len(SEEDS)) as pool:
        return list(pool.map(of_seed, SEEDS))


def _measure_case(report: Report, pool: ProcessPoolExecutor, older: Path | None, case: LoadCase) -> None:
    runs = list(pool.map(partial(_day, case.load_factor, case.spread), SEEDS))
    goodput = _mean(runs)
    limited = pool.map(partial(mean, case.load_factor, case.spread), LIMITS)
    best, limit = max((found.overload, limit) for found, limit in zip(limited, LIMITS, strict=True))
    before = _goodput_before(older, case) if older else []
    mean_before = sum(before) / len(before) if before else None
    report.add_row(
        case.load_factor,
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
    name = f"{case.load_factor} times the capacity, {case.work}"
    text = f"{name}: {goodput.overload / best:.0%} of the best limit's goodput, at least 95 wanted"
    report.check_objective(goodput.overload >= MIN_SHARE_OF_BEST * best, text)
    text = f"{name}: {goodput.after:.1%} in time from 2 s after the overload"
    report.check_objective(goodput.after >= MIN_IN_TIME_SHARE_AFTER, text)


def _check_against_before(report: Report, case: LoadCase, now: list[float], before: list[float]) -> None:
    name = f"{case.load_factor} times the capacity, {case.work}"
    spread = differences(pair_up(now, before))
    report.add_note(f"{name}: goodput minus the goodput before, {len(now)} seeds: {spread}")
    mean_now = sum(now) / len(now)
    mean_before = sum(before) / len(before)
    text = f"{name}: goodput {mean_now:.1%}, before {mean_before:.1%}"
    report.check_objective(mean_now >= mean_before - MAX_GOODPUT_LOSS_SHARE, text)


def _measure(report: Report) -> None:
    older = older_checkout()
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        for load_factor, spread in product(CAPACITY_MULTIPLES, WORK_SPREADS):
            _measure_case(report, pool, older, LoadCase(load_factor, spread))


BENCHMARK = Benchmark(
    "Overload: share of 1,500 requests per second answered in time, means of three seeds",
    ("load", "work", "goodput %", "best limit", "its %", "of best %", "before %", "after 2 s %"),
    _measure,
)
