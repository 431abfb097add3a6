"""Simulates the operators' standing days in the lab's model: hundreds of sidecars with little traffic each.

Each day runs with several seeds, and is paired by seed with an older checkout (BURST_BEFORE). `net` is the
service by the operators' weights, minus the prices. Further tables show how soon new endpoints receive their
share of attempts, and the service after seven in ten sidecars were killed. Objectives: no rule is broken, at
most 5 % of the attempts are rejected on the day `calm`, and a net at most 0.01 below the older checkout's.
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
KILL_AT_S = 8
"""Time of the kill in the scenario `standing-herd`."""
SECONDS_BEFORE_KILL = 2
SECONDS_AFTER_KILL = 10
REPLACED_FROM_S = 6
"""Time of the first replacement in the scenario `standing-join`."""
AGES_S = range(1, 12)
ESTABLISHED_AGE = -1
"""Age of an endpoint that exists from the start."""
SECOND_NS = 10**9
MAX_ATTEMPTS_REJECTED_SHARE = 0.05
"""Objective for the day `calm`."""
MAX_NET_LOSS_SHARE = 0.01


def day(name: str, seed: int) -> list[float]:
    """Return the FIGURES of a day.

    Raises:
        AssertionError: A rule was broken.
    """

    world = World(load(f"standing-{name}"), seed)
    figures = world.run().figures()
    _check_rules(world, name, seed)
    return [float(figures[figure]) for figure in FIGURES]


class ArrivalCounter(World):
    """A world that adds up attempts and capacity of the endpoints by their age in seconds.

    Attributes:
        sent: Attempts of requests that arrived after the first replacement, by the age of their endpoint.
        capacity: Capacity of all endpoints by age, summed over the seconds.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        super().__init__(scenario, seed)
        self.sent: Counter[int] = Counter()
        self.capacity: defaultdict[int, float] = defaultdict(float)
        for second in range(REPLACED_FROM_S, int(scenario.seconds)):
            self.clock.at(self.scenario_start + second * SECOND_NS, self._add_capacity)

    def receive_request(self, job: Job) -> None:
        """Count an attempt, and process it."""
        age = self._age_s(self.endpoints[job.endpoint - 1])
        self.sent[age] += job.client_request.arrived_at >= self.scenario_start + REPLACED_FROM_S * SECOND_NS
        super().receive_request(job)

    def _add_capacity(self) -> None:
        for endpoint in self.endpoints:
            if not endpoint.faults.dead:
                warmth = endpoint.capacity_share(self.clock.now)
                self.capacity[self._age_s(endpoint)] += endpoint.spec.cores * endpoint.spec.speed * warmth

    def _age_s(self, endpoint: Endpoint) -> int:
        return (self.clock.now - endpoint.started_at) // SECOND_NS if endpoint.started_at else ESTABLISHED_AGE


def fresh(seed: int) -> list[float]:
    """Return, for each age in AGES_S, the fraction of its share that a replaced endpoint received.

    An endpoint's share is the number of attempts that an established endpoint of the same capacity receives,
    times the endpoint's warm-up so far. The day is `join`.

    Raises:
        AssertionError: A rule was broken.
    """
    world = ArrivalCounter(load("standing-join"), seed)
    world.run()
    _check_rules(world, "join", seed)
    attempts_per_capacity = {
        age: world.sent[age] / world.capacity[age] for age in world.sent if world.capacity[age]
    }
    return [attempts_per_capacity.get(age, 0.0) / attempts_per_capacity[ESTABLISHED_AGE] for age in AGES_S]


def herd(seed: int) -> list[float]:
    """Return the service by second, from two seconds before seven in ten sidecars are killed.

    Raises:
        AssertionError: A rule was broken.
    """

    world = World(load("standing-herd"), seed)
    seconds = world.run().by_second()[KILL_AT_S - SECONDS_BEFORE_KILL : KILL_AT_S + SECONDS_AFTER_KILL]
    _check_rules(world, "herd", seed)
    return [in_time / max(1.0, total) for in_time, total in seconds]


def _check_rules(world: World, name: str, seed: int) -> None:
    if world.broken:
        raise AssertionError(f"{name}, seed {seed}: {world.broken}")


@dataclass(frozen=True, slots=True)
class Task:
    """A function of this module to call for each seed, with the packages of `checkout`."""

    function: str
    arguments: tuple[str, ...]
    checkout: Path


class Runs(dict[int, list[float]]):
    """Figures by seed, without the runs that broke a rule."""

    def means(self) -> list[float]:
        """Return the mean of each figure over the seeds."""
        return [sum(column) / len(self) for column in zip(*self.values(), strict=True)]

    def net_pairs(self, older: Runs) -> list[Pair]:
        """Pair the net with that of the older checkout, by seed."""
        return [Pair(self[seed][NET], older[seed][NET]) for seed in self.keys() & older.keys()]


def _figures_of_run(task: Task, seed: int) -> list[float]:
    """Return the figures of a run; if it broke a rule, print the rule and return no figures."""
    try:
        return call(task.checkout, f"standing.{task.function}", *task.arguments, seed)
    except subprocess.CalledProcessError as error:
        print(f"{task.checkout.name}: {error.stderr.strip().splitlines()[-1]}", file=sys.stderr)
        return []


def _runs(pool: ThreadPoolExecutor, task: Task) -> Runs:
    by_seed = zip(SEEDS, pool.map(partial(_figures_of_run, task), SEEDS), strict=True)
    return Runs({seed: figures for seed, figures in by_seed if figures})


def _run_all(tasks: Sequence[Task]) -> dict[Task, Runs]:
    with ThreadPoolExecutor(os.cpu_count()) as pool, ThreadPoolExecutor(len(tasks)) as task_pool:
        return dict(zip(tasks, task_pool.map(partial(_runs, pool), tasks), strict=True))


def _add_day(report: Report, name: str, runs: Runs, older: Runs) -> None:
    means = runs.means()
    before: Cell = "-"
    pairs_lost: Cell = "-"
    if older:
        pairs = runs.net_pairs(older)
        before = 100 * older.means()[NET]
        pairs_lost = f"{sum(pair.difference < 0 for pair in pairs)}/{len(pairs)}"
    report.add_row(name, *(100 * figure for figure in means), before, pairs_lost)


def _check_net(report: Report, name: str, runs: Runs, older: Runs) -> None:
    net = runs.means()[NET]
    before = older.means()[NET]
    report.check_objective(net >= before - MAX_NET_LOSS_SHARE, f"{name}: net {net:.3f}, before {before:.3f}")
    if pairs := runs.net_pairs(older):
        report.add_note(f"{name}: net minus the net before, {len(pairs)} seeds: {differences(pairs)}")


def _check_attempts_rejected(report: Report, calm: Runs) -> None:
    rejected = calm.means()[ATTEMPTS_REJECTED] if calm else 1.0
    text = f"calm: {rejected:.1%} of attempts rejected, at most {MAX_ATTEMPTS_REJECTED_SHARE:.0%} wanted"
    report.check_objective(rejected <= MAX_ATTEMPTS_REJECTED_SHARE, text)


def _add_tables(report: Report, replaced_endpoints: Runs, service_after_kill: Runs) -> None:
    report.add_table(
        "Replaced endpoints by age: attempts received / their share of attempts (join)",
        tuple(f"{age} s" for age in AGES_S),
        tuple(f"{share:.2f}" for share in replaced_endpoints.means()),
    )
    report.add_table(
        "Service by second, seven in ten sidecars killed at 0 s (herd)",
        tuple(f"{second} s" for second in range(-SECONDS_BEFORE_KILL, SECONDS_AFTER_KILL)),
        tuple(f"{share:.3f}" for share in service_after_kill.means()),
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
    f"Standing days in the lab's model, in percent, means of {len(SEEDS)} seeds",
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
