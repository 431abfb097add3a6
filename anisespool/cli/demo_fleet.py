"""Fleet of the demo on loopback: sidecars, agent and endpoints under traffic, with injected faults."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import NamedTuple

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli.agent_client import CALL_TIMEOUT_S, connect_to_agent
from anisespool.fakes.clients import Client, ClientLog
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.endpoint import CountingEndpoint
from anisespool.fakes.local_fleet import LocalFleet
from anisespool.fakes.platform import member
from anisespool.fakes.rule_checker import Drain, Verdict, check_rules

FLEET_ENDPOINTS = 6
FLEET_INSTANCES = 3
REQUESTS_PER_S = 40.0  # sent to each sidecar
SLOW_START_S = 20.0
DISCOVERY_DELAY_S = 0.5  # between killing an endpoint and its removal by discovery
NS_PER_MS = 1_000_000
CHANGE_TOML = "[connections]\nidle_per_endpoint = 16\n"

ReportStage = Callable[[str], None]
"""Callback that receives a line of text when a stage begins: the start, each `Step`, or the final wait."""


class Step(NamedTuple):
    """An action on the fleet under traffic.

    Attributes:
        delay_share: Delay after the previous step, as a share of the duration of the traffic.
        title: Text to show when the step begins.
        action: Performs the step.
    """

    delay_share: float
    title: str
    action: Callable[[], Awaitable[None]]


class DemoFleet:
    """The fleet, its traffic, and the steps of the demo.

    Attributes:
        load: Log of the clients' requests and their outcomes.
        problems: One line for each command that failed.
    """

    def __init__(self, folder: Path) -> None:
        self.load = ClientLog()
        self.problems: list[str] = []
        self._folder = folder
        self._endpoints = [
            CountingEndpoint(f"push-{number}", slow_start_s=SLOW_START_S) for number in range(FLEET_ENDPOINTS)
        ]
        self._discovery: DiscoveryService  # set by `run`, like `_fleet`
        self._fleet: LocalFleet
        self._drains: list[Drain] = []
        self._restarted: list[CountingEndpoint] = []

    async def run(self, seconds: float, report_stage: ReportStage) -> list[Verdict]:
        """Run the fleet under traffic, and return the verdicts on the four rules of `fakes/rule_checker.py`.

        Args:
            seconds: Duration of the traffic.
            report_stage: Called with a line of text when a stage begins.
        """
        for endpoint in self._endpoints:
            await endpoint.start()
            endpoint.started_s -= SLOW_START_S  # as if its slow start were already over
        members = [member(endpoint.name, endpoint.address) for endpoint in self._endpoints]
        self._discovery = DiscoveryService(members)
        async with self._discovery.serve():
            self._fleet = LocalFleet(self._folder, self._discovery.address, members)
            try:
                report_stage(f"starting {FLEET_INSTANCES} sidecars and the agent")
                await self._start_fleet()
                await self._run_steps(seconds, report_stage)
            finally:
                await self._fleet.close()
        for endpoint in self._endpoints:
            endpoint.kill()
        return check_rules(self.load.requests, self._endpoints, self._drains, self._restarted)

    async def _start_fleet(self) -> None:
        names = [f"edge-{number}" for number in range(FLEET_INSTANCES)]
        await asyncio.gather(*(self._fleet.start_sidecar(name, FLEET_INSTANCES) for name in names))
        await self._fleet.start_agent()

    async def _run_steps(self, seconds: float, report_stage: ReportStage) -> None:
        end_s = time.monotonic() + seconds
        clients = [
            Client(address, self.load, seed, name)
            for seed, (name, address) in enumerate(sorted(self._fleet.addresses.items()))
        ]
        traffic = asyncio.gather(*(client.run(REQUESTS_PER_S, end_s) for client in clients))
        for step in self._steps():
            await asyncio.sleep(step.delay_share * seconds)
            report_stage(step.title)
            await step.action()
        report_stage("waiting for the last responses")
        await traffic

    def _steps(self) -> list[Step]:
        return [
            Step(0.15, "draining push-0 everywhere", self._drain_endpoint),
            Step(0.15, "killing push-1", self._kill_endpoint),
            Step(0.2, "applying a live change to all sidecars", self._apply_change),
            Step(0.15, "restarting push-1, which then warms up", self._restart_endpoint),
            Step(0.15, "undraining push-0", self._undrain_endpoint),
        ]

    async def _run_command(self, *arguments: str) -> None:
        status, lines = await self._fleet.run_command(*arguments)
        if status:
            self.problems.append(f"{' '.join(arguments)}: status {status}: {lines[-1]}")

    async def _drain_endpoint(self) -> None:
        # `notified_s` is the time before the call to the agent: no sidecar can have been notified earlier.
        self._drains.append(Drain(self._endpoints[0], time.monotonic()))
        await asyncio.to_thread(self._request_drain, pb.DrainRequest(drain=["push-0"], author="demo"))

    def _request_drain(self, request: pb.DrainRequest) -> None:
        with connect_to_agent(self._fleet.operator_file) as stub:
            last = list(stub.Drain(request, timeout=CALL_TIMEOUT_S))[-1]
        if last.told != last.total:
            self.problems.append(f"drain: confirmed by {last.told} of {last.total} instances")

    async def _undrain_endpoint(self) -> None:
        self._drains[0] = self._drains[0]._replace(ended_s=time.monotonic())
        await self._run_command("undrain", "push-0")

    async def _apply_change(self) -> None:
        change = self._folder / "change.toml"
        change.write_text(CHANGE_TOML)
        await self._run_command("apply", str(change), "--wave", "2")

    async def _kill_endpoint(self) -> None:
        endpoint = self._endpoints[1]
        endpoint.kill()
        await asyncio.sleep(DISCOVERY_DELAY_S)
        self._discovery.publish(member(endpoint.name, endpoint.address, "removed"))

    async def _restart_endpoint(self) -> None:
        endpoint = self._endpoints[1]
        await endpoint.start(endpoint.address.port)
        self._restarted.append(endpoint)
        up_since_ms = time.time_ns() // NS_PER_MS
        self._discovery.publish(member(endpoint.name, endpoint.address, up_since_ms=up_since_ms))
