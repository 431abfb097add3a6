"""Injects the scenario's faults into the members' processes, each at its scheduled moment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from anisespool.lab.live.background_tasks import BackgroundTasks
from anisespool.lab.live.process_handle import MAX_STARTING, ProcessHandle
from anisespool.lab.live.process_stats import LimitKind, lift_limit, limit_to_current_use
from anisespool.lab.live.timing import RunSpan, sleep_until
from anisespool.lab.model.faults import ProcessFault, process_faults
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.scenario import Kind, Scenario

Injection = Callable[[ProcessHandle, ProcessFault, int], Awaitable[None]]


class ProcessFaultInjector:
    """Kills, restarts, freezes, starves and limits the processes of a run, and shifts their clocks."""

    def __init__(
        self, scenario: Scenario, seed: int, members: Sequence[ProcessHandle], span: RunSpan
    ) -> None:
        self.faults: list[ProcessFault] = process_faults(scenario, RandomStreams(seed).named("processes"))
        self._members = members
        self._span = span
        self._start_slots = asyncio.Semaphore(MAX_STARTING)
        self._injections: dict[Kind, Injection] = {
            "sidecar": self._kill_and_restart,
            "sidecars": self._kill_and_restart,
            "down": self._kill_and_restart,
            "roll": self._restart,
            "freeze": self._freeze,
            "starve": self._starve,
            "clock": self._shift_clock,
            "descriptors": self._limit_descriptors,
            "memory": self._limit_memory,
        }

    def schedule(self, tasks: BackgroundTasks) -> None:
        """Start a task for each fault."""
        for fault in self.faults:
            tasks.spawn(self._inject(fault))

    async def _inject(self, fault: ProcessFault) -> None:
        member = self._members[fault.sidecar]
        await sleep_until(self._span.begin + fault.begins_at)
        if member.up:  # down: an earlier fault hit it, and it has not recovered
            until = min(self._span.end, self._span.begin + fault.ends_at)
            await self._injections[fault.kind](member, fault, until)

    async def _kill_and_restart(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await member.kill()
        if until >= self._span.end:
            return
        await sleep_until(until)
        await self._start(member)

    async def _restart(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await member.terminate()
        await self._start(member)

    async def _start(self, member: ProcessHandle) -> None:
        async with self._start_slots:
            await member.start()

    async def _freeze(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await member.freeze(until)

    async def _starve(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await member.starve(until)

    async def _shift_clock(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        member.shift_clock(fault.fault.jump_s)

    async def _limit_descriptors(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await self._limit(member, "descriptors", fault.fault.size, until)

    async def _limit_memory(self, member: ProcessHandle, fault: ProcessFault, until: int) -> None:
        await self._limit(member, "memory", fault.fault.size, until)

    async def _limit(self, member: ProcessHandle, kind: LimitKind, extra: float, until: int) -> None:
        limit_to_current_use(member.pid, kind, extra)
        await sleep_until(until)
        lift_limit(member.pid, kind)
