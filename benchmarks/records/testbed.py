"""Runs a sidecar with records and one without, an endpoint, and a syslog receiver on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from anisespool.config.platform import Address
from anisespool.fakes import http1
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.local_fleet import LocalFleet
from anisespool.fakes.platform import member

WITH_RECORDS = "with"
"""Name of the sidecar with records."""
WITHOUT_RECORDS = "none"
"""Name of the sidecar without records."""
SIDECARS = (WITH_RECORDS, WITHOUT_RECORDS)
WARMUP_S = 2.0
CLOSED_LOOP_CLIENTS = 16
DISTINCT_PATHS = 997
KB_PER_MB = 1024

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class SyslogReceiver:
    """The fake receiver's process, controlled by lines on its standard input."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process

    async def _command(self, line: str) -> None:
        assert self._process.stdin
        self._process.stdin.write(line.encode() + b"\n")
        await self._process.stdin.drain()

    async def _read(self) -> Any:
        assert self._process.stdout
        return json.loads(await self._process.stdout.readline())

    async def address(self) -> Address:
        """Return its address, the first line that it prints."""
        return Address(*await self._read())

    async def pause(self) -> None:
        """Make it stop reading."""
        await self._command("stall")

    async def resume(self) -> None:
        """Make it read again."""
        await self._command("go on")

    async def counts(self) -> dict[str, Any]:
        """Return its counts by kind of record, and the faults that it found."""
        await self._command("count")
        counts: dict[str, Any] = await self._read()
        return counts

    async def kill(self) -> None:
        """Kill its process."""
        self._process.kill()
        await self._process.wait()


class RecordsTestbed:
    """The two sidecars, their clients, and the receiver."""

    def __init__(self, fleet: LocalFleet, receiver: SyslogReceiver) -> None:
        self.receiver = receiver
        self._fleet = fleet
        self._requests = 0

    async def warm_up(self, per_s: float) -> None:
        """Send warm-up requests to both sidecars; their latency is discarded."""
        for name in SIDECARS:
            await self.open_loop(name, WARMUP_S, per_s)

    def cpu_us(self, name: str) -> float:
        """Return the sidecar's CPU time in microseconds, as the scheduler counts it."""
        pid = self._fleet.sidecars[name].pid
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e3

    def rss_mb(self, name: str) -> float:
        """Return the sidecar's resident memory."""
        text = Path(f"/proc/{self._fleet.sidecars[name].pid}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) / KB_PER_MB

    async def stop(self, name: str) -> None:
        """Shut a sidecar down, and wait for its exit."""
        process = self._fleet.sidecars[name]
        process.terminate()
        await process.wait()

    async def _connect(self, name: str) -> Streams:
        return await asyncio.open_connection(*self._fleet.addresses[name])

    def _next_request(self) -> bytes:
        self._requests += 1
        line = b"GET /token-lookup/%d HTTP/1.1\r\n" % (self._requests % DISTINCT_PATHS)
        trace = b"Host: a\r\nX-Trace-Id: t%d\r\n" % self._requests
        return line + trace + b"X-Customer: tiendas-sol\r\nX-Expires-In-Ms: 1000\r\n\r\n"

    async def open_loop(self, name: str, seconds: float, per_s: float) -> list[float]:
        """Send requests at a steady rate on kept-alive connections.

        Returns:
            Latencies in ms, each from the time at which its request was due.
        """
        latencies_ms: list[float] = []
        idle: list[Streams] = []

        async def send(due_s: float) -> None:
            reader, writer = idle.pop() if idle else await self._connect(name)
            writer.write(self._next_request())
            await http1.read_response(reader)
            latencies_ms.append(1e3 * (time.monotonic() - due_s))
            idle.append((reader, writer))

        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for number in range(int(seconds * per_s)):
                due_s = start + number / per_s
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                group.create_task(send(due_s))
        for _, writer in idle:
            writer.close()
        return latencies_ms

    async def closed_loop(self, name: str, seconds: float) -> int:
        """Send requests as fast as CLOSED_LOOP_CLIENTS connections can, and return how many were answered."""
        end_s = time.monotonic() + seconds
        return sum(await asyncio.gather(*(self._client(name, end_s) for _ in range(CLOSED_LOOP_CLIENTS))))

    async def _client(self, name: str, end_s: float) -> int:
        answered = 0
        reader, writer = await self._connect(name)
        while time.monotonic() < end_s:
            try:
                writer.write(self._next_request())
                await http1.read_response(reader)
                answered += 1
            except (OSError, EOFError):  # The sidecar may close a connection between requests.
                writer.close()
                reader, writer = await self._connect(name)
        writer.close()
        return answered


@asynccontextmanager
async def run_testbed() -> AsyncIterator[RecordsTestbed]:
    """Run the testbed, and end all its processes on exit."""
    async with _receiver() as receiver, Endpoint().serve() as endpoint:
        address = await receiver.address()
        listed = [member("push-0", endpoint.address)]
        async with DiscoveryService(listed).serve() as discovery:
            with tempfile.TemporaryDirectory() as folder:
                fleet = LocalFleet(Path(folder), discovery.address, listed)
                try:
                    await _start_sidecars(fleet, Path(folder), address)
                    yield RecordsTestbed(fleet, receiver)
                finally:
                    await fleet.close()


@asynccontextmanager
async def _receiver() -> AsyncIterator[SyslogReceiver]:
    pipe = asyncio.subprocess.PIPE
    command = [sys.executable, "-m", "anisespool.fakes.syslog", "tcp"]
    process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
    receiver = SyslogReceiver(process)
    try:
        yield receiver
    finally:
        await receiver.kill()


async def _start_sidecars(fleet: LocalFleet, folder: Path, receiver: Address) -> None:
    with_records = folder / "records.toml"
    with_records.write_text(f'[records]\nto = "tcp://{receiver.host}:{receiver.port}"\n')
    without_records = folder / "empty.toml"
    without_records.write_text("")
    await fleet.start_sidecar(WITH_RECORDS, operator_file=with_records)
    await fleet.start_sidecar(WITHOUT_RECORDS, operator_file=without_records)
