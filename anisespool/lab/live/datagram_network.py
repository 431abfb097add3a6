"""The network between sidecars: UDP on loopback, one address for each that the others have in `peers`.

By the protocol's section "Between sidecars": a datagram of up to 256 bytes goes to an address of `peers`,
or to `peers_all` for every sidecar; it arrives at `peer_listen` from the sender's own address in `peers`,
late or not at all. This process owns those addresses (one socket each, so 200 sidecars need 201, not
40,000): the socket it came in on tells the receiver, the address it came from the sender.
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
RECEIVE_BYTES = 65536  # the largest datagram there is
PORT_RANGE = (12_000, 32_000)  # below the kernel's ephemeral ports (32768 and above, unless changed)
MAX_PORT_DRAWS = 1000
READ_BATCH = 16  # datagrams read before other work gets its turn
BROADCAST = -1  # the receiver that stands for all sidecars
SOCKET_BUFFER_BYTES = 2**21  # what the kernel drops unseen would be taken for the scenario's loss
SLOT_NS = 100_000_000  # of the log of who was heard
MAX_SLOTS = 100_000


class Clock(Protocol):
    """A clock with timers."""

    @property
    def now(self) -> int:
        """Monotonic ns."""

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` at `when`."""


class PeerAddress(NamedTuple):
    """Of one sidecar: where the others send for it, and where it listens."""

    address: Address  # in `peers`
    listen: Address  # its `peer_listen`


class HeardSlot(NamedTuple):
    """A slot of 100 ms in which a datagram of `sender` was delivered to another sidecar."""

    slot: int
    sender: int


@dataclass
class DatagramCounts:
    """What passed the network, by this process's count."""

    sent: list[int]  # datagrams, by sender
    bytes: list[int]  # by sender
    delivered: int = 0
    oversized: int = 0
    strangers: int = 0  # from an address that is nobody's `peer_listen`
    unsent: int = 0  # the receiver's buffer, or this process's, was full


class DatagramNetwork:
    """Opened once, before any sidecar starts; `listen` addresses are reserved for sidecars until then."""

    def __init__(self, links: Links, clock: Clock, zones: list[int]) -> None:
        self.nodes = [Node("sidecar", number, zone) for number, zone in enumerate(zones)]
        self.counts = DatagramCounts([0] * len(zones), [0] * len(zones))
        self.peers: list[PeerAddress] = []
        self.broadcast = Address("", 0)  # `peers_all`
        self.heard: deque[HeardSlot] = deque(maxlen=MAX_SLOTS)
        self._links = links
        self._clock = clock
        self._sockets: list[socket.socket] = []  # by receiver, the broadcast's last
        self._senders: dict[Address, int] = {}  # by `peer_listen`
        self._last_heard: dict[int, int] = {}  # slot, by sender
        self._ports = _PortReservations()

    @property
    def socket_count(self) -> int:
        """How many sockets the network has open for datagrams."""
        return len(self._sockets)

    def open(self) -> None:
        """Bind all addresses and begin to read."""
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
        """Close all sockets and give the reserved ports back."""
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
                continue  # an ICMP answer to what was sent before: the receiver is not there
            sender = self._senders.get(source)
            if sender is None:
                self.counts.strangers += 1
            elif len(data) > MAX_DATAGRAM_BYTES:
                self.counts.oversized += 1
            else:
                self._forward(sender, receiver, data)

    def _forward(self, sender: int, receiver: int, data: bytes) -> None:
        self.counts.sent[sender] += 1
        self.counts.bytes[sender] += len(data)
        if receiver != BROADCAST:
            self._pass_links(sender, receiver, data)
            return
        for number in range(len(self.nodes)):
            if number != sender:
                self._pass_links(sender, number, data)

    def _pass_links(self, sender: int, receiver: int, data: bytes) -> None:
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
        if self._last_heard.get(sender) != slot and sender != receiver:
            self._last_heard[sender] = slot
            self.heard.append(HeardSlot(slot, sender))


class _PortReservations:
    """UDP ports for processes that are started later.

    A free ephemeral port could be given to another process before it is bound; below the ephemeral range
    nobody gets a port without naming it. Other runs on this machine are kept off by an abstract Unix socket
    for each port, which ends with this process.
    """

    def __init__(self) -> None:
        self._random = Random(os.getpid())
        self._drawn: set[int] = set()
        self._locks: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port that is free and that no other run reserves.

        Raises:
            OSError: None was found.
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
        """Give all ports back."""
        for lock in self._locks:
            lock.close()


def _bind_udp() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
    sock.setblocking(False)
    sock.bind((HOST, 0))
    return sock
