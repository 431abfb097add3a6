"""The network between sidecars on real sockets, and the budget server."""

from __future__ import annotations

import asyncio
import json
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

import pytest

from anisespool.config.platform import Address
from anisespool.lab.live import datagram_network
from anisespool.lab.live.budget_server import BudgetServer
from anisespool.lab.live.datagram_network import BROADCAST, DatagramNetwork
from anisespool.lab.live.wall_clock import WallClock
from anisespool.lab.model.links import Links
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.scenario import SECOND, from_raw
from tests.harness.waiting import wait_until

ZONES = [0, 0, 1]  # zones of the three members
RECEIVE_BUFFER_BYTES = 2**21
DELAY_S = 0.03


class Datagram(NamedTuple):
    """A received datagram."""

    data: bytes
    source: Address


class ThreeMembers:
    """A network between three members, with a plain socket for each."""

    def __init__(self, links: list[dict[str, Any]]) -> None:
        scenario = from_raw({"links": [{"at_s": 0, "for_s": 600} | link for link in links]}, "x")
        clock = WallClock()
        faulty = Links(scenario.links, RandomStreams(5).named("links"), clock.now)
        self.network = DatagramNetwork(faulty, clock, ZONES)
        self.network.open()
        self.received: list[list[Datagram]] = [[] for _ in ZONES]
        self._sockets: list[socket.socket] = []
        for peer, received in zip(self.network.peers, self.received, strict=True):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            sock.bind(peer.listen)
            asyncio.get_running_loop().add_reader(sock, self._read, sock, received)
            self._sockets.append(sock)

    @staticmethod
    def _read(sock: socket.socket, received: list[Datagram]) -> None:
        data, source = sock.recvfrom(2048)
        received.append(Datagram(data, Address(*source)))

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        network = self.network
        address = network.broadcast if receiver == BROADCAST else network.peers[receiver].address
        self._sockets[sender].sendto(data, address)

    def close(self) -> None:
        self.network.close()
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()


@asynccontextmanager
async def three_members(*links: dict[str, Any]) -> AsyncIterator[ThreeMembers]:
    members = ThreeMembers(list(links))
    try:
        yield members
    finally:
        members.close()


async def test_datagrams_arrive_from_their_senders_own_address_up_to_256_bytes() -> None:
    async with three_members({"from": "sidecar:0", "to": "sidecar:2", "cut": "silent"}) as members:
        network, received = members.network, members.received
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"who", network.peers[1].address)
        for data in (b"x" * 256, b"y" * 257, b""):
            members.send(0, 1, data)
        members.send(0, 2, b"one way")  # only this direction is cut
        members.send(2, 0, b"back")
        members.send(1, BROADCAST, b"all")
        await wait_until(lambda: [len(datagrams) for datagrams in received] == [2, 2, 1])
        first = network.peers[0].address
        assert received[1] == [Datagram(b"x" * 256, first), Datagram(b"", first)]
        assert received[2] == [Datagram(b"all", network.peers[1].address)]
        assert sorted(datagram.data for datagram in received[0]) == [b"all", b"back"]
        counts = network.counts
        assert (counts.oversized, counts.unknown_senders, counts.delivered) == (1, 1, 5)
        assert counts.sent == [3, 1, 1]
        assert counts.bytes[0] == 256 + 7
        assert {slot.sender for slot in network.delivery_slots} == {0, 1, 2}
        assert network.socket_count == 4


async def test_all_datagrams_arrive_and_a_link_delays_them() -> None:
    count = 600
    async with three_members({"from": "sidecar:0", "to": "sidecar:1", "delay_ms": 1000 * DELAY_S}) as members:
        sent_at = time.monotonic()
        for number in range(count):
            members.send(0, 1, b"%d" % number)
            members.send(2, 1, b"z%d" % number)
            if number % 50 == 0:
                await asyncio.sleep(0)
        await wait_until(lambda: len(members.received[1]) == 2 * count)
        assert time.monotonic() - sent_at >= DELAY_S  # the benchmark measures how much later
        delayed = {b"%d" % number for number in range(count)}
        direct = {b"z%d" % number for number in range(count)}
        assert {datagram.data for datagram in members.received[1]} == delayed | direct


async def test_the_delivery_log_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(datagram_network, "MAX_SLOTS", 5)
    async with three_members() as members:
        assert members.network.delivery_slots.maxlen == 5


class ManualClock:
    """A clock that stands still until a test sets it."""

    def __init__(self) -> None:
        self.now = 100 * SECOND

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        raise AssertionError("the timer was not expected")


def test_the_budget_server_records_peaks_of_simultaneous_reservations() -> None:
    clock = ManualClock()
    server = BudgetServer(clock)
    for at_s, member, units in ((0, 1, 30), (0.01, 2, 40), (0.1, 1, 10), (0.25, 3, 5)):
        clock.now = int((100 + at_s) * SECOND)
        order = {"member": member, "units": units, "hold_s": 0.2}
        server.datagram_received(json.dumps(order).encode(), None)
    server.datagram_received(b"nonsense", None)
    # 30 + 40; 10 + 40; 10 + 5, as the second member's reservation has expired.
    assert [peak.units for peak in server.peaks] == [70, 50, 15]
