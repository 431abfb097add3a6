"""How fast the lab's model simulates, and how it ranks policies.

Measured on one core: simulated requests a second by the size of the fleet; customers a second of the model's
event heap beside simpy's, where simpy is installed, on the same queue (M/M/1); 5,000 sidecars for a minute.
Policies are ranked by their service at the site on days with faults. There is no objective.
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

from anisespool.lab.experiments import Case, many, vary
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.world import World
from anisespool.lab.results import Result, Results
from anisespool.lab.scenario import from_raw, load
from benchmarks.pairs import Spread, differences, pair_up
from benchmarks.report import Cell, Report
from benchmarks.runner import Benchmark

REQUESTS = 20_000
CORES = 3  # of an endpoint
REQUESTS_PER_CORE_S = 50
LOAD = 0.4  # of the capacity
MAX_REQUESTS_PER_S = 2000.0

CUSTOMERS = 200_000
QUEUE_RUNS = 3
SERVICE_TIME = 0.8  # of a customer; one arrives each unit of time, in the mean
NS = 1e9
END_NS = 10**18

LARGE_FLEET = ("sidecars=5000", "seconds=60", "warm_s=0")  # of `big`: 60 endpoints, 1,500 a second
POLICIES = ("random", "least-open", "ours")
OUR_POLICY = "ours"
SEEDS = (1, 2, 3)
DAYS: dict[str, list[dict[str, Any]]] = {  # at the site, with the kinds of faults that its operators play
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
    """How fast a fleet was simulated."""

    requests_per_cpu_s: float
    events_per_request: float


def simulate(size: FleetSize) -> Speed:
    """Simulate a fleet and measure the CPU time."""
    capacity_per_s = size.endpoints * CORES * REQUESTS_PER_CORE_S
    per_s = min(LOAD * capacity_per_s, MAX_REQUESTS_PER_S)
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
    """An M/M/1 queue at a load of 0.8, on the model's own event heap."""

    def __init__(self) -> None:
        self._exponential = RandomStreams(1).named("queue").exponential
        self.clock = Clock()
        self._waiting = 0
        self._to_come = CUSTOMERS

    def arrive(self) -> None:
        """Let a customer arrive, and schedule the next one."""
        self._waiting += 1
        if self._waiting == 1:
            self._schedule_departure()
        self._to_come -= 1
        if self._to_come:
            self.clock.after(int(self._exponential(NS)), self.arrive)

    def _schedule_departure(self) -> None:
        self.clock.after(int(self._exponential(SERVICE_TIME * NS)), self._leave)

    def _leave(self) -> None:
        self._waiting -= 1
        if self._waiting:
            self._schedule_departure()


def own_heap() -> float:
    """Return customers of the queue a CPU second, on the model's own event heap."""
    queue = Queue()
    start = time.process_time()
    queue.clock.after(0, queue.arrive)
    queue.clock.run(END_NS)
    return CUSTOMERS / (time.process_time() - start)


def with_simpy() -> float:
    """Return customers of the queue a CPU second, on simpy's."""
    simpy: Any = import_module("simpy")
    exponential = RandomStreams(1).named("queue").exponential
    environment = simpy.Environment()
    server = simpy.Resource(environment)

    def customer() -> Any:
        with server.request() as turn:
            yield turn
            yield environment.timeout(exponential(SERVICE_TIME))

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
    heaps: dict[str, Callable[[], float]] = {"own heap": own_heap}
    if find_spec("simpy"):
        heaps["simpy"] = with_simpy
    rows: list[tuple[Cell, ...]] = []
    for name, measure in heaps.items():
        spread = Spread.of(measure() for _ in range(QUEUE_RUNS))
        rows.append((name, round(spread.maximum)))
        report.add_note(f"M/M/1, {name}: {spread.minimum:,.0f} to {spread.maximum:,.0f} customers a second")
    report.add_table("M/M/1 at 0.8, customers a second, the best of three", ("events by", "a second"), *rows)


def _rank_policies(report: Report) -> None:
    """Add the service by day and policy, the means of the seeds."""
    site: dict[str, Any] = msgspec.to_builtins(load("site"))
    scenarios = {day: from_raw(site | {"troubles": faults}, day) for day, faults in DAYS.items()}
    cases = [
        Case(day, scenario, policy, seed)
        for day, scenario in scenarios.items()
        for policy in POLICIES
        for seed in SEEDS
    ]
    results = many(cases, Results(None))
    rows: list[tuple[Cell, ...]] = []
    for day in DAYS:
        service = {policy: _service_by_seed(results, day, policy) for policy in POLICIES}
        rows.append((day, *(f"{sum(values) / len(values):.3f}" for values in service.values())))
        for policy in POLICIES:
            if policy != OUR_POLICY:
                spread = differences(pair_up(service[OUR_POLICY], service[policy]))
                report.add_note(f"{day}: service of ours less {policy}, {len(SEEDS)} seeds: {spread}")
    report.add_table("Service at the site, means of three seeds", ("day", *POLICIES), *rows)


def _service_by_seed(results: list[Result], day: str, policy: str) -> list[float]:
    return [result.figures["service"] for result in results if result.case == day and result.policy == policy]


def _simulate_large_fleet(report: Report) -> None:
    _, scenario = vary(load("big"), LARGE_FLEET, "big")
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
