"""How fast the model plays: requests a second of one core by the size of the fleet, and its event heap beside
simpy's on the same queue (M/M/1), where simpy is installed."""

from __future__ import annotations

import resource
import time
from importlib import import_module
from importlib.util import find_spec
from typing import Any

from anisespool.lab.clock import Clock
from anisespool.lab.scenario import from_raw
from anisespool.lab.streams import Streams
from anisespool.lab.world import World
from benchmarks.report import Report

SIZES = ((10, 3), (100, 3), (1000, 3), (60, 300))  # endpoints, sidecars
ASKED = 20_000
CUSTOMERS = 200_000


def play(endpoints: int, sidecars: int) -> tuple[float, float]:
    """Simulated requests a second of this core, and events a request."""
    capacity = endpoints * 3 * 50
    per_s = min(0.4 * capacity, 2000.0)
    raw = {"seconds": ASKED / per_s, "warm_s": 1, "sidecars": sidecars, "traffic": {"per_s": per_s},
           "endpoints": [{"count": endpoints}]}  # fmt: skip
    world = World(from_raw(raw, "benchmark"), 1)
    begun = time.process_time()
    tally = world.run()
    took = time.process_time() - begun
    return tally.tries / took, world.clock.handled / tally.tries


class Queue:
    """M/M/1 at 0.8 on the lab's own heap."""

    def __init__(self) -> None:
        draws = Streams(1).named("queue")
        self.draw, self.clock, self.waiting, self.left = draws.exponential, Clock(), 0, CUSTOMERS

    def arrive(self) -> None:
        self.waiting += 1
        if self.waiting == 1:
            self.clock.after(int(self.draw(0.8e9)), self.leave)
        self.left -= 1
        if self.left:
            self.clock.after(int(self.draw(1e9)), self.arrive)

    def leave(self) -> None:
        self.waiting -= 1
        if self.waiting:
            self.clock.after(int(self.draw(0.8e9)), self.leave)


def own_heap() -> float:
    queue = Queue()
    begun = time.process_time()
    queue.clock.after(0, queue.arrive)
    queue.clock.run(10**18)
    return CUSTOMERS / (time.process_time() - begun)


def with_simpy() -> float:
    simpy: Any = import_module("simpy")
    draw, env = Streams(1).named("queue").exponential, simpy.Environment()
    server = simpy.Resource(env)

    def customer() -> Any:
        with server.request() as turn:
            yield turn
            yield env.timeout(draw(0.8))

    def arrivals() -> Any:
        for _ in range(CUSTOMERS):
            env.process(customer())
            yield env.timeout(draw(1.0))

    env.process(arrivals())
    begun = time.process_time()
    env.run()
    return CUSTOMERS / (time.process_time() - begun)


def main() -> Report:
    report = Report(
        "The model on one core", ("endpoints", "sidecars", "requests/s", "events each", "peak MB")
    )
    for endpoints, sidecars in SIZES:
        rate, events = play(endpoints, sidecars)
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
        report.add(endpoints, sidecars, round(rate), events, round(peak))
    own = [own_heap() for _ in range(3)]
    rows: list[tuple[Any, ...]] = [("own heap", round(max(own)))]
    if find_spec("simpy"):
        rows.append(("simpy", round(max(with_simpy() for _ in range(3)))))
    report.part("M/M/1 at 0.8, customers a second, the best of three", ("events by", "a second"), *rows)
    return report
