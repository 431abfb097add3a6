"""Runs real sidecars, an agent, fake endpoints and clients on loopback, for the benchmark `fleet`."""

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
SLOTS_PER_ENDPOINT = 8
REQUESTS_PER_S = 2.0
"""Requests per second at each sidecar."""
MAX_CONCURRENT_STARTS = 24
KEEPALIVE_S = 10.0
"""Each change sets a value slightly above this one, so that no two changes are equal."""
KB_PER_MB = 1024
ANY_GENERATION = -1
"""The `base_generation` of a change that applies to any generation."""
UNLIMITED_UNREACHABLE = -1
"""The `most_unreachable` that sets no limit."""
UTIME_FIELD_INDEX = 11
"""Index of `utime` in /proc/PID/stat, among the fields after the command's name; `stime` follows it."""


async def polls(interval_s: float) -> AsyncIterator[None]:
    """Yield at once and then at intervals, to poll the state of another process."""
    while True:
        yield
        await asyncio.sleep(interval_s)


@dataclass(frozen=True, slots=True)
class AppliedChange:
    """A change that was rolled out: the seconds until it was finished, and the agent's last report."""

    took_s: float
    progress: pb.Progress


class FleetTestbed:
    """A fleet of `size` sidecars with an agent, and its endpoints."""

    def __init__(self, processes: LocalFleet, endpoints: list[CountingEndpoint], size: int) -> None:
        self.processes = processes
        self.endpoints = endpoints
        self.size = size
        self.names = [f"edge-{number:03}" for number in range(size)]
        self._changes = 0

    async def start(self) -> None:
        """Start the sidecars, at most MAX_CONCURRENT_STARTS at a time, and then the agent."""
        concurrent_starts = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start_sidecar(name: str) -> None:
            async with concurrent_starts:
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
        """Return a configuration that differs from all earlier ones."""
        self._changes += 1
        return json.dumps({"connections": {"client_kept_s": KEEPALIVE_S + self._changes / 1000}})

    async def change(self, wave: int = 0) -> AppliedChange:
        """Roll out a change, `wave` instances at a time (0: the agent's default)."""
        request = pb.ApplyRequest(
            content_json=self._next_content(),
            base_generation=ANY_GENERATION,
            wave=wave,
            most_unreachable=UNLIMITED_UNREACHABLE,
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
        """Return the generation that each instance itself reports on its control socket."""
        states = await asyncio.gather(*(self.processes.control_state(name) for name in names))
        return {state["name"]: state["generation"] for state in states}

    def agent_rss_mb(self) -> float:
        """Return the agent's peak memory."""
        text = Path(f"/proc/{self.agent.pid}/status").read_text()
        return int(text.split("VmHWM:")[1].split()[0]) / KB_PER_MB

    def agent_cpu_s(self) -> float:
        """Return the CPU time that the agent has used."""
        stat = Path(f"/proc/{self.agent.pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        ticks = int(fields[UTIME_FIELD_INDEX]) + int(fields[UTIME_FIELD_INDEX + 1])
        return ticks / os.sysconf("SC_CLK_TCK")


@asynccontextmanager
async def run_fleet(size: int) -> AsyncIterator[FleetTestbed]:
    """Run a fleet of `size` sidecars, and end all its processes on exit."""
    endpoints = [CountingEndpoint(f"push-{number}", slots=SLOTS_PER_ENDPOINT) for number in range(ENDPOINTS)]
    with tempfile.TemporaryDirectory() as folder:
        for endpoint in endpoints:
            await endpoint.start()
        listed = [member(endpoint.name, endpoint.address) for endpoint in endpoints]
        discovery = DiscoveryService(listed)
        async with discovery.serve():
            fleet = FleetTestbed(LocalFleet(Path(folder), discovery.address, listed), endpoints, size)
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
    """Send requests to each sidecar, from `before_s` before the block to `after_s` after it."""
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
