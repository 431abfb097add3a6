"""The operators' standing days in the lab's model: hundreds of sidecars of little traffic each, priced.

Each day over some seeds, beside an older checkout (BURST_BEFORE), paired by seed. `net` is the service as the
operators weigh it, less the prices. Further tables: how soon endpoints that are new carry their share, and
how a fleet serves of which seven in ten sidecars were killed. Objectives: no rule broken, at most 5 % of the
attempts rejected on the calm day, and a net at most 0.01 below the older checkout's.
"""

from __future__ import annotations

import os
import subprocess
import sys
from collections import Counter, defaultdict
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from pathlib import Path

from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.world import World
from anisespool.lab.scenario import Scenario, load
from benchmarks.checkout import ROOT, call, older_checkout
from benchmarks.pairs import Pair, differences
from benchmarks.report import Cell, Report
from benchmarks.runner import Benchmark

DAYS = ("calm", "flood", "roll", "herd", "zone", "split", "join")
SEEDS = (1, 2)
FIGURES = (
    "net",
    "service",
    "worst_window",
    "worst_class",
    "refused",
    "failed",
    "late",
    "tries_refused",
    "price_cross_zone",
    "price_handshake",
    "price_late_fail",
)
NET = FIGURES.index("net")
ATTEMPTS_REJECTED = FIGURES.index("tries_refused")
KILLED_S = 8  # of the scenario standing-herd
SECONDS_BEFORE_KILL = 2
SECONDS_AFTER_KILL = 10
REPLACED_S = 6  # of the scenario standing-join, from then on
AGES = range(1, 12)  # in seconds
ESTABLISHED = -1  # the age of an endpoint that was there from the start
SECOND_NS = 10**9
MAX_ATTEMPTS_REJECTED = 0.05  # on the calm day
MAX_NET_LOSS = 0.01


def day(name: str, seed: int) -> list[float]:
    """Return FIGURES of a day.

    Raises:
        AssertionError: A rule was broken.
    """

    world = World(load(f"standing-{name}"), seed)
    figures = world.run().figures()
    _check_rules(world, name, seed)
    return [float(figures[figure]) for figure in FIGURES]


class ArrivalCounter(World):
    """A world that counts by an endpoint's age what it is sent, and what it could do.

    Attributes:
        sent: Attempts that arrived at endpoints of that age in seconds, since the first was replaced.
        capacity: What the endpoints of that age could do, summed over the seconds.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.sent: Counter[int] = Counter()
        self.capacity: defaultdict[int, float] = defaultdict(float)
        for second in range(REPLACED_S, int(scenario.seconds)):
            self.clock.at(self.scenario_start + second * SECOND_NS, self._add_capacity)

    def receive_request(self, job: Job) -> None:
        """Count an attempt, and serve it."""
        age = self._age_s(self.endpoints[job.endpoint - 1])
        self.sent[age] += job.client_request.arrived_at >= self.scenario_start + REPLACED_S * SECOND_NS
        super().receive_request(job)

    def _add_capacity(self) -> None:
        for endpoint in self.endpoints:
            if not endpoint.faults.dead:
                warmth = endpoint.capacity_share(self.clock.now)
                self.capacity[self._age_s(endpoint)] += endpoint.spec.cores * endpoint.spec.speed * warmth

    def _age_s(self, endpoint: Endpoint) -> int:
        return (self.clock.now - endpoint.started_at) // SECOND_NS if endpoint.started_at else ESTABLISHED


def fresh(seed: int) -> list[float]:
    """Return by AGES how much of its share a replaced endpoint was sent, on the day `join`.

    Its share is what an established endpoint of its capacity was sent, times how far it has warmed up.

    Raises:
        AssertionError: A rule was broken.
    """
    world = ArrivalCounter(load("standing-join"), seed)
    world.run()
    _check_rules(world, "join", seed)
    rate = {age: world.sent[age] / world.capacity[age] for age in world.sent if world.capacity[age]}
    return [rate.get(age, 0.0) / rate[ESTABLISHED] for age in AGES]


def herd(seed: int) -> list[float]:
    """Return the service by second from two seconds before seven in ten sidecars are killed.

    Raises:
        AssertionError: A rule was broken.
    """

    world = World(load("standing-herd"), seed)
    seconds = world.run().by_second()[KILLED_S - SECONDS_BEFORE_KILL : KILLED_S + SECONDS_AFTER_KILL]
    _check_rules(world, "herd", seed)
    return [in_time / max(1.0, total) for in_time, total in seconds]


def _check_rules(world: World, name: str, seed: int) -> None:
    if world.broken:
        raise AssertionError(f"{name}, seed {seed}: {world.broken}")


@dataclass(frozen=True, slots=True)
class Task:
    """A function of this module to be called for each seed, with the packages of a checkout."""

    function: str
    arguments: tuple[str, ...]
    checkout: Path


class Runs(dict[int, list[float]]):
    """Figures by seed; a run that broke a rule has none."""

    def means(self) -> list[float]:
        """Return the mean of each figure over the seeds."""
        return [sum(column) / len(self) for column in zip(*self.values(), strict=True)]

    def net_pairs(self, older: Runs) -> list[Pair]:
        """Pair the net with the older checkout's by seed."""
        return [Pair(self[seed][NET], older[seed][NET]) for seed in self.keys() & older.keys()]


def _figures_of_run(task: Task, seed: int) -> list[float]:
    """Return the figures of a run, or none if it broke a rule, which is printed."""
    try:
        return call(task.checkout, f"standing.{task.function}", *task.arguments, seed)
    except subprocess.CalledProcessError as error:
        print(f"{task.checkout.name}: {error.stderr.strip().splitlines()[-1]}", file=sys.stderr)
        return []


def _runs(pool: ThreadPoolExecutor, task: Task) -> Runs:
    by_seed = zip(SEEDS, pool.map(partial(_figures_of_run, task), SEEDS), strict=True)
    return Runs({seed: figures for seed, figures in by_seed if figures})


def _run_all(tasks: Sequence[Task]) -> dict[Task, Runs]:
    with ThreadPoolExecutor(os.cpu_count()) as pool, ThreadPoolExecutor(len(tasks)) as waiting:
        return dict(zip(tasks, waiting.map(partial(_runs, pool), tasks), strict=True))


def _add_day(report: Report, name: str, runs: Runs, older: Runs) -> None:
    means = runs.means()
    before: Cell = "-"
    lost: Cell = "-"
    if older:
        pairs = runs.net_pairs(older)
        before = 100 * older.means()[NET]
        lost = f"{sum(pair.difference < 0 for pair in pairs)}/{len(pairs)}"
    report.add_row(name, *(100 * figure for figure in means), before, lost)


def _check_net(report: Report, name: str, runs: Runs, older: Runs) -> None:
    net = runs.means()[NET]
    before = older.means()[NET]
    report.check_objective(net >= before - MAX_NET_LOSS, f"{name}: net {net:.3f}, before {before:.3f}")
    if pairs := runs.net_pairs(older):
        report.add_note(f"{name}: net less the net before, {len(pairs)} seeds: {differences(pairs)}")


def _check_attempts_rejected(report: Report, calm: Runs) -> None:
    rejected = calm.means()[ATTEMPTS_REJECTED] if calm else 1.0
    text = f"calm: {rejected:.1%} of tries refused, {MAX_ATTEMPTS_REJECTED:.0%} wanted"
    report.check_objective(rejected <= MAX_ATTEMPTS_REJECTED, text)


def _add_tables(report: Report, fresh_endpoints: Runs, killed: Runs) -> None:
    report.add_table(
        "Fresh endpoints by age: sent, over what their warmth should have beside a warm one (join)",
        tuple(f"{age} s" for age in AGES),
        tuple(f"{share:.2f}" for share in fresh_endpoints.means()),
    )
    report.add_table(
        "Service by second, seven in ten killed at 0 s (herd)",
        tuple(f"{second} s" for second in range(-SECONDS_BEFORE_KILL, SECONDS_AFTER_KILL)),
        tuple(f"{share:.3f}" for share in killed.means()),
    )


def _measure(report: Report) -> None:
    older = older_checkout()
    days = {name: Task("day", (name,), ROOT) for name in DAYS}
    days_before = {name: Task("day", (name,), older) for name in DAYS} if older else {}
    fresh_task = Task("fresh", (), ROOT)
    herd_task = Task("herd", (), ROOT)
    found = _run_all([*days.values(), *days_before.values(), fresh_task, herd_task])
    for task in (*days.values(), fresh_task, herd_task):
        text = f"{task.function} {''.join(task.arguments)}: a rule was broken"
        report.check_objective(len(found[task]) == len(SEEDS), text)
    for name, task in days.items():
        runs = found[task]
        runs_before = found[days_before[name]] if older else Runs()
        if runs:
            _add_day(report, name, runs, runs_before)
        if runs and runs_before:
            _check_net(report, name, runs, runs_before)
    _check_attempts_rejected(report, found[days["calm"]])
    _add_tables(report, found[fresh_task], found[herd_task])


BENCHMARK = Benchmark(
    f"Standing days in the lab, points in 100, means of {len(SEEDS)} seeds",
    (
        "day",
        "net",
        "service",
        "worst 10 s",
        "worst class",
        "refused",
        "failed",
        "late",
        "tries refused",
        "crossings",
        "handshakes",
        "late fails",
        "net before",
        "pairs lost",
    ),
    _measure,
)
