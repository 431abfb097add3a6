"""The keep-alive policy on its own, and with clients whose descriptors are used up by idle connections."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import pytest

from anisespool.config.platform import Address
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.listener import timeouts
from anisespool.listener.keepalive import (
    MIN_IDLE_CONNECTIONS,
    KeepAliveDecision,
    KeepAlivePolicy,
    ReuseHistory,
)
from tests.harness.client import request_bytes
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until

DESCRIPTORS = 384  # a third of them, 128, is what a client is assumed to have
CLIENT_CAPACITY = DESCRIPTORS // 3


def reused_connection(policy: KeepAlivePolicy, gap_s: float, times: int = 6) -> ReuseHistory:
    history = ReuseHistory()
    for _ in range(times):
        policy.request_received(history, gap_s)
    return history


def single_use_connection(policy: KeepAlivePolicy) -> ReuseHistory:
    return reused_connection(policy, 0.0, 1)


def steady_responses(policy: KeepAlivePolicy, count: int, over_s: float, start: float = 100.0) -> float:
    """Decide on responses at a steady rate on reused connections, and return the time afterwards."""
    for number in range(count):
        policy.decide(start + over_s * number / count, reused_connection(policy, 0.05), 0, 5, 0)
    return start + over_s


def test_all_connections_stay_open_below_half_of_the_idle_limit() -> None:
    policy = KeepAlivePolicy(DESCRIPTORS)
    assert all(
        policy.decide(1.0 + n, single_use_connection(policy), n, 5, 0) is KeepAliveDecision.KEEP
        for n in range(policy.max_idle_limit // 2)
    )


def test_reused_connections_stay_open_and_single_use_ones_are_closed() -> None:
    policy = KeepAlivePolicy(DESCRIPTORS)
    now = steady_responses(policy, 500, 5.0)
    for _ in range(40):
        policy.connection_closed(single_use_connection(policy))
    idle = int(policy.max_idle_limit * 0.7)
    assert policy.decide(now, single_use_connection(policy), idle, 5, 0) is KeepAliveDecision.CLOSE
    assert policy.decide(now, reused_connection(policy, 0.05), idle, 5, 0) is KeepAliveDecision.KEEP
    # This connection is reused, but after too long a gap.
    assert policy.decide(now, reused_connection(policy, 5.0), idle, 5, 0) is KeepAliveDecision.CLOSE


def test_new_connections_stay_open_if_the_reuse_ratio_is_high() -> None:
    """If they were closed, each returning client would need another handshake."""
    policy = KeepAlivePolicy(DESCRIPTORS)
    now = steady_responses(policy, 500, 5.0)
    assert policy.reuse_ratio > 0.9
    assert (
        policy.decide(now, single_use_connection(policy), int(policy.max_idle_limit * 0.7), 5, 0)
        is KeepAliveDecision.KEEP
    )


def test_the_idle_limit_holds_for_connections_reused_at_once() -> None:
    policy = KeepAlivePolicy(DESCRIPTORS)
    now = steady_responses(policy, 500, 5.0)
    assert (
        policy.decide(now, reused_connection(policy, 0.01), policy.max_idle_limit, 5, 0)
        is KeepAliveDecision.REPLACE_OLDEST
    )
    assert policy.max_idle_limit < CLIENT_CAPACITY / 2


@pytest.mark.parametrize(("active", "new"), [(CLIENT_CAPACITY, 0), (0, 1000), (CLIENT_CAPACITY, 1000)])
def test_a_few_idle_connections_are_allowed_regardless_of_other_connections(active: int, new: int) -> None:
    policy = KeepAlivePolicy(DESCRIPTORS)
    assert policy.max_idle(active, new) == MIN_IDLE_CONNECTIONS
    assert policy.decide(1.0, reused_connection(policy, 0.05), 0, active, new) is KeepAliveDecision.KEEP


def test_many_new_connections_lower_the_idle_limit() -> None:
    policy = KeepAlivePolicy(DESCRIPTORS)
    before = policy.max_idle(60, 0)
    for number in range(500):
        policy.connection_opened(1.0 + number * 0.002)
    assert policy.max_idle(60, 0) < before
    policy.decide(60.0, ReuseHistory(), 0, 0, 0)
    assert policy.max_idle(60, 0) == before  # the rate decays


class ClientProcess:
    """A client with `CLIENT_CAPACITY` descriptors; a new connection waits until a descriptor is free."""

    def __init__(self, address: Address) -> None:
        self.address = address
        self.descriptors = asyncio.Semaphore(CLIENT_CAPACITY)
        self.opened = self.served = self.rejected = 0
        self.tasks: list[asyncio.Task[None]] = []

    async def single_use(self, trace_id: str) -> None:
        """Send one request on a connection that stays open until the sidecar closes it."""
        async with self.descriptors:
            reader, writer = await asyncio.open_connection(*self.address)
            self.opened += 1
            writer.write(request_bytes("look", trace_id))
            response = await read_response(reader)
            self.served += response.status == 200
            self.rejected += response.status != 200
            await reader.read()  # returns once the sidecar closes the connection
            writer.close()

    async def connect_silently(self) -> None:
        async with self.descriptors:
            reader, writer = await asyncio.open_connection(*self.address)
            await reader.read()
            writer.close()

    async def reuse(self, name: str, times: int) -> None:
        """Send consecutive requests, with a new connection only after `Connection: close`."""
        streams = None
        for number in range(times):
            if streams is None:
                streams = await asyncio.open_connection(*self.address)
                self.opened += 1
            reader, writer = streams
            writer.write(request_bytes("look", f"{name}-{number}"))
            head = await reader.readuntil(b"\r\n\r\n")
            length = re.search(rb"(?i)content-length: (\d+)", head)
            await reader.readexactly(int(length.group(1)) if length else 0)
            self.served += b" 200 " in head
            if b"connection: close" in head.lower():
                writer.close()
                streams = None
        if streams:
            streams[1].close()

    def start(self, *coroutines: object) -> None:
        self.tasks += [asyncio.ensure_future(w) for w in coroutines]  # type: ignore[call-overload]


async def test_single_use_connections_do_not_use_up_the_client_descriptors(tmp_path: Path) -> None:
    """The client opens three times as many connections as it has descriptors. Without the policy, the last
    connection would wait ten seconds for the first one to time out."""
    async with (
        Endpoint().serve() as endpoint,
        running_sidecar(tmp_path, endpoint, sockets=DESCRIPTORS) as sidecar,
    ):
        client = ClientProcess(sidecar.address)
        for burst in range(3 * CLIENT_CAPACITY // 8):
            client.start(*[client.single_use(f"o{burst}-{n}") for n in range(8)])
            await wait_until(lambda: client.served + client.rejected >= 8 * (burst + 1))  # noqa: B023
        assert client.served == 3 * CLIENT_CAPACITY
        for task in client.tasks:
            task.cancel()


async def test_reused_connections_stay_open_despite_silent_and_single_use_ones(tmp_path: Path) -> None:
    async with (
        Endpoint().serve() as endpoint,
        running_sidecar(tmp_path, endpoint, sockets=DESCRIPTORS) as sidecar,
    ):
        client = ClientProcess(sidecar.address)
        client.start(*[client.connect_silently() for _ in range(CLIENT_CAPACITY // 2)])
        reusing = [asyncio.ensure_future(client.reuse(f"r{n}", 40)) for n in range(4)]
        for burst in range(CLIENT_CAPACITY // 8):
            done = client.served
            client.start(*[client.single_use(f"o{burst}-{n}") for n in range(8)])
            await wait_until(lambda: client.served >= done + 8)  # noqa: B023
        await asyncio.gather(*reusing)
        await wait_until(lambda: client.served == CLIENT_CAPACITY // 8 * 8 + 160)
        assert not client.rejected
        assert client.opened <= CLIENT_CAPACITY // 8 * 8 + 3 * 4  # reused connections stay open
        for task in client.tasks:
            task.cancel()


async def test_silent_connections_do_not_use_up_the_client_descriptors(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If silent connections used all descriptors, no new connection could arrive and evict one of them."""
    monkeypatch.setattr(timeouts, "FIRST_REQUEST_TIMEOUT_S", 60.0)
    async with (
        Endpoint().serve() as endpoint,
        running_sidecar(tmp_path, endpoint, sockets=DESCRIPTORS) as sidecar,
    ):
        client = ClientProcess(sidecar.address)
        # As these close, others use their descriptors.
        client.start(*[client.connect_silently() for _ in range(3 * CLIENT_CAPACITY)])
        client.start(*[client.single_use(f"o{n}") for n in range(16)])
        await wait_until(lambda: client.served == 16)
        for task in client.tasks:
            task.cancel()


async def test_a_connection_with_pipelined_requests_is_not_closed(tmp_path: Path) -> None:
    """Closing it would lose requests that have already been received."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint, sockets=64) as sidecar:
        streams = [await asyncio.open_connection(*sidecar.address) for _ in range(8)]
        for client, (_, writer) in enumerate(streams):
            requests = [request_bytes("look", f"p{client}-{number}") for number in range(6)]
            writer.write(b"".join(requests))
        for reader, writer in streams:
            received = b""
            while received.count(b"HTTP/1.1 ") < 6:
                data = await reader.read(65536)
                assert data, received
                received += data
            writer.close()


async def test_shutdown_responds_to_all_requests_while_client_descriptors_are_used_up(tmp_path: Path) -> None:
    async with (
        Endpoint().serve() as endpoint,
        running_sidecar(tmp_path, endpoint, sockets=DESCRIPTORS) as sidecar,
    ):
        client = ClientProcess(sidecar.address)
        client.start(*[client.single_use(f"o{n}") for n in range(CLIENT_CAPACITY)])
        await wait_until(lambda: client.served + client.rejected == CLIENT_CAPACITY)
        client.start(*[client.single_use(f"x{n}") for n in range(16)])
        sidecar.signals.stop.set()
        await sidecar.task
        await wait_until(lambda: client.served + client.rejected == CLIENT_CAPACITY + 16)
        for task in client.tasks:
            task.cancel()
