"""Measures how long real sidecars under traffic take to apply a change, and what requests it costs.

Fleets of 10, 50 and 200 sidecars with an agent apply a change of their configuration. The largest also
applies one while a sidecar is stopped, drains an endpoint, and has its agent killed at random moments.
Objectives: every sidecar applies a change in under 10 s, no request is rejected or failed, and no rule is
broken. With one sidecar stopped, the others converge, and it follows within 5 s of being resumed. Nothing
reaches a drained endpoint 250 ms after the call began. A restarted agent reports exactly what the instances
report.
"""

from __future__ import annotations

import asyncio
import random
import signal
import time
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass

import grpc

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.fakes.clients import ClientLog, ClientOutcome, ClientRequest
from anisespool.fakes.rule_checker import check_rules
from benchmarks.fleet_testbed import FleetTestbed, client_traffic, polls, run_fleet
from benchmarks.report import Report
from benchmarks.runner import Benchmark

SIZES = (10, 50, 200)
MAX_CHANGE_S = 10.0
IDLE_S = 2.0
"""Time over which the idle agent's CPU time is measured."""
STOPPED_INDEX = 7
"""Index of the sidecar that is stopped."""
MAX_CATCH_UP_S = 5.0
POLL_S = 0.02
DRAIN_TRAFFIC_BEFORE_S = 2.0
DRAIN_TRAFFIC_AFTER_S = 3.0
MAX_DRAIN_S = 0.25
KILLS = 30
MAX_KILL_DELAY_S = 0.35
WAVES_UNDER_KILLS = 8
"""Waves of a change during which the agent is killed."""
KILL_POLL_S = 0.05
SEED = 20261201
APPLIED_STANDING = "has"
"""The standing that the agent reports of a target with the change."""


def _count_not_served(requests: Iterable[ClientRequest]) -> int:
    return sum(request.outcome is not ClientOutcome.SERVED for request in requests)


async def _measure_sizes(report: Report) -> None:
    for size in SIZES:
        async with run_fleet(size) as fleet:
            await _measure_change(report, fleet)
            if size == SIZES[-1]:
                await _measure_with_one_stopped(report, fleet)
                await _measure_drain(report, fleet)
                await _measure_agent_kills(report, fleet)


async def _measure_change(report: Report, fleet: FleetTestbed) -> None:
    async with client_traffic(fleet) as load:
        change = await fleet.change()
    idle_cpu = await _idle_cpu_share(fleet)
    progress = change.progress
    not_served = _count_not_served(load.requests)
    report.add_row(
        fleet.size,
        f"{change.took_s:.2f}",
        f"{progress.has} of {progress.total}",
        len(load.requests),
        not_served,
        fleet.agent_rss_mb(),
        100 * idle_cpu,
    )
    text = f"{fleet.size} sidecars apply a change in under {MAX_CHANGE_S:g} s"
    report.check_objective(change.took_s < MAX_CHANGE_S, text)
    all_applied = progress.has == progress.total == fleet.size
    report.check_objective(all_applied, f"{fleet.size} sidecars: all have the change")
    rules_met = all(verdict.kept for verdict in check_rules(load.requests, fleet.endpoints, [], []))
    text = f"{fleet.size} sidecars: no request rejected or failed, rules kept"
    report.check_objective(not_served == 0 and rules_met, text)


async def _idle_cpu_share(fleet: FleetTestbed) -> float:
    """Return the agent's CPU time as a share of a core while the fleet is idle."""
    before = fleet.agent_cpu_s()
    await asyncio.sleep(IDLE_S)
    return (fleet.agent_cpu_s() - before) / IDLE_S


async def _measure_with_one_stopped(report: Report, fleet: FleetTestbed) -> None:
    stopped = fleet.names[STOPPED_INDEX]
    others = [name for name in fleet.names if name != stopped]
    process = fleet.processes.sidecars[stopped]
    process.send_signal(signal.SIGSTOP)
    async with client_traffic(fleet) as load:
        change = await fleet.change()
    not_served = _count_not_served(
        request for request in load.requests if not request.trace_id.startswith(stopped)
    )
    process.send_signal(signal.SIGCONT)
    catch_up_s = await _seconds_until_applied(fleet, stopped, change.progress.generation)
    generations = await fleet.generations(others)
    converged = sum(found == change.progress.generation for found in generations.values())
    unreachable = change.progress.unreachable
    report.add_table(
        "A change with one sidecar stopped (SIGSTOP)",
        ("s", "others have it", "unreachable", "not served elsewhere", "s after it came back"),
        (
            f"{change.took_s:.2f}",
            f"{converged} of {len(others)}",
            str(unreachable),
            str(not_served),
            f"{catch_up_s:.2f}",
        ),
    )
    met = converged == len(others) and unreachable == 1
    report.check_objective(met, "with one sidecar stopped, the others converge")
    text = f"the stopped sidecar has the change within {MAX_CATCH_UP_S:g} s of being resumed"
    report.check_objective(catch_up_s < MAX_CATCH_UP_S, text)
    report.check_objective(
        not_served == 0, "with one sidecar stopped, no request at the others is rejected or failed"
    )


async def _seconds_until_applied(fleet: FleetTestbed, name: str, generation: int) -> float:
    start = time.monotonic()
    async for _ in polls(POLL_S):
        if (await fleet.generations([name]))[name] == generation:
            break
    return time.monotonic() - start


@dataclass(frozen=True, slots=True)
class DrainRun:
    """A drain under traffic, and its duration.

    Attributes:
        began_s: Monotonic time at which the agent was called.
        took_s: Duration of the call, which returns when every sidecar has confirmed the drain.
        progress: The agent's last report.
        load: Requests that the clients sent during the drain.
    """

    began_s: float
    took_s: float
    progress: pb.DrainProgress
    load: ClientLog


async def _drain(fleet: FleetTestbed, endpoint: str) -> DrainRun:
    async with client_traffic(fleet, DRAIN_TRAFFIC_BEFORE_S, DRAIN_TRAFFIC_AFTER_S) as load:
        start = time.monotonic()
        progress = await fleet.drain(pb.DrainRequest(drain=[endpoint]))
        took_s = time.monotonic() - start
    return DrainRun(start, took_s, progress, load)


async def _measure_drain(report: Report, fleet: FleetTestbed) -> None:
    """Measure the time until the last request reaches a drained endpoint.

    The time runs from the start of the call, as no sidecar can be notified earlier. All sidecars have been
    notified when the call ends.
    """
    endpoint = fleet.endpoints[0]
    run = await _drain(fleet, endpoint.name)
    arrivals = [executed.at_s - run.began_s for executed in endpoint.log.executions]
    latest_s = max((at_s for at_s in arrivals if at_s > 0), default=0.0)
    report.add_table(
        f"Drain of one endpoint at {fleet.size}",
        ("told", "ms to tell all", "last arrival after the call began, ms", "not served"),
        (
            f"{run.progress.told} of {run.progress.total}",
            f"{run.took_s * 1000:.0f}",
            f"{latest_s * 1000:.0f}",
            str(_count_not_served(run.load.requests)),
        ),
    )
    text = "nothing reaches a drained endpoint 250 ms after the drain was requested"
    report.check_objective(latest_s < MAX_DRAIN_S, text)
    await fleet.drain(pb.DrainRequest(undrain=[endpoint.name]))


@dataclass(frozen=True, slots=True)
class AgentKill:
    """The outcome of killing the agent during a change.

    Attributes:
        partly_applied: Whether only some of the instances had the change.
        differences: Number of differences between the agent's report and the instances' own.
        converged_s: Seconds until all instances had the change.
    """

    partly_applied: bool
    differences: int
    converged_s: float


async def _measure_agent_kills(report: Report, fleet: FleetTestbed) -> None:
    random_source = random.Random(SEED)
    kills = [await _kill_agent(fleet, random_source.uniform(0.0, MAX_KILL_DELAY_S)) for _ in range(KILLS)]
    partly_applied = sum(kill.partly_applied for kill in kills)
    differences = sum(kill.differences for kill in kills)
    longest_s = max(kill.converged_s for kill in kills)
    report.add_table(
        f"The agent killed at {KILLS} random moments (seed {SEED})",
        ("found half-way", "reports that differ", "s until all have it, longest"),
        (str(partly_applied), str(differences), f"{longest_s:.2f}"),
    )
    report.check_objective(differences == 0, "a restarted agent reports exactly what the instances report")


async def _kill_agent(fleet: FleetTestbed, delay_s: float) -> AgentKill:
    """Apply a change, kill the agent after `delay_s`, and check the first report of the next agent.

    Each instance reports its generation before the next agent starts and right after the agent's report. An
    instance that had the change before has to be in the agent's report as having it, and one that does not
    have it afterwards as not having it.
    """
    applying = asyncio.create_task(_change_ignoring_failure(fleet))
    await asyncio.sleep(delay_s)
    agent = fleet.agent
    agent.kill()
    await agent.wait()
    await applying
    before = await fleet.generations(fleet.names)
    await fleet.processes.start_agent()
    async with fleet.stub() as stub:
        status = await stub.Status(pb.StatusRequest())
        after = await fleet.generations(fleet.names)
        start = time.monotonic()
        async for _ in polls(KILL_POLL_S):
            if _all_applied(await stub.Status(pb.StatusRequest())):
                break
        converged_s = time.monotonic() - start
    return AgentKill(
        partly_applied=len(set(before.values())) > 1,
        differences=_count_differences(status, before, after),
        converged_s=converged_s,
    )


async def _change_ignoring_failure(fleet: FleetTestbed) -> None:
    """Apply a change in waves, and ignore the error that killing the agent causes."""
    with suppress(grpc.RpcError, TimeoutError):
        await fleet.change(wave=max(1, fleet.size // WAVES_UNDER_KILLS))


def _all_applied(status: pb.StatusReply) -> bool:
    return all(target.standing == APPLIED_STANDING for target in status.targets)


def _count_differences(status: pb.StatusReply, before: dict[str, int], after: dict[str, int]) -> int:
    newest = status.change.generation
    reported = {target.name: target.standing == APPLIED_STANDING for target in status.targets}
    differences = int(reported.keys() != after.keys())
    for name, reports_applied in reported.items():
        applied_before = before[name] == newest
        applied_after = after[name] == newest
        differences += not applied_before <= reports_applied <= applied_after
    return differences


def _measure(report: Report) -> None:
    asyncio.run(_measure_sizes(report))


BENCHMARK = Benchmark(
    "One change under traffic",
    ("sidecars", "s", "have it", "asked", "not served", "agent MB", "agent idle CPU %"),
    _measure,
)
