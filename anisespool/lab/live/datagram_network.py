"""The network between sidecars: UDP on loopback, with one address in `peers` for each sidecar.

As the section "Between sidecars" of the protocol says, a sidecar sends datagrams of up to 256 bytes to an
address in `peers`, or to `peers_all` for every sidecar. A datagram arrives at `peer_listen` from the sender's
own address in `peers`; it may be late or lost. This process owns the addresses in `peers` and `peers_all`. It
needs one socket for each, so 201 for 200 sidecars and not 40,000 (one for each sender and receiver): the
socket that receives a datagram identifies the receiver, and the source address identifies the sender.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, NamedTuple, Protocol

from anisespool.config.platform import Address
from anisespool.lab.model.link_selector import Node
from anisespool.lab.model.links import Links

HOST = "127.0.0.1"
MAX_DATAGRAM_BYTES = 256
RECEIVE_BYTES = 65536  # the largest possible datagram
PORT_RANGE = (12_000, 32_000)  # below the kernel's ephemeral ports (32768 and above by default)
MAX_PORT_DRAWS = 1000
READ_BATCH = 16  # datagrams read before the event loop runs other callbacks
BROADCAST = -1  # receiver number that stands for all sidecars
SOCKET_BUFFER_BYTES = 2**21  # drops by the kernel would be mistaken for the scenario's loss
SLOT_NS = 100_000_000  # length of a delivery slot
MAX_SLOTS = 100_000


class Clock(Protocol):
    """A clock with timers."""

    @property
    def now(self) -> int:
        """The current time, monotonic ns."""

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` at `when`."""


class PeerAddress(NamedTuple):
    """The addresses of one sidecar: the one that others send to, and the one that it listens on."""

    address: Address  # its entry in `peers`
    listen: Address  # its `peer_listen`


class DeliverySlot(NamedTuple):
    """A slot of 100 ms in which a datagram of `sender` was delivered to another sidecar."""

    slot: int  # monotonic time divided by `SLOT_NS`, rounded down
    sender: int


@dataclass
class DatagramCounts:
    """Counts of the datagrams that passed through the network."""

    sent: list[int]  # datagrams of each sender
    bytes: list[int]  # payload bytes of each sender
    delivered: int = 0
    oversized: int = 0
    unknown_senders: int = 0  # datagrams from an address that is no sidecar's `peer_listen`
    unsent: int = 0  # `sendto` failed with any OSError, such as a full buffer


class DatagramNetwork:
    """Forwards datagrams between sidecars. It opens before they start, and reserves their `listen` ports."""

    def __init__(self, links: Links, clock: Clock, zones: list[int]) -> None:
        self.nodes = [Node("sidecar", number, zone) for number, zone in enumerate(zones)]
        self.counts = DatagramCounts([0] * len(zones), [0] * len(zones))
        self.peers: list[PeerAddress] = []
        self.broadcast = Address("", 0)  # the address in `peers_all`
        self.delivery_slots: deque[DeliverySlot] = deque(maxlen=MAX_SLOTS)
        self._links = links
        self._clock = clock
        self._sockets: list[socket.socket] = []  # one for each receiver, then the broadcast's
        self._senders: dict[Address, int] = {}  # keyed by `peer_listen`
        self._last_delivery_slots: dict[int, int] = {}  # keyed by sender
        self._ports = _PortReservations()

    @property
    def socket_count(self) -> int:
        """The number of sockets that the network has open for datagrams."""
        return len(self._sockets)

    def open(self) -> None:
        """Bind all addresses and start reading."""
        for number in range(len(self.nodes)):
            sock = _bind_udp()
            peer = PeerAddress(Address(*sock.getsockname()), Address(HOST, self._ports.reserve()))
            self.peers.append(peer)
            self._senders[peer.listen] = number
            self._add_socket(sock, number)
        broadcast = _bind_udp()
        self.broadcast = Address(*broadcast.getsockname())
        self._add_socket(broadcast, BROADCAST)

    def _add_socket(self, sock: socket.socket, receiver: int) -> None:
        self._sockets.append(sock)
        asyncio.get_running_loop().add_reader(sock, self._read, sock, receiver)

    def close(self) -> None:
        """Close all sockets and release the reserved ports."""
        for sock in self._sockets:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._ports.close()

    def _read(self, sock: socket.socket, receiver: int) -> None:
        for _ in range(READ_BATCH):
            try:
                data, source = sock.recvfrom(RECEIVE_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue  # ICMP error for an earlier datagram: its receiver is down
            sender = self._senders.get(source)
            if sender is None:
                self.counts.unknown_senders += 1
            elif len(data) > MAX_DATAGRAM_BYTES:
                self.counts.oversized += 1
            else:
                self._forward(sender, receiver, data)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        self.counts.sent[sender] += 1
        self.counts.bytes[sender] += len(data)
        if receiver != BROADCAST:
            self._send_over_link(sender, receiver, data)
            return
        for number in range(len(self.nodes)):
            if number != sender:
                self._send_over_link(sender, number, data)

    def _send_over_link(self, sender: int, receiver: int, data: bytes) -> None:
        now = self._clock.now
        for copy in self._links.send_datagram(now, self.nodes[sender], self.nodes[receiver], data):
            if copy.at <= now:
                self._deliver(sender, receiver, copy.data)
            else:
                self._clock.at(copy.at, self._deliver, sender, receiver, copy.data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        try:
            self._sockets[sender].sendto(data, self.peers[receiver].listen)
        except OSError:
            self.counts.unsent += 1
            return
        self.counts.delivered += 1
        slot = self._clock.now // SLOT_NS
        if self._last_delivery_slots.get(sender) != slot and sender != receiver:
            self._last_delivery_slots[sender] = slot
            self.delivery_slots.append(DeliverySlot(slot, sender))


class _PortReservations:
    """Reserves UDP ports for processes that are started later.

    The kernel could assign a free ephemeral port to another process before the intended one binds it. It
    never assigns ports below the ephemeral range. An abstract Unix socket for each port keeps other runs on
    this machine from using it, at the longest until this process ends.
    """

    def __init__(self) -> None:
        self._random = Random(os.getpid())
        self._drawn: set[int] = set()
        self._locks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that is free and that no other run reserves.

        Raises:
            OSError: No such port was found.
        """
        for _ in range(MAX_PORT_DRAWS):
            port = self._random.randrange(*PORT_RANGE)
            if port not in self._drawn:
                self._drawn.add(port)
                if self._try_reserve(port):
                    return port
        raise OSError(f"no free UDP port between {PORT_RANGE[0]} and {PORT_RANGE[1]}")

    def _try_reserve(self, port: int) -> bool:
        lock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            lock.bind(f"\0anisespool-rig-{port}")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind((HOST, port))
        except OSError:
            lock.close()
            return False
        self._locks.append(lock)
        return True

    def close(self) -> None:
        """Release all ports."""
        for lock in self._locks:
            lock.close()


def _bind_udp() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((HOST, 0))
    return sock
