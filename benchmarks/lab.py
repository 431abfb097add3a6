"""Measures the speed of the lab's model, and compares load-balancing policies in it.

On one core it measures the simulated requests per second by fleet size; the customers per second of an M/M/1
queue on the model's event heap and, if simpy is installed, on simpy's; and one minute of 5,000 sidecars.
Policies are compared by their service in the scenario `site`, on days with faults. There is no objective.
"""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from dataclasses import dataclass
from importlib import import_module
from importlib.util import find_spec
from typing import Any

import msgspec

from anisespool.lab.experiments import Case, run_cases, with_overrides
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.world import World
from anisespool.lab.results import Result, ResultStore
from anisespool.lab.scenario import from_raw, load
from benchmarks.pairs import Spread, differences, pair_up
from benchmarks.report import Cell, Report
from benchmarks.runner import Benchmark

REQUESTS = 20_000
CORES_PER_ENDPOINT = 3
REQUESTS_PER_CORE_S = 50
LOAD_FRACTION = 0.4
"""Fraction of the fleet's capacity."""
MAX_REQUESTS_PER_S = 2000.0

CUSTOMERS = 200_000
QUEUE_RUNS = 3
MEAN_SERVICE_TIME = 0.8
"""A customer's mean service time, in units of the mean time between two arrivals."""
NS_PER_TIME_UNIT = 1e9
END_NS = 10**18

LARGE_FLEET_CHANGES = ("sidecars=5000", "seconds=60", "warm_s=0")
"""Changes of the scenario `big`, which has 60 endpoints and 1,500 requests per second."""
POLICIES = ("random", "least-open", "ours")
OUR_POLICY = "ours"
SEEDS = (1, 2, 3)
# Faults in the scenario `site`, of the kinds that its operators inject.
FAULTS_BY_DAY: dict[str, list[dict[str, Any]]] = {
    "quiet": [],
    "errors, slow": [
        {"kind": "fail", "at_s": 5, "for_s": 15, "size": 0.8, "part": 0.1},
        {"kind": "slow", "at_s": 10, "for_s": 12, "size": 5, "part": 0.1},
    ],
    "burst, neighbour, slow": [
        {"kind": "traffic", "at_s": 4, "for_s": 6, "size": 1.6},
        {"kind": "neighbour", "at_s": 8, "for_s": 15, "size": 0.5, "part": 0.2},
        {"kind": "slow", "at_s": 12, "for_s": 10, "size": 4, "part": 0.1},
    ],
    "overload, errors": [
        {"kind": "traffic", "at_s": 3, "for_s": 20, "size": 2.6},
        {"kind": "fail", "at_s": 8, "for_s": 12, "size": 0.8, "part": 0.1},
    ],
}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of a simulated fleet."""

    endpoints: int
    sidecars: int


SIZES = (
    FleetSize(10, 3),
    FleetSize(100, 3),
    FleetSize(1000, 3),
    FleetSize(60, 300),
)


@dataclass(frozen=True, slots=True)
class Speed:
    """The speed of a simulation."""

    requests_per_cpu_s: float
    events_per_request: float


def simulate(size: FleetSize) -> Speed:
    """Simulate a fleet, and return the speed by CPU time."""
    capacity_per_s = size.endpoints * CORES_PER_ENDPOINT * REQUESTS_PER_CORE_S
    per_s = min(LOAD_FRACTION * capacity_per_s, MAX_REQUESTS_PER_S)
    raw = {
        "seconds": REQUESTS / per_s,
        "warm_s": 1,
        "sidecars": size.sidecars,
        "traffic": {"per_s": per_s},
        "endpoints": [{"count": size.endpoints}],
    }
    world = World(from_raw(raw, "benchmark"), 1)
    start = time.process_time()
    metrics = world.run()
    cpu_s = time.process_time() - start
    return Speed(metrics.requests_sent / cpu_s, world.clock.events_handled / metrics.requests_sent)


class Queue:
    """An M/M/1 queue at a load of 0.8, on the model's event heap."""

    def __init__(self) -> None:
        self._exponential = RandomStreams(1).named("queue").exponential
        self.clock = Clock()
        self._customers = 0
        self._remaining_arrivals = CUSTOMERS

    def arrive(self) -> None:
        """Add a customer, and schedule the next arrival."""
        self._customers += 1
        if self._customers == 1:
            self._schedule_departure()
        self._remaining_arrivals -= 1
        if self._remaining_arrivals:
            self.clock.after(int(self._exponential(NS_PER_TIME_UNIT)), self.arrive)

    def _schedule_departure(self) -> None:
        self.clock.after(int(self._exponential(MEAN_SERVICE_TIME * NS_PER_TIME_UNIT)), self._depart)

    def _depart(self) -> None:
        self._customers -= 1
        if self._customers:
            self._schedule_departure()


def run_own_heap() -> float:
    """Return the queue's customers per CPU second, on the model's event heap."""
    queue = Queue()
    start = time.process_time()
    queue.clock.after(0, queue.arrive)
    queue.clock.run(END_NS)
    return CUSTOMERS / (time.process_time() - start)


def run_simpy() -> float:
    """Return the queue's customers per CPU second, on simpy's event heap."""
    simpy: Any = import_module("simpy")
    exponential = RandomStreams(1).named("queue").exponential
    environment = simpy.Environment()
    server = simpy.Resource(environment)

    def customer() -> Any:
        with server.request() as turn:
            yield turn
            yield environment.timeout(exponential(MEAN_SERVICE_TIME))

    def arrivals() -> Any:
        for _ in range(CUSTOMERS):
            environment.process(customer())
            yield environment.timeout(exponential(1.0))

    environment.process(arrivals())
    start = time.process_time()
    environment.run()
    return CUSTOMERS / (time.process_time() - start)


def _peak_mb() -> int:
    return round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024)


def _measure_sizes(report: Report) -> None:
    for size in SIZES:
        speed = simulate(size)
        report.add_row(
            size.endpoints,
            size.sidecars,
            round(speed.requests_per_cpu_s),
            speed.events_per_request,
            _peak_mb(),
        )


def _measure_heaps(report: Report) -> None:
    heaps: dict[str, Callable[[], float]] = {"own heap": run_own_heap}
    if find_spec("simpy"):
        heaps["simpy"] = run_simpy
    rows: list[tuple[Cell, ...]] = []
    for name, measure in heaps.items():
        spread = Spread.of(measure() for _ in range(QUEUE_RUNS))
        rows.append((name, round(spread.maximum)))
        report.add_note(f"M/M/1, {name}: {spread.minimum:,.0f} to {spread.maximum:,.0f} customers per second")
    report.add_table(
        "M/M/1 at a load of 0.8, customers per second, the best of three runs",
        ("events by", "a second"),
        *rows,
    )


def _rank_policies(report: Report) -> None:
    """Report the service by day and policy, as means over the seeds."""
    site: dict[str, Any] = msgspec.to_builtins(load("site"))
    scenarios = {day: from_raw(site | {"troubles": faults}, day) for day, faults in FAULTS_BY_DAY.items()}
    cases = [
        Case(day, scenario, policy, seed)
        for day, scenario in scenarios.items()
        for policy in POLICIES
        for seed in SEEDS
    ]
    results = run_cases(cases, ResultStore(None))
    rows: list[tuple[Cell, ...]] = []
    for day in FAULTS_BY_DAY:
        service = {policy: _service_by_seed(results, day, policy) for policy in POLICIES}
        rows.append((day, *(f"{sum(values) / len(values):.3f}" for values in service.values())))
        for policy in POLICIES:
            if policy != OUR_POLICY:
                spread = differences(pair_up(service[OUR_POLICY], service[policy]))
                report.add_note(f"{day}: service of ours minus {policy}, {len(SEEDS)} seeds: {spread}")
    report.add_table("Service in the scenario site, means of three seeds", ("day", *POLICIES), *rows)


def _service_by_seed(results: list[Result], day: str, policy: str) -> list[float]:
    return [result.figures["service"] for result in results if result.case == day and result.policy == policy]


def _simulate_large_fleet(report: Report) -> None:
    _, scenario = with_overrides(load("big"), LARGE_FLEET_CHANGES, "big")
    start = time.process_time()
    metrics = World(scenario, 1).run()
    cpu_s = time.process_time() - start
    report.add_table(
        "5,000 sidecars, 60 endpoints, 60 s",
        ("requests", "CPU s", "peak MB"),
        (metrics.requests_sent, round(cpu_s), _peak_mb()),
    )


def _measure(report: Report) -> None:
    _measure_sizes(report)
    _measure_heaps(report)
    _rank_policies(report)
    _simulate_large_fleet(report)


BENCHMARK = Benchmark(
    "The model on one core",
    ("endpoints", "sidecars", "requests/s", "events each", "peak MB"),
    _measure,
)
