"""Samples of the endpoints' queues during a run, simulated or real, and rows of its result tables."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from anisespool.lab.model.backend import Backend
from anisespool.lab.model.metrics import RunMetrics
from anisespool.lab.scenario import SECOND, Scenario

INTERVAL_NS = SECOND // 5
MAX_SAMPLES = 5000  # limit for each run: long runs have a longer interval
REPORTED_OUTCOMES = ("in_time", "late", "refused", "failed")
PERCENTILES = (50, 90, 99, 99.9)


class TimelineSample(NamedTuple):
    """The state of all endpoints at one moment.

    Attributes:
        at_s: Scenario time, s.
        running: Requests being executed.
        waiting: Requests in all queues.
        longest: Requests in the longest queue.
    """

    at_s: float
    running: int
    waiting: int
    longest: int


@dataclass
class ScenarioRun:
    """A finished run, with what a report shows of it.

    Attributes:
        samples: Samples in order of time.
        utilization: Share of the cores' time spent on requests, for each endpoint.
        broken: Description of the first broken rule; empty: none.
    """

    name: str
    scenario: Scenario
    metrics: RunMetrics
    samples: list[TimelineSample] = field(default_factory=list)
    utilization: list[float] = field(default_factory=list)
    broken: str = ""


class TimelineSampler:
    """Samples a run's endpoints at regular intervals."""

    def __init__(self, backend: Backend, start: int, end: int) -> None:
        self.samples: list[TimelineSample] = []
        self._backend = backend
        self._start = start
        self._end = end
        self._interval_ns = max(INTERVAL_NS, (end - start) // MAX_SAMPLES)
        backend.clock.at(start, self._sample)

    def _sample(self) -> None:
        now = self._backend.clock.now
        endpoints = self._backend.endpoints
        queues = [len(endpoint.waiting) for endpoint in endpoints]
        running = sum(endpoint.busy_cores for endpoint in endpoints)
        at_s = (now - self._start) / SECOND
        self.samples.append(TimelineSample(at_s, running, sum(queues), max(queues)))
        if now + self._interval_ns <= self._end:
            self._backend.clock.after(self._interval_ns, self._sample)


def utilization(backend: Backend) -> list[float]:
    """Share of the cores' time spent on requests, for each endpoint, over the run including its warm-up."""
    scenario = backend.scenario
    span = (scenario.warm_s + scenario.seconds) * SECOND
    return [endpoint.busy_ns / (endpoint.spec.cores * span) for endpoint in backend.endpoints]


def class_rows(metrics: RunMetrics) -> list[dict[str, Any]]:
    """Table rows, one for each class: shares of its client requests by outcome, and latencies in ms."""
    return [
        {"class": request_class.name, "asked": metrics.requested[index]}
        | _shares(metrics, index)
        | _latencies(metrics, index)
        for index, request_class in enumerate(metrics.scenario.classes)
    ]


def _shares(metrics: RunMetrics, class_index: int) -> dict[str, float]:
    requested = max(1, metrics.requested[class_index])
    return {outcome: metrics.ended[class_index, outcome] / requested for outcome in REPORTED_OUTCOMES}


def _latencies(metrics: RunMetrics, class_index: int) -> dict[str, float]:
    histogram = metrics.latency[class_index]
    if not histogram.get_total_count():
        return {f"p{percentile:g}_ms": 0.0 for percentile in PERCENTILES}
    return {
        f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
