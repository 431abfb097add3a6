"""Connections to endpoints just before and after their timeouts, and drains of unsent requests."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from anisespool.balancer.interface import AttemptStatus
from anisespool.fakes.endpoint import Endpoint
from tests.harness.connection_internals import transport_of
from tests.harness.waiting import wait_until
from tests.support import SECOND
from tests.upstream.harness import ClusterHarness


@pytest.mark.parametrize("keepalive_s", [0.4, 1.0, 3.0])
async def test_an_idle_connection_is_not_reused_after_its_timeout_even_without_a_sweep(
    keepalive_s: float,
) -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address, keepalive_ns=int(keepalive_s * SECOND))
        pair = [harness.send(), harness.send()]
        await wait_until(lambda: all(a.status is AttemptStatus.OK for a in pair))
        for connection in harness.cluster.connections:
            connection.idle_since_s -= 0.8 * keepalive_s
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert len(endpoint.connections) == 3  # a new one, and the two old ones are closed
        await wait_until(lambda: endpoint.closed_by_peer == 2)


async def test_a_connection_established_just_before_the_timeout_is_used_and_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The timeout expires after the handshake, before the event loop reports the connection."""
    loop = asyncio.get_running_loop()
    create = loop.create_connection

    async def notify_late(*args: Any, **kwargs: Any) -> Any:
        connection = await create(*args, **kwargs)
        await asyncio.sleep(0.3)  # the cluster's connect timeout is 0.2 s
        return connection

    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        monkeypatch.setattr(loop, "create_connection", notify_late)
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        (pool,) = harness.cluster.pools
        assert harness.cluster.connections == set(pool.idle)
        assert len(pool.idle) == 1
        assert not harness.cluster.connecting_count
        assert not pool.connecting
        assert not pool.active


@pytest.mark.parametrize("has_idle_connection", [True, False])
async def test_an_attempt_whose_time_out_is_past_but_not_handled_is_not_begun(
    has_idle_connection: bool,
) -> None:
    """A late event loop established the connection and handled that before the attempt's time-out."""
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        if has_idle_connection:
            await harness.send_and_wait()
        attempt = harness.send(timeout_ns=-1)
        await wait_until(lambda: attempt.status is not None)
        assert attempt.status is AttemptStatus.CONNECT_FAILED
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert len(endpoint.requests) == 1 + has_idle_connection


def fill_send_buffer(sock: socket.socket) -> None:
    """Send empty lines, which servers ignore (RFC 9112, section 2.2), until `send` raises BlockingIOError."""
    while True:
        sock.send(b"\r\n" * 100_000)


async def test_a_drain_ends_an_attempt_of_which_nothing_was_sent() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        await harness.send_and_wait()
        (connection,) = harness.cluster.connections
        sock = transport_of(connection).get_extra_info("socket")
        # A stream reader has no public way to stop reading.
        endpoint.connections[0].reader._transport.pause_reading()  # type: ignore[attr-defined]
        with pytest.raises(BlockingIOError):
            fill_send_buffer(sock._sock)  # asyncio's wrapper of a socket has no send()
        attempt = harness.send()
        assert connection.nothing_sent
        assert attempt.status is None
        harness.cluster.update(1, endpoint.address, 0, False)
        assert attempt.status is AttemptStatus.CONNECT_FAILED
        await wait_until(lambda: not harness.cluster.connections)
        assert len(endpoint.requests) == 1
