"""The processes of the simulated sidecars: starts, rolling restarts, crashes, stops and freezes."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisespool.balancer import interface as api
from anisespool.lab.model.attempts import Attempts
from anisespool.lab.model.clients import Clients
from anisespool.lab.model.endpoint_list import EndpointListPublisher
from anisespool.lab.model.faults import ProcessFault
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun
from anisespool.lab.scenario import settings


class SidecarProcesses:
    """All sidecar processes of a run, and for each slot (application) the one that serves it.

    Attributes:
        sidecars: All processes by number, including those that a rolling restart has replaced.
    """

    def __init__(
        self,
        run: SimulatedRun,
        clients: Clients,
        attempts: Attempts,
        endpoint_list: EndpointListPublisher,
        make_module: Callable[[Sidecar], Any],
    ) -> None:
        self._run = run
        self._clock = run.clock
        self._clients = clients
        self._attempts = attempts
        self._endpoint_list = endpoint_list
        self._make_module = make_module
        scenario = run.scenario
        self.sidecars = [
            Sidecar(number, zone, settings(scenario, number, zone), slot=number)
            for number, zone in enumerate(scenario.sidecar_zones())
        ]
        self._serving = list(self.sidecars)

    def serving(self, slot: int) -> Sidecar:
        """The process that currently serves a slot's clients."""
        return self._serving[slot]

    def start_all(self) -> None:
        """Starts every sidecar at the run's first moment."""
        for sidecar in self.sidecars:
            self._start(sidecar)

    def _start(self, sidecar: Sidecar) -> None:
        sidecar.restart(self._make_module(sidecar))
        self._run.handle(sidecar, self._endpoint_list.initial(sidecar))

    def apply(self, process_fault: ProcessFault) -> None:
        """Applies a fault, unless an earlier one is in effect.

        Faults of CPU, memory, descriptors and clock have no effect in the simulation.
        """
        slot = process_fault.sidecar
        sidecar = self._serving[slot]
        if sidecar.down or sidecar.frozen_until > self._clock.now:
            return
        until = self._run.scenario_start + process_fault.ends_at
        if process_fault.kind == "roll":
            self._roll(slot)
        elif process_fault.kind == "freeze":
            self._freeze(sidecar, until)
        elif process_fault.kind == "down":
            self._stop(sidecar, until)
        elif process_fault.kind in ("sidecar", "sidecars"):
            self._kill(sidecar)
            self._start(sidecar)

    def _roll(self, slot: int) -> None:
        """Replaces a slot's process by a new one. The old one finishes the requests that it has accepted."""
        old = self._serving[slot]
        new = Sidecar(len(self.sidecars), old.zone, old.settings, slot)
        self.sidecars.append(new)
        self._serving[slot] = new
        self._start(new)

    def _freeze(self, sidecar: Sidecar, until: int) -> None:
        sidecar.frozen_until = max(self._clock.now, until)
        self._clock.at(sidecar.frozen_until, self._thaw, sidecar, sidecar.incarnation)

    def _thaw(self, sidecar: Sidecar, incarnation: int) -> None:
        """Reports the clients that disconnected during a freeze, before timers as an event loop does."""
        disconnected = sidecar.disconnected
        sidecar.disconnected = []
        if sidecar.incarnation == incarnation:
            for request in disconnected:
                self._run.handle(sidecar, api.ClientDisconnected(request))

    def _stop(self, sidecar: Sidecar, until: int) -> None:
        self._kill(sidecar)
        sidecar.down = True
        sidecar.incarnation += 1
        self._clock.at(until, self._start_stopped, sidecar)

    def _start_stopped(self, sidecar: Sidecar) -> None:
        sidecar.down = False
        self._start(sidecar)

    def _kill(self, sidecar: Sidecar) -> None:
        """Drops a process's attempts, and fails its open requests. Clients may retry them."""
        self._attempts.drop_all(sidecar)
        self._clients.close_all(sidecar)
