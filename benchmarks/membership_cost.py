"""Measures the cost of membership for a member of an idle fleet, for the benchmark `membership`.

The CPU time is that of real sidecars with membership, minus that of sidecars without it. Datagrams, bytes and
memory are those of the protocol alone in virtual time, for fleets of up to 5,000. The objective is at most
0.5 % of a core per member.
"""

from __future__ import annotations

import heapq
import statistics
import tracemalloc
from dataclasses import dataclass
from random import Random

from anisespool.membership import codec
from anisespool.membership.messages import Message, MessageKind
from anisespool.membership.protocol import MembershipProtocol
from benchmarks.checkout import ROOT, call
from benchmarks.membership_history import WARMUP_S, play
from benchmarks.pairs import differences, pair_up
from benchmarks.report import Cell, Report

SEED = 1
FLEET_SIZE = 50
CPU_RUN_S = 30
MAX_CPU_PERCENT = 0.5
"""Percent of a core per member."""
FLEET_SIZES = (10, 50, 200, 1000, 5000)
SIMULATED_S = 20
SAMPLED_MEMBERS = 40
"""Members that are simulated; the others only acknowledge pings."""
BOOT_NUMBER = 5
SECOND_NS = 10**9


def _cpu_by_member(report: Report, *, with_membership: bool) -> list[float] | None:
    """Return the CPU time of each member of an idle fleet in percent of a core, or None for a void run."""
    raw = {
        "sidecars": FLEET_SIZE,
        "seconds": CPU_RUN_S,
        "talk": with_membership,
        "traffic": {"per_s": 0},
    }
    name = "CPU with membership" if with_membership else "CPU without membership"
    run = play(report, name, raw)
    if run is None:
        return None
    return [100 * cpu_s / (CPU_RUN_S + WARMUP_S) for cpu_s in run.live_run.cpu_s]


def _measure_cpu(report: Report) -> None:
    measured = _cpu_by_member(report, with_membership=True)
    reference = _cpu_by_member(report, with_membership=False)
    if measured is None or reference is None:
        return
    members = pair_up(measured, reference)
    mean = statistics.fmean(member.difference for member in members)
    report.add_note(
        f"CPU of membership when idle: {mean:.2f} % of a core per member "
        f"({FLEET_SIZE} members, one pair; by member: {differences(members)})"
    )
    text = f"{mean:.2f} % of a core per member, at most {MAX_CPU_PERCENT:g} wanted"
    report.check_objective(mean <= MAX_CPU_PERCENT, text)


@dataclass
class Traffic:
    """Datagrams and bytes that the simulated members sent."""

    datagrams: int = 0
    octets: int = 0


def simulate(size: int, seconds: int) -> list[float]:
    """Simulate members of an idle fleet, in virtual time.

    Returns:
        Datagrams and bytes per member and second, and the size of a member's state in MB.
    """
    tracemalloc.start()
    members = _sample_members(size)
    state_mb = tracemalloc.get_traced_memory()[0] / len(members) / 1e6
    tracemalloc.stop()
    traffic = _run(members, seconds * SECOND_NS)
    member_seconds = len(members) * seconds
    return [traffic.datagrams / member_seconds, traffic.octets / member_seconds, state_mb]


def _sample_members(size: int) -> dict[int, MembershipProtocol]:
    """Return a sample of the members: all others are in their view, and the start left no updates."""
    random = Random(SEED)
    numbers = range(0, size, max(1, size // SAMPLED_MEMBERS))
    members = {number: MembershipProtocol(number, BOOT_NUMBER, size, random.randrange) for number in numbers}
    for number, member in members.items():
        for other in range(size):
            if other != number:
                member.receive(0, other, Message(MessageKind.GOSSIP, BOOT_NUMBER, 0))
        member.start(0)
        member._anti_entropy._initial_buckets.clear()
        member._state.broadcasts = type(member.broadcasts)(member.config, member.local.member)
    return members


def _run(members: dict[int, MembershipProtocol], end_ns: int) -> Traffic:
    traffic = Traffic()
    ticks = [(member.next_tick_at_ns, number) for number, member in members.items()]
    heapq.heapify(ticks)
    while ticks and ticks[0][0] < end_ns:
        now, number = heapq.heappop(ticks)
        member = members[number]
        for recipient, message in member.tick(now):
            traffic.datagrams += 1
            traffic.octets += len(codec.encode(message))
            if message.kind is MessageKind.PING:
                member.receive(now, recipient, _ack(recipient, message))
        heapq.heappush(ticks, (max(now + 1, member.next_tick_at_ns), number))
    return traffic


def _ack(sender: int, ping: Message) -> Message:
    return Message(MessageKind.ACK, BOOT_NUMBER, 0, sequence=ping.sequence, target=sender)


def measure_cost(report: Report) -> None:
    """Report CPU time, traffic and memory of members of an idle fleet."""
    _measure_cpu(report)
    rows: list[tuple[Cell, ...]] = []
    for size in FLEET_SIZES:
        # A new process for each size, as memory that an earlier one had freed would distort the figure.
        figures = call(ROOT, "membership_cost.simulate", size, SIMULATED_S)
        rows.append((str(size), *(f"{figure:.2f}" for figure in figures)))
    columns = ("members", "datagrams/s", "bytes/s", "MB")
    report.add_table("The protocol alone when idle, in virtual time", columns, *rows)
