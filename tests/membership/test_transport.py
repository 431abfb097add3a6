"""The UDP socket between members, with real datagrams on loopback."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager

from anisespool.config.platform import Address
from anisespool.membership import codec
from anisespool.membership.messages import Message, MessageKind
from anisespool.membership.transport import UdpTransport

PING = Message(MessageKind.PING, 7, 0, sequence=1, target=0)


@contextmanager
def bound_udp_socket() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(5)
        sock.bind(("127.0.0.1", 0))
        yield sock


def free_address() -> Address:
    with bound_udp_socket() as sock:
        return Address(*sock.getsockname())


def counts(transport: UdpTransport) -> dict[str, int]:
    """Return the counters by their names on the control socket."""
    return {counter.value: count for counter, count in transport.counts.items()}


async def test_received_datagrams_are_counted_and_invalid_ones_by_reason() -> None:
    received: list[tuple[int, Message]] = []
    listen = free_address()
    with bound_udp_socket() as peer, bound_udp_socket() as unknown:
        peers = [listen, Address(*peer.getsockname())]
        transport = UdpTransport(listen, peers, 1, lambda *call: received.append(call))
        data = codec.encode(PING)
        unknown.sendto(data, listen)
        peer.sendto(data[:-1] + b"x", listen)
        peer.sendto(data + bytes(300), listen)
        peer.sendto(data, listen)
        async with asyncio.timeout(5):
            while not received:
                await asyncio.sleep(0.01)
        transport.close()
    assert received == [(1, PING)]
    assert counts(transport) == {
        "stranger": 1,
        "checksum": 1,
        "too long": 1,
        "received": 1,
        "received_bytes": len(data),
    }


async def test_sent_datagrams_are_counted_and_rate_limited() -> None:
    listen = free_address()
    with bound_udp_socket() as peer:
        peers = [listen, Address(*peer.getsockname())]
        transport = UdpTransport(listen, peers, 1, lambda *call: None)
        for _ in range(2):
            transport.send(1, PING)
        transport.close()
        transport.close()  # A second call does nothing.
        data = peer.recv(300)
    assert codec.decode(data) == PING
    assert counts(transport) == {"sent": 1, "sent_bytes": len(data), "over rate": 1}
