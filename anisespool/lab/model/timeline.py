"""Samples of a run over time: the endpoints' queues, simulated or real, and tables of what came out."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, NamedTuple

from anisespool.lab.model.backend import Backend
from anisespool.lab.model.metrics import RunMetrics
from anisespool.lab.scenario import SECOND, Scenario

INTERVAL_NS = SECOND // 5
MAX_SAMPLES = 5000  # a longer run is sampled less often
SHOWN_OUTCOMES = ("in_time", "late", "refused", "failed")
PERCENTILES = (50, 90, 99, 99.9)


class TimelineSample(NamedTuple):
    """The endpoints at one moment.

    Attributes:
        at_s: Of the scenario's own time.
        running: Requests in execution, at all endpoints.
        waiting: Requests in all queues.
        longest: Requests in the longest queue.
    """

    at_s: float
    running: int
    waiting: int
    longest: int


@dataclass
class ScenarioRun:
    """A run, as a report shows it.

    Attributes:
        samples: Samples in order.
        utilization: Share of its cores' time that each endpoint spent on requests.
        broken: The rule that was broken, if any.
    """

    name: str
    scenario: Scenario
    metrics: RunMetrics
    samples: list[TimelineSample] = field(default_factory=list)
    utilization: list[float] = field(default_factory=list)
    broken: str = ""


class TimelineSampler:
    """Samples a run's endpoints.

    Attributes:
        samples: The samples so far.
    """

    def __init__(self, backend: Backend, begin: int, end: int) -> None:
        self.samples: list[TimelineSample] = []
        self._backend = backend
        self._begin = begin
        self._end = end
        self._interval = max(INTERVAL_NS, (end - begin) // MAX_SAMPLES)
        backend.clock.at(begin, self._sample)

    def _sample(self) -> None:
        now = self._backend.clock.now
        endpoints = self._backend.endpoints
        queues = [len(endpoint.waiting) for endpoint in endpoints]
        running = sum(endpoint.busy_cores for endpoint in endpoints)
        at_s = (now - self._begin) / SECOND
        self.samples.append(TimelineSample(at_s, running, sum(queues), max(queues)))
        if now + self._interval <= self._end:
            self._backend.clock.after(self._interval, self._sample)


def utilization(backend: Backend) -> list[float]:
    """Share of its cores' time that each endpoint spent on requests, from the run's first moment."""
    scenario = backend.scenario
    span = (scenario.warm_s + scenario.seconds) * SECOND
    return [endpoint.busy_ns / (endpoint.spec.cores * span) for endpoint in backend.endpoints]


def class_rows(metrics: RunMetrics) -> list[dict[str, Any]]:
    """A row for each class: shares of its client requests by outcome, and latencies in ms."""
    return [
        {"class": request_class.name, "asked": metrics.requested[number]}
        | _shares(metrics, number)
        | _latencies(metrics, number)
        for number, request_class in enumerate(metrics.scenario.classes)
    ]


def _shares(metrics: RunMetrics, class_index: int) -> dict[str, float]:
    requested = max(1, metrics.requested[class_index])
    return {outcome: metrics.ended[class_index, outcome] / requested for outcome in SHOWN_OUTCOMES}


def _latencies(metrics: RunMetrics, class_index: int) -> dict[str, float]:
    histogram = metrics.latency[class_index]
    if not histogram.get_total_count():
        return {f"p{percentile:g}_ms": 0.0 for percentile in PERCENTILES}
    return {
        f"p{percentile:g}_ms": histogram.get_value_at_percentile(percentile) / 1000
        for percentile in PERCENTILES
    }
