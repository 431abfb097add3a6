"""The result of a run with real processes."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.backend_messages import BackendReport
from anisespool.lab.live.process_account import ProcessAccount
from anisespool.lab.model.faults import ProcessFault
from anisespool.lab.model.metrics import LONGEST_US, RunMetrics
from anisespool.lab.scenario import Scenario


def _microseconds() -> HdrHistogram:
    return HdrHistogram(1, LONGEST_US, 3)


@dataclass
class LiveRunResult:
    """Metrics of the clients, counts of the endpoints, and the rules that were broken."""

    metrics: RunMetrics
    begin: int = 0  # when the scenario's own time begins, monotonic ns
    lateness: HdrHistogram = field(default_factory=_microseconds)  # delay of the clients' own sends
    rejections: HdrHistogram = field(default_factory=_microseconds)  # time until an attempt was rejected
    violations: list[str] = field(default_factory=list)  # the first one of each kind
    backend: BackendReport = field(default_factory=BackendReport)
    accounts: list[ProcessAccount] = field(default_factory=list)  # one for each sidecar
    process_faults: list[ProcessFault] = field(default_factory=list)
    cpu_s: list[float] = field(default_factory=list)  # CPU time of each sidecar
    memory_mb: float = 0.0  # total of all sidecars at the end
    start_s: float = 0.0  # time until all were ready
    skipped: int = 0  # requests due at a sidecar that was down, as its application stops with it
    lost_events: int = 0  # reported events that did not fit, so that statements on views prove less
    excused: int = 0  # violations while the sidecar, or the clients' process, had no CPU time

    @classmethod
    def of(cls, scenario: Scenario, begin: int) -> LiveRunResult:
        """Return the empty result of a run; the scenario's own time starts at `begin`."""
        return cls(RunMetrics(scenario, begin), begin)

    @property
    def broken(self) -> str:
        """The first rule that was broken; empty if none was."""
        return self.violations[0] if self.violations else ""

    @property
    def arrivals(self) -> list[Arrival]:
        """Requests that reached endpoints, ordered by arrival."""
        return self.backend.arrivals

    def add_violation(self, text: str) -> None:
        """Record a violation unless there is one of its kind, whose text differs in numbers alone."""
        if _kind(text) not in map(_kind, self.violations):
            self.violations.append(text)

    def late_ms(self) -> float:
        """Return the 99th percentile of how late the clients sent their requests, in ms."""
        return float(self.lateness.get_value_at_percentile(99)) / 1000


def _kind(violation: str) -> str:
    """Return a violation's text without its numbers, but for that of the rule."""
    rule, separator, what = violation.partition(":")
    return rule + separator + re.sub(r"\d+", "", what)
