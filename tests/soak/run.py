"""Plays one run: sidecars as processes of their own, their clients, endpoints and discovery in this one."""

from __future__ import annotations

import asyncio
import os
import signal
import time
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, replace
from pathlib import Path

from anisespool.config.platform import Address
from anisespool.fakes import platform
from anisespool.fakes.discovery import DiscoveryService
from anisespool.fakes.server import Connection, reset
from tests.harness import deploy_file
from tests.harness.client import wait_until_health
from tests.harness.hostile_clients import hostile_clients
from tests.harness.process_resources import descriptor_count, peak_memory_mb
from tests.soak import plan as plans
from tests.soak.clients import SoakClient
from tests.soak.endpoint import SoakEndpoint
from tests.soak.judge import judge
from tests.soak.plan import Fault, Plan
from tests.soak.records import ClientEnd, DrainNotice, RunRecord, Usage

STALL_CHECK_S = 0.01
MEASURE_S = 0.05
MAX_STALL_S = 0.03  # a longer delay of the run's own event loop makes it void
CROWD_PAUSE_S = 0.2
STARVED_S = 0.03
RUNNING_S = 0.01
SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
SIGNAL_PAUSE_S = 0.05


class StartError(Exception):
    """A sidecar's process ended while it started."""


@dataclass(frozen=True, slots=True)
class RunResult:
    """The verdict on one run."""

    seed: int
    violations: list[str]
    requests: int
    answered: int
    served: int
    slowest_answer_s: float
    """The longest time to an answer, from the first byte of its request."""
    usage: list[Usage]
    is_void: bool
    """Whether the run's own event loop was late, so that a violation proves nothing."""
    crashes: list[str]

    @property
    def is_broken(self) -> bool:
        """Whether a rule was broken, or a sidecar crashed."""
        return bool(self.violations or self.crashes)


@dataclass(slots=True)
class Sidecar:
    """One sidecar and its discovery service."""

    number: int
    address: Address
    env: dict[str, str]
    discovery: DiscoveryService
    log_path: Path
    process: asyncio.subprocess.Process | None = None
    is_restarting: bool = False

    async def start(self) -> None:
        """Start the process, and wait until it is ready.

        Raises:
            StartError: The process ended before.
        """
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy_file.run_command(), env=os.environ | self.env, cwd=deploy_file.ROOT, stderr=log
            )
        while True:
            with suppress(OSError, EOFError):
                await wait_until_health(self.address, 200)
                return
            if self.process.returncode is not None:
                raise StartError(f"sidecar {self.number}: {self.process.returncode} while it started")
            await asyncio.sleep(0.01)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)


class Run:
    """One run."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan = plan
        self._folder = folder
        self._record = RunRecord()
        self._endpoints = [
            SoakEndpoint(number, self._record, plan.endpoint_fault_share, plan.seed)
            for number in range(plans.ENDPOINTS)
        ]
        self._sidecars: list[Sidecar] = []
        self._draining: set[int] = set()
        self._crashes: list[str] = []

    async def play(self) -> RunResult:
        """Play the run, and judge it."""
        async with AsyncExitStack() as stack:
            for endpoint in self._endpoints:
                await stack.enter_async_context(endpoint.serve())
            for number in range(plans.SIDECARS):
                await self._prepare_sidecar(number, stack)
            stack.callback(self._kill_all)
            await asyncio.gather(*(sidecar.start() for sidecar in self._sidecars))
            await self._play_started()
        requests = self._record.requests
        return RunResult(
            seed=self._plan.seed,
            violations=judge(self._record),
            requests=len(requests),
            answered=sum(bool(request.status) for request in requests),
            served=sum(request.status == 200 for request in requests),
            slowest_answer_s=max(
                request.ended_s - request.sent_s for request in requests if request.end is ClientEnd.ANSWERED
            ),
            usage=self._record.usage,
            is_void=bool(self._record.stalls_s),
            crashes=self._crashes,
        )

    async def _prepare_sidecar(self, number: int, stack: AsyncExitStack) -> None:
        members = [self._member(endpoint) for endpoint in range(plans.ENDPOINTS)]
        discovery = await stack.enter_async_context(DiscoveryService(members).serve())
        reserved = stack.enter_context(platform.reserve_port())
        listen = "{}:{}".format(*reserved.getsockname())
        folder = self._folder / f"sidecar-{number}"
        folder.mkdir()
        env = platform.write_config(
            folder,
            discovery.address,
            members,
            self._plan.settings | {"self-index": number},
            listen,
            f"n{number}",
            self._plan.sockets,
            self._plan.memory_mb,
        )
        sidecar = Sidecar(number, Address.parse(listen), env, discovery, folder / "log")
        self._sidecars.append(sidecar)

    def _member(self, endpoint: int, phase: str = "up") -> dict[str, object]:
        return platform.member(f"s-{endpoint}", self._endpoints[endpoint].address, phase)

    async def _play_started(self) -> None:
        start_s = time.monotonic()
        watching = asyncio.create_task(self._watch_stalls())
        measuring = [asyncio.create_task(self._measure(sidecar)) for sidecar in self._sidecars]
        crowds = [asyncio.create_task(self._crowd(sidecar)) for sidecar in self._sidecars]
        classes = self._plan.settings["request-classes"]
        clients = [
            SoakClient(sidecar.number, sidecar.address, classes, self._record, self._plan.seed)
            for sidecar in self._sidecars
        ]
        until_s = start_s + plans.RUN_S
        faults = [asyncio.create_task(self._inject(fault, start_s)) for fault in self._plan.faults]
        await asyncio.gather(*(client.run(self._plan.rate_per_s, until_s) for client in clients), *faults)
        background = (watching, *measuring, *crowds)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        for sidecar in self._sidecars:
            if sidecar.process and sidecar.process.returncode is not None:
                self._crashes.append(f"sidecar {sidecar.number}: {sidecar.process.returncode}")

    def _kill_all(self) -> None:
        for sidecar in self._sidecars:
            sidecar.send_signal(signal.SIGKILL)

    async def _watch_stalls(self) -> None:
        while True:
            due_s = time.monotonic() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            if time.monotonic() - due_s > MAX_STALL_S:
                self._record.stalls_s.append(time.monotonic())

    async def _measure(self, sidecar: Sidecar) -> None:
        """Note the most that the sidecar's processes use."""
        usage = Usage(sidecar.number, self._plan.memory_mb, self._plan.sockets)
        self._record.usage.append(usage)
        while True:
            await asyncio.sleep(MEASURE_S)
            if sidecar.process and sidecar.process.returncode is None:
                with suppress(OSError, ValueError):  # the process has just ended
                    usage.memory_mb = max(usage.memory_mb, peak_memory_mb(sidecar.process.pid))
                    usage.descriptors = max(usage.descriptors, descriptor_count(sidecar.process.pid))

    async def _crowd(self, sidecar: Sidecar) -> None:
        """Keep idle connections open, which fill the sidecar's descriptors."""
        writers: list[asyncio.StreamWriter] = []
        try:
            while True:
                writers = [writer for writer in writers if not writer.is_closing()]
                with suppress(OSError):
                    while len(writers) < self._plan.crowd:
                        _, writer = await asyncio.open_connection(*sidecar.address)
                        writers.append(writer)
                await asyncio.sleep(CROWD_PAUSE_S)
        finally:
            for writer in writers:
                writer.transport.abort()

    async def _inject(self, fault: Fault, start_s: float) -> None:
        await asyncio.sleep(max(0.0, start_s + fault.at_s - time.monotonic()))
        await getattr(self, f"_{fault.kind.value}")(fault)

    async def _hold_up(self, fault: Fault) -> None:
        sidecar = self._sidecars[fault.target]
        if sidecar.is_restarting:  # a hold-up until SIGKILL leaves no time for an answer
            return
        sidecar.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.for_s)
        sidecar.send_signal(signal.SIGCONT)

    async def _starve(self, fault: Fault) -> None:
        end_s = time.monotonic() + fault.for_s
        while time.monotonic() < end_s:
            await self._hold_up(replace(fault, for_s=STARVED_S))
            await asyncio.sleep(RUNNING_S)

    async def _drain(self, fault: Fault) -> None:
        endpoint = fault.target
        if endpoint in self._draining or len(self._draining) >= plans.ENDPOINTS // 2:
            return
        self._draining.add(endpoint)
        self._record.drains.append(self._publish(endpoint, "draining"))
        await asyncio.sleep(fault.for_s)
        self._record.drain_ends.append(self._publish(endpoint, "up"))
        self._draining.discard(endpoint)

    def _publish(self, endpoint: int, phase: str) -> DrainNotice:
        return self._publish_entry(endpoint, self._member(endpoint, phase))

    def _publish_entry(self, endpoint: int, entry: dict[str, object]) -> DrainNotice:
        """Send a change to all watches, and note which sidecars have one."""
        watching = frozenset(sidecar.number for sidecar in self._sidecars if _open_watches(sidecar))
        at_s = time.monotonic()
        for sidecar in self._sidecars:
            sidecar.discovery.publish(entry)
        return DrainNotice(endpoint, at_s, watching)

    async def _restart(self, fault: Fault) -> None:
        sidecar = self._sidecars[fault.target]
        if not sidecar.process:
            return
        sidecar.is_restarting = True
        sigkill_at_s = asyncio.get_running_loop().time() + self._plan.sigkill_after_s
        for number in SHUTDOWN_SIGNALS:
            sidecar.send_signal(number)
            await asyncio.sleep(SIGNAL_PAUSE_S)
        with suppress(TimeoutError):
            async with asyncio.timeout_at(sigkill_at_s):
                await sidecar.process.wait()
        sidecar.send_signal(signal.SIGKILL)
        status = await sidecar.process.wait()
        if status not in (0, -signal.SIGKILL):
            self._crashes.append(f"sidecar {sidecar.number}: {status} after SIGTERM")
        try:
            await sidecar.start()
        except StartError as error:
            self._crashes.append(str(error))
            await sidecar.start()
        sidecar.is_restarting = False

    async def _reload(self, fault: Fault) -> None:
        self._sidecars[fault.target % plans.SIDECARS].send_signal(signal.SIGHUP)

    async def _endpoint_down(self, fault: Fault) -> None:
        endpoint = self._endpoints[fault.target]
        endpoint.go_down()
        await asyncio.sleep(fault.for_s)
        endpoint.is_down = False

    async def _endpoint_hangs(self, fault: Fault) -> None:
        endpoint = self._endpoints[fault.target]
        endpoint.hangs = True
        await asyncio.sleep(fault.for_s)
        endpoint.hangs = False

    async def _hostile_clients(self, fault: Fault) -> None:
        assert fault.attack
        async with hostile_clients(self._sidecars[fault.target].address, fault.attack):
            await asyncio.sleep(fault.for_s)

    async def _address_reuse(self, fault: Fault) -> None:
        endpoint = fault.target
        if endpoint in self._draining or len(self._draining) >= plans.ENDPOINTS // 2:
            return
        self._draining.add(endpoint)
        started_ms = int(time.time() * 1000)
        address = self._endpoints[endpoint].address
        successor = platform.member(f"s-{endpoint}-next", address, "draining", up_since_ms=started_ms)
        self._record.drains.append(self._publish_entry(endpoint, successor))
        await asyncio.sleep(fault.for_s)
        removed = platform.member(f"s-{endpoint}-next", address, "removed")
        self._record.drain_ends.append(self._publish_entry(endpoint, removed))
        self._draining.discard(endpoint)

    async def _watch_reset(self, fault: Fault) -> None:
        for connection in _open_watches(self._sidecars[fault.target % plans.SIDECARS]):
            reset(connection.writer)


def _open_watches(sidecar: Sidecar) -> list[Connection]:
    return [watch for watch in sidecar.discovery.connections if not watch.writer.is_closing()]
