"""The interface of a simulated run that its parts use; `World` implements it."""

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
    """One run of a scenario, as its clients, attempts, endpoint lists and processes use it.

    Attributes:
        scenario_start: Start of the scenario time, after the warm-up, ns.
        sidecars: All processes by number, including those that a rolling restart has replaced.
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
        """The sidecar that currently serves a slot's clients."""

    def handle(self, sidecar: Sidecar, event: api.Event) -> None:
        """Pass an event to a sidecar's decision module and perform the actions that it returns."""

    def receive_request(self, job: Job) -> None:
        """Pass a request that has arrived to its endpoint."""

    def cancel_request(self, job: Job) -> None:
        """Close a job's connection, which may cancel its request at the endpoint."""

    def log(self, *values: object) -> None:
        """Add a line to the run's log, if it is logged."""
