"""Measures the lab's network between sidecars against its configured faults, for the benchmark `fleetrig`.

Numbered datagrams are sent through a link with one kind of fault. Objectives: loss, delay and duplication
match the configuration. The delay that the network itself adds is compared with plain loopback, in pairs.
"""

from __future__ import annotations

import asyncio
import socket
import time
from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from anisespool.lab.live.datagram_network import DatagramNetwork
from anisespool.lab.live.wall_clock import WallClock
from anisespool.lab.model.links import Links
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.scenario import from_raw
from benchmarks.pairs import Pair, ratios
from benchmarks.report import Cell, Report

SEED = 1
DATAGRAMS = 100_000
DATAGRAMS_PER_TURN = 40
"""Datagrams sent before the event loop reads those that have arrived."""
DATAGRAM_BYTES = 256
NUMBER_BYTES = 8
TIME_BYTES = 8
RECEIVE_BYTES = 512
BUFFER_BYTES = 2**21
SETTLE_S = 0.15
"""If nothing arrives for this long, the missing datagrams count as lost."""
LINK_S = 3600

LOSS_SHARE = 0.2
LOSS_BURST_DATAGRAMS = 4.0
"""Mean length of a run of lost datagrams."""
DELAY_MS = 5.0
DELAY_SPREAD_MS = 10.0
DUPLICATED_SHARE = 0.05
REORDERED_SHARE = 0.02
MAX_LOSS_DEVIATIONS = 4
"""Allowed difference of the loss from the configured one, in standard deviations."""
MAX_EARLY_MS = 0.5
MAX_LATE_MS = 3.0
MAX_DUPLICATED_SHARE_DIFFERENCE = 0.005

DELAY_PAIRS = 5
DELAY_ROUND_TRIPS = 2000


@dataclass(frozen=True, slots=True)
class LinkCase:
    """A link with a fault, and the loss and delay that are expected."""

    name: str
    links: tuple[dict[str, Any], ...] = ()
    loss_share: float = 0.0
    is_delayed: bool = False


LINK_CASES = (
    LinkCase("clear"),
    LinkCase("loss in bursts", ({"loss": LOSS_SHARE, "burst": LOSS_BURST_DATAGRAMS},), loss_share=LOSS_SHARE),
    LinkCase(
        "late, doubled, out of order",
        (
            {
                "delay_ms": DELAY_MS,
                "spread_ms": DELAY_SPREAD_MS,
                "duplicate": DUPLICATED_SHARE,
                "reorder": REORDERED_SHARE,
            },
        ),
        is_delayed=True,
    ),
    LinkCase("cut the other way", ({"from": "sidecar:1", "to": "sidecar:0", "cut": "silent"},)),
)


@dataclass(frozen=True, slots=True)
class Received:
    """A datagram that arrived: its number and its delay."""

    number: int
    delay_ns: int


class LinkTestbed:
    """A sender and a receiver with the network between them."""

    def __init__(self, links: tuple[dict[str, Any], ...] = ()) -> None:
        during = {"at_s": 0, "for_s": LINK_S}
        specs = from_raw({"links": [during | link for link in links]}, "links").links
        clock = WallClock()
        random = RandomStreams(SEED).named("links")
        self.network = DatagramNetwork(Links(specs, random, clock.now), clock, [0, 0])
        self.network.open()
        self.sender, self.receiver = (_bind(peer.listen) for peer in self.network.peers)
        self.received: list[Received] = []

    def start_reading(self) -> None:
        """Record each datagram as it arrives."""
        asyncio.get_running_loop().add_reader(self.receiver, self._read)

    def _read(self) -> None:
        while True:
            try:
                data = self.receiver.recv(RECEIVE_BYTES)
            except BlockingIOError:
                return
            number = int.from_bytes(data[:NUMBER_BYTES], "big")
            sent_at = int.from_bytes(data[NUMBER_BYTES : NUMBER_BYTES + TIME_BYTES], "big")
            self.received.append(Received(number, time.monotonic_ns() - sent_at))

    async def send(self, count: int) -> float:
        """Send `count` numbered datagrams, and wait until nothing more arrives.

        Returns:
            Seconds until the last one was sent.
        """
        payload = bytes(DATAGRAM_BYTES - NUMBER_BYTES - TIME_BYTES)
        address = self.network.peers[1].address
        start = time.monotonic()
        for number in range(count):
            head = number.to_bytes(NUMBER_BYTES, "big") + time.monotonic_ns().to_bytes(TIME_BYTES, "big")
            self.sender.sendto(head + payload, address)
            if number % DATAGRAMS_PER_TURN == DATAGRAMS_PER_TURN - 1:
                await asyncio.sleep(0)  # The network reads.
                await asyncio.sleep(0)  # The receiver reads.
        took_s = time.monotonic() - start
        await self._settle()
        return took_s

    async def _settle(self) -> None:
        received_count = -1
        while received_count != len(self.received):
            received_count = len(self.received)
            await asyncio.sleep(SETTLE_S)

    async def delay_us(self, address: tuple[str, int]) -> float:
        """Return microseconds from a send to `address` until its arrival, one datagram at a time."""
        loop = asyncio.get_running_loop()
        start = time.monotonic_ns()
        for _ in range(DELAY_ROUND_TRIPS):
            self.sender.sendto(bytes(DATAGRAM_BYTES), address)
            await loop.sock_recv(self.receiver, RECEIVE_BYTES)
        return (time.monotonic_ns() - start) / DELAY_ROUND_TRIPS / 1000

    def close(self) -> None:
        """Close the network and both sockets."""
        asyncio.get_running_loop().remove_reader(self.receiver)
        self.network.close()
        self.sender.close()
        self.receiver.close()


def _bind(address: tuple[str, int]) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind(address)
    return sock


@dataclass(frozen=True, slots=True)
class LinkRun:
    """The outcome of sending DATAGRAMS through a link.

    `unsent` datagrams were dropped because the receiver's buffer, or the network's, was full.
    """

    received: list[Received]
    took_s: float
    unsent: int

    def _distinct(self) -> int:
        return len({received.number for received in self.received})

    @property
    def lost_share(self) -> float:
        """Datagrams that never arrived, as a share of those sent."""
        return 1 - self._distinct() / DATAGRAMS

    @property
    def duplicated_share(self) -> float:
        """Second copies that arrived, as a share of the datagrams sent."""
        return (len(self.received) - self._distinct()) / DATAGRAMS

    @property
    def reordered_share(self) -> float:
        """Datagrams that arrived right before one sent earlier, as a share of the datagrams sent."""
        return sum(first.number > second.number for first, second in pairwise(self.received)) / DATAGRAMS

    def delay_ms(self, quantile: float) -> float:
        """Return a quantile of the delays."""
        delays_ns = sorted(received.delay_ns for received in self.received)
        return delays_ns[int(len(delays_ns) * quantile)] / 1e6


async def _run_link(case: LinkCase) -> LinkRun:
    testbed = LinkTestbed(case.links)
    testbed.start_reading()
    took_s = await testbed.send(DATAGRAMS)
    testbed.close()
    return LinkRun(testbed.received, took_s, testbed.network.counts.unsent)


def _row(case: LinkCase, run: LinkRun) -> tuple[Cell, ...]:
    return (
        case.name,
        f"{100 * run.lost_share:.2f}",
        f"{100 * run.duplicated_share:.2f}",
        f"{100 * run.reordered_share:.2f}",
        f"{run.delay_ms(0.5):.2f}",
        f"{run.delay_ms(0.99):.2f}",
        f"{DATAGRAMS / run.took_s:,.0f}",
        str(run.unsent),
    )


def _check_loss(report: Report, case: LinkCase, run: LinkRun) -> None:
    # A two-state channel loses datagrams in runs, so the variance of its loss grows with their mean length.
    deviation = (case.loss_share * (1 - case.loss_share) * 2 * LOSS_BURST_DATAGRAMS / DATAGRAMS) ** 0.5
    allowed = MAX_LOSS_DEVIATIONS * deviation
    text = f"{case.name}: {run.lost_share:.2%} lost, {case.loss_share:.2%} within {allowed:.2%} wanted"
    report.check_objective(abs(run.lost_share - case.loss_share) <= allowed, text)


def _check_delay(report: Report, case: LinkCase, run: LinkRun) -> None:
    median_ms = run.delay_ms(0.5)
    wanted_ms = DELAY_MS + DELAY_SPREAD_MS / 2
    met = wanted_ms - MAX_EARLY_MS <= median_ms <= wanted_ms + MAX_LATE_MS
    text = f"{case.name}: median delay {median_ms:.2f} ms, {wanted_ms:g} configured"
    report.check_objective(met, text)
    difference = abs(run.duplicated_share - DUPLICATED_SHARE)
    text = f"{case.name}: {run.duplicated_share:.2%} duplicated, {DUPLICATED_SHARE:.2%} configured"
    report.check_objective(difference <= MAX_DUPLICATED_SHARE_DIFFERENCE, text)
    report.check_objective(run.reordered_share > 0, f"{case.name}: no datagram was reordered")


async def _measure_delay() -> Pair:
    """Return the delay through the network, paired with plain loopback as the reference."""
    testbed = LinkTestbed()
    receiver = testbed.network.peers[1]
    reference = await testbed.delay_us(receiver.listen)
    measured = await testbed.delay_us(receiver.address)
    testbed.close()
    return Pair(measured, reference)


def _add_delay_note(report: Report) -> None:
    delays = [asyncio.run(_measure_delay()) for _ in range(DELAY_PAIRS)]
    plain_us = min(pair.reference for pair in delays)
    network_us = min(pair.measured for pair in delays)
    spread = ratios(delays)
    report.add_note(
        f"delay of a datagram: plain loopback {plain_us:.0f} us, through the network {network_us:.0f} us "
        f"({DELAY_PAIRS} pairs, ratio {spread.minimum:.1f} to {spread.maximum:.1f})"
    )


def measure_links(report: Report) -> None:
    """Send 100,000 datagrams through each link, and report their loss, delay, duplication and order."""
    rows = []
    for case in LINK_CASES:
        run = asyncio.run(_run_link(case))
        rows.append(_row(case, run))
        _check_loss(report, case, run)
        if case.is_delayed:
            _check_delay(report, case, run)
    report.add_table(
        f"The network, {DATAGRAMS:,} datagrams of {DATAGRAM_BYTES} bytes each",
        ("way", "lost %", "doubled %", "overtaken %", "ms p50", "p99", "a second", "unsent"),
        *rows,
    )
    _add_delay_note(report)
