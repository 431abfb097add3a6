"""Real sidecars, an agent, fake endpoints and clients on loopback, for the benchmark `fleet`."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import grpc

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.v1 import agent_pb2_grpc
from anisespool.fakes.clients import Client, ClientLog
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.endpoint import CountingEndpoint
from anisespool.fakes.local_fleet import LocalFleet
from anisespool.fakes.platform import member

ENDPOINTS = 12
SLOTS = 8  # of an endpoint
REQUESTS_PER_S = 2.0  # at each sidecar
MAX_STARTING = 24  # processes started together
KEEPALIVE_S = 10.0  # what a change sets differs from it a little, each time
KB_PER_MB = 1024
WITHOUT_BASE = -1  # of a change that applies whatever the generation is
ANY_NUMBER = -1  # of unreachable instances
UTIME_FIELD = 11  # in /proc/PID/stat behind the command's name; the next one is the system's time


async def polls(interval_s: float) -> AsyncIterator[None]:
    """Yield at once and then at intervals: another process's state announces itself to nobody."""
    while True:
        yield
        await asyncio.sleep(interval_s)


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that was rolled out: seconds until it settled, and the agent's last report."""

    took_s: float
    progress: pb.Progress


class FleetTestbed:
    """A fleet of `size` sidecars with an agent, and the endpoints that it is given."""

    def __init__(self, processes: LocalFleet, endpoints: list[CountingEndpoint], size: int) -> None:
        self.processes = processes
        self.endpoints = endpoints
        self.size = size
        self.names = [f"edge-{number:03}" for number in range(size)]
        self._changes = 0

    async def start(self) -> None:
        """Start the sidecars, some at a time, and then the agent."""
        gate = asyncio.Semaphore(MAX_STARTING)

        async def start_sidecar(name: str) -> None:
            async with gate:
                await self.processes.start_sidecar(name, self.size)

        await asyncio.gather(*(start_sidecar(name) for name in self.names))
        await self.processes.start_agent()

    @property
    def agent(self) -> asyncio.subprocess.Process:
        """The agent's process."""
        assert self.processes.agent
        return self.processes.agent

    @asynccontextmanager
    async def stub(self) -> AsyncIterator[Any]:
        """Connect to the agent."""
        async with grpc.aio.insecure_channel(f"unix:{self.processes.state_directory}/agent.sock") as channel:
            await channel.channel_ready()
            yield agent_pb2_grpc.AgentStub(channel)

    def _next_content(self) -> str:
        """Return a configuration that differs from all before."""
        self._changes += 1
        return json.dumps({"connections": {"client_kept_s": KEEPALIVE_S + self._changes / 1000}})

    async def change(self, wave: int = 0) -> AppliedChange:
        """Roll out a change, `wave` instances at a time (0: the agent's own choice)."""
        request = pb.ApplyRequest(
            content_json=self._next_content(),
            base_generation=WITHOUT_BASE,
            wave=wave,
            most_unreachable=ANY_NUMBER,
        )
        async with self.stub() as stub:
            start = time.monotonic()
            progress = pb.Progress()
            async for report in stub.Apply(request):
                progress = report
            return AppliedChange(time.monotonic() - start, progress)

    async def drain(self, request: pb.DrainRequest) -> pb.DrainProgress:
        """Drain or undrain, and return the agent's last report."""
        progress = pb.DrainProgress()
        async with self.stub() as stub:
            async for report in stub.Drain(request):
                progress = report
        return progress

    async def generations(self, names: list[str]) -> dict[str, int]:
        """Return the generation that each instance reports itself, past the agent."""
        states = await asyncio.gather(*(self.processes.control_state(name) for name in names))
        return {state["name"]: state["generation"] for state in states}

    def agent_rss_mb(self) -> float:
        """Return the greatest memory that the agent has had."""
        text = Path(f"/proc/{self.agent.pid}/status").read_text()
        return int(text.split("VmHWM:")[1].split()[0]) / KB_PER_MB

    def agent_cpu_s(self) -> float:
        """Return the agent's CPU time so far."""
        stat = Path(f"/proc/{self.agent.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        ticks = int(fields[UTIME_FIELD]) + int(fields[UTIME_FIELD + 1])
        return ticks / os.sysconf("SC_CLK_TCK")


@asynccontextmanager
async def run_fleet(size: int) -> AsyncIterator[FleetTestbed]:
    """Run a fleet of `size` sidecars, and end all its processes whatever happens."""
    endpoints = [CountingEndpoint(f"push-{number}", slots=SLOTS) for number in range(ENDPOINTS)]
    with tempfile.TemporaryDirectory() as folder:
        for endpoint in endpoints:
            await endpoint.start()
        listed = [member(endpoint.name, endpoint.address) for endpoint in endpoints]
        roster = DiscoveryService(listed)
        async with roster.serve():
            fleet = FleetTestbed(LocalFleet(Path(folder), roster.address, listed), endpoints, size)
            try:
                await fleet.start()
                yield fleet
            finally:
                await fleet.processes.close()
                for endpoint in endpoints:
                    endpoint.kill()


@asynccontextmanager
async def client_traffic(
    fleet: FleetTestbed, before_s: float = 1.0, after_s: float = 1.0
) -> AsyncIterator[ClientLog]:
    """Send requests at each sidecar, from `before_s` before the block to `after_s` after it."""
    load = ClientLog()
    stop = asyncio.Event()
    clients = [
        Client(fleet.processes.addresses[name], load, seed, name) for seed, name in enumerate(fleet.names)
    ]
    tasks = [asyncio.create_task(client.run(REQUESTS_PER_S, float("inf"), stop)) for client in clients]
    await asyncio.sleep(before_s)
    yield load
    await asyncio.sleep(after_s)
    stop.set()
    await asyncio.gather(*tasks)
