"""Runs a scenario with real processes over loopback, with the same requests as the model's.

Sidecars are processes as the platform starts them (`sidecar_process`). Endpoints, discovery and the network
are those of the model behind sockets, in a process of their own (`backend_process`). Clients are in this
process (`clients`). The run is void if this process, or that of the endpoints, was later than the bounds in
`run_judgement` allow.
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from anisespool.lab.live.backend_client import BackendClient, backend_process
from anisespool.lab.live.backend_messages import BackendReady, RunOrder
from anisespool.lab.live.background_tasks import BackgroundTasks
from anisespool.lab.live.clients import Clients
from anisespool.lab.live.fault_injection import ProcessFaultInjector
from anisespool.lab.live.gossip_member_process import GossipMemberProcess
from anisespool.lab.live.process_handle import ProcessHandle, start_all
from anisespool.lab.live.process_supervisor import ProcessSupervisor
from anisespool.lab.live.run_judgement import judge_run
from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.live.sidecar_process import SidecarOptions, SidecarProcess
from anisespool.lab.live.timing import RunSpan, sleep_until, wait_bounded
from anisespool.lab.model.arrivals import plan_client_requests
from anisespool.lab.scenario import SECOND, Link, Scenario, ScenarioError

__all__ = ["LiveRunResult", "Progress", "RunHandle", "check_limits", "play"]

MAX_SIDECARS = 200
MAX_ENDPOINTS = 200
MAX_GOSSIP_PROCESSES = 64  # a datagram of limited size carries the heartbeats of many
COLLECT_INTERVAL_NS = 4 * SECOND  # time between two collections of members' events
START_DELAY_NS = SECOND // 2  # time between the start of the run and its first moment
UNCHANGED = "sound"  # the mutation that breaks nothing but allows clock shifts

Progress = Callable[[str, int], None]
RunCallback = Callable[["RunHandle"], Coroutine[Any, Any, None]]


def ignore_progress(stage: str, count: int) -> None:
    """Do nothing: the default of `play`."""


def check_limits(scenario: Scenario, source: str) -> None:
    """Check that a scenario is small enough to run with real processes on one machine.

    Raises:
        ScenarioError: It has too many sidecars or endpoints; the text names `source`.
    """
    max_members = MAX_GOSSIP_PROCESSES if scenario.plays == "talkers" else MAX_SIDECARS
    _check_count(source, "sidecars", scenario.sidecars, max_members)
    _check_count(source, "endpoints", scenario.endpoint_count, MAX_ENDPOINTS)


def _check_count(source: str, key: str, count: int, maximum: int) -> None:
    if count > maximum:
        wanted = f"found {count}, wanted at most {maximum}"
        raise ScenarioError(f"{source}: {key}: {wanted}: each needs a real process or port")


class RunHandle:
    """Access to a run in progress, for callbacks."""

    def __init__(self, backend: BackendClient, members: Sequence[ProcessHandle], span: RunSpan) -> None:
        self.members = members
        self._backend = backend
        self._span = span

    async def until(self, second: float) -> None:
        """Wait until a second of the scenario's own time."""
        await sleep_until(self._span.at(second))

    def add_link(self, link: dict[str, Any]) -> None:
        """Add a faulty link, written as in a scenario; its `at_s` counts from now.

        Raises:
            msgspec.ValidationError: It has another form.
        """
        self._backend.add_link(msgspec.convert(link, Link))


async def play(
    scenario: Scenario,
    seed: int,
    source: Path | None = None,
    control: bool = False,
    mutation: str = "",
    progress: Progress = ignore_progress,
    during_run: RunCallback | None = None,
) -> LiveRunResult:
    """Run a scenario once, in real time.

    Args:
        scenario: a scenario that passes `check_limits`.
        seed: seed of all random numbers.
        source: root of another checkout whose sidecar is run; none for this one.
        control: whether sidecars report events through their control sockets.
        mutation: name of a deliberate break of the program (`mutated_sidecar`); empty for none.
        progress: called with the name of a stage and the number of its completed steps.
        during_run: coroutine function that runs in parallel with the clients.

    Raises:
        VoidError: The run was disturbed and gives no verdict.
        ExceptionGroup: Processes were not ready in time, or ended.
        RuntimeError: The process of the endpoints failed.
    """
    async with _supervised_folder() as (folder, supervisor), backend_process(supervisor.env) as backend:
        backend.send_order(RunOrder(scenario, seed))
        factory = _MemberFactory(folder, supervisor, scenario, control, mutation, source)
        members = factory.build_all(await backend.wait_ready())
        return await _LiveRun(scenario, seed, backend, members).play(progress, during_run, control)


@asynccontextmanager
async def _supervised_folder() -> AsyncIterator[tuple[Path, ProcessSupervisor]]:
    """Yield a folder for a run's files, and a supervisor that kills the processes it leaves behind."""
    with tempfile.TemporaryDirectory() as folder:
        supervisor = ProcessSupervisor()
        await supervisor.start()
        try:
            yield Path(folder), supervisor
        finally:
            await wait_bounded(supervisor.stop())


@dataclass(frozen=True, slots=True)
class _MemberFactory:
    """Builds the members of a run without starting them."""

    folder: Path
    supervisor: ProcessSupervisor
    scenario: Scenario
    control: bool
    mutation: str
    source: Path | None

    def build_all(self, ready: BackendReady) -> list[ProcessHandle]:
        """Return all members, ordered by number."""
        return [self._build(number, ready) for number in range(len(ready.discoveries))]

    def _build(self, number: int, ready: BackendReady) -> ProcessHandle:
        network = ready.peer_network
        if self.scenario.plays == "talkers":
            budget = self.scenario.budget
            return GossipMemberProcess(number, self.folder, self.supervisor, network, budget, self.mutation)
        discovery = ready.discoveries[number]
        options = SidecarOptions(self.control, self._sidecar_mutation(), self.source)
        return SidecarProcess(
            number, self.folder, self.supervisor, self.scenario, discovery, network, options
        )

    def _sidecar_mutation(self) -> str:
        """Return the sidecars' mutation. Clock faults need one, which may be the one that breaks nothing."""
        shifts_clocks = any(fault.kind == "clock" for fault in self.scenario.faults)
        return self.mutation or (UNCHANGED if shifts_clocks else "")


class _LiveRun:
    """One run, from the start of its members to its judgement."""

    def __init__(
        self, scenario: Scenario, seed: int, backend: BackendClient, members: list[ProcessHandle]
    ) -> None:
        self.result: LiveRunResult
        self._scenario = scenario
        self._seed = seed
        self._backend = backend
        self._members = members
        self._tasks = BackgroundTasks()

    async def play(self, progress: Progress, during_run: RunCallback | None, control: bool) -> LiveRunResult:
        """Start the members, run the scenario, end the members, and return the judged result."""
        started = time.monotonic()
        try:
            await start_all(self._members, lambda count: progress("start", count))
            # Planning can take long, so it is done before the clock starts.
            client_requests = (
                plan_client_requests(self._scenario, self._seed) if self._scenario.plays == "sidecars" else []
            )
            start_s = time.monotonic() - started
            span = RunSpan.of(self._scenario, time.monotonic_ns() + START_DELAY_NS)
            self._backend.begin(span.first)
            self.result = LiveRunResult.of(self._scenario, span.begin)
            self.result.start_s = start_s
            clients = Clients(self._scenario, self._members, self.result)
            self._start_tasks(span, during_run, control)
            await clients.run(client_requests, span.first)
            await self._tasks.wait_all()
            await self._record_final_figures()
        finally:
            await wait_bounded(asyncio.gather(*(member.dispose() for member in self._members)))
        report = await self._backend.finish()
        accounts = [member.account for member in self._members]
        judge_run(self.result, report, accounts, clients.unsafe_rejections)
        return self.result

    def _start_tasks(self, span: RunSpan, during_run: RunCallback | None, control: bool) -> None:
        """Start the tasks that run in parallel with the clients."""
        injector = ProcessFaultInjector(self._scenario, self._seed, self._members, span)
        self.result.process_faults = injector.faults
        injector.schedule(self._tasks)
        if control:
            self._tasks.spawn(self._collect_events(span))
        if during_run:
            self._tasks.spawn(during_run(RunHandle(self._backend, self._members, span)))

    async def _collect_events(self, span: RunSpan) -> None:
        """Collect members' events until the end of the run: a member keeps only its latest ones."""
        while (now := time.monotonic_ns()) < span.end:
            await sleep_until(min(span.end, now + COLLECT_INTERVAL_NS))
            for member in self._members:
                if member.up and not member.account.had_outage_at(time.monotonic_ns()):
                    await member.collect_events()

    async def _record_final_figures(self) -> None:
        """Record crashes, the last events and resource usage of the members before they are ended."""
        for member in self._members:
            member.check_running()
            await member.collect_events()
        stats = [member.stats() for member in self._members]
        self.result.cpu_s = [stat.cpu_s for stat in stats]
        self.result.memory_mb = sum(stat.memory_mb for stat in stats)
