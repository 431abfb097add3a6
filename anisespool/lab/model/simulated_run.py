"""What the parts of a simulated run need of the run that they belong to (world.py)."""

from __future__ import annotations

from typing import Protocol

from anisespool.balancer import interface as api
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.endpoint import Endpoint, Job
from anisespool.lab.model.links import Links
from anisespool.lab.model.metrics import RunMetrics
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.scenario import Scenario


class SimulatedRun(Protocol):
    """One run of a scenario, as its clients, attempts, lists and processes use it.

    Attributes:
        begin: When the scenario's own time starts, after the warm-up, ns.
        sidecars: By number; those of earlier processes of a slot stay in it.
    """

    scenario: Scenario
    clock: Clock
    metrics: RunMetrics
    links: Links
    watch_delay: WatchDelay
    scenario_start: int
    endpoints: list[Endpoint]
    sidecars: list[Sidecar]

    def serving(self, slot: int) -> Sidecar:
        """Return the sidecar that serves a slot's clients now."""

    def handle(self, sidecar: Sidecar, event: api.Event) -> None:
        """Pass an event to a sidecar's decision module and perform the actions that it returns."""

    def receive_request(self, job: Job) -> None:
        """Let an attempt arrive at its endpoint."""

    def cancel_request(self, job: Job) -> None:
        """Let an endpoint learn that an attempt was cancelled."""

    def log(self, *words: object) -> None:
        """Add a line to the run's log."""
