"""Reuse, eviction and closing of connections to endpoints."""

from __future__ import annotations

import asyncio

import pytest

from anisespool.balancer.interface import AttemptStatus
from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.upstream.cluster import MAX_IDLE_CONNECTIONS
from tests.harness.connection_internals import transport_of
from tests.harness.waiting import wait_until
from tests.support import MS
from tests.upstream.harness import GET, ClusterHarness, never_respond


async def test_connections_are_reused_and_carry_one_request_at_a_time() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        for _ in range(3):
            await harness.send_and_wait()
        assert len(endpoint.connections) == 1
        both = [harness.send(), harness.send()]
        await wait_until(lambda: all(a.status is AttemptStatus.OK for a in both))
        assert len(endpoint.connections) == 2


async def test_nothing_is_sent_on_a_connection_that_the_endpoint_has_closed() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        await harness.send_and_wait()
        (connection,) = harness.cluster.connections
        transport = transport_of(connection)
        # The kernel has received the close, but the event loop has not read it yet.
        transport.pause_reading()
        endpoint.connections[0].writer.close()
        await wait_until(lambda: not connection.is_usable())
        assert connection in harness.cluster.connections
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert len(endpoint.requests) == 2
        assert len(endpoint.connections) == 2


async def test_idle_connections_are_closed_well_before_the_endpoint_would_close_them() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address, keepalive_ns=100 * MS)
        await harness.send_and_wait()
        sweep = asyncio.create_task(harness.cluster.sweep())
        await wait_until(lambda: endpoint.closed_by_peer == 1)
        sweep.cancel()
        assert not harness.cluster.connections


@pytest.mark.parametrize("more", [b"HTTP/1.1 200 OK\r\n", b"\x00\x01", b"\r\n\r\nx", b"H", OK])
async def test_a_response_followed_by_more_bytes_closes_the_connection(more: bytes) -> None:
    async with Endpoint(OK + more).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert len(endpoint.connections) == 2


async def test_a_drain_stops_new_attempts_and_those_that_wait_for_a_connection() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        await harness.send_and_wait()
        waiting = [harness.send(), harness.send()]  # the first uses the idle connection, the second waits
        harness.cluster.update(1, endpoint.address, 0, False)
        assert waiting[1].status is AttemptStatus.CONNECT_FAILED
        assert harness.send().status is AttemptStatus.MOOT
        await wait_until(lambda: waiting[0].status is AttemptStatus.OK)  # the attempt that was sent continues
        await wait_until(lambda: not harness.cluster.connections)
        assert len(endpoint.requests) == 2
        harness.cluster.remove(1)
        assert harness.send().status is AttemptStatus.MOOT


@pytest.mark.parametrize("moved", [True, False])
async def test_a_new_start_time_or_address_closes_the_old_connections(moved: bool) -> None:
    async with Endpoint().serve() as old, Endpoint().serve() as new:
        harness = ClusterHarness(old.address)
        await harness.send_and_wait()
        harness.cluster.update(1, new.address if moved else old.address, 0 if moved else 5, True)
        await wait_until(lambda: old.closed_by_peer == 1)
        assert (await harness.send_and_wait()).status is AttemptStatus.OK
        assert (len(old.requests), len(new.requests)) == ((1, 1) if moved else (2, 0))


async def test_connections_are_bounded_and_an_idle_one_is_evicted() -> None:
    async with Endpoint(never_respond).serve() as busy, Endpoint().serve() as other:
        harness = ClusterHarness(busy.address, max_connections=2)
        harness.cluster.update(2, other.address, 0, True)
        first = harness.send(endpoint=2)
        await wait_until(lambda: first.status is AttemptStatus.OK)
        active = [harness.send(), harness.send()]  # the second one evicts the idle connection
        await wait_until(lambda: len(busy.requests) == 2)
        await wait_until(lambda: other.closed_by_peer == 1)
        assert harness.send().status is AttemptStatus.CONNECT_FAILED
        assert [a.status for a in active] == [None, None]


@pytest.mark.parametrize("is_silent", [True, False])
async def test_a_timeout_closes_idle_connections_only_if_the_endpoint_is_silent(is_silent: bool) -> None:
    """A machine that lost power sends nothing; a slow one still responds to other requests."""

    async def respond_unless_slow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if endpoint.requests[-1].target != b"/look/slow":
            writer.write(OK)

    async with Endpoint(respond_unless_slow).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        pair = [harness.send(), harness.send()]
        await wait_until(lambda: all(a.status is AttemptStatus.OK for a in pair))
        stuck = harness.send(GET._replace(target=b"/look/slow"), 200 * MS)
        await wait_until(lambda: len(endpoint.requests) == 3)
        if not is_silent:
            await harness.send_and_wait()
        await wait_until(lambda: stuck.status is AttemptStatus.TIMEOUT)
        await wait_until(lambda: endpoint.closed_by_peer == (2 if is_silent else 1))
        assert len(harness.cluster.connections) == (0 if is_silent else 1)


async def test_a_duplicate_response_is_not_read_as_the_next_one() -> None:
    """The duplicate follows 5 ms later, in a separate packet."""

    async def respond_twice(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = b"%d" % (len(endpoint.requests) % 10)
        reply = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + number
        writer.write(reply)
        await asyncio.sleep(0.005)
        writer.write(reply)

    async with Endpoint(respond_twice).serve() as endpoint:
        harness = ClusterHarness(endpoint.address, reuse_delay_s=0.05)
        for number in range(1, 6):
            attempt = await harness.send_and_wait()
            assert attempt.response
            assert attempt.response.body == b"%d" % number
        assert len(endpoint.connections) == 5


async def test_a_connection_is_reused_only_after_the_reuse_delay() -> None:
    async with Endpoint().serve() as endpoint:
        harness = ClusterHarness(endpoint.address, reuse_delay_s=3600.0)
        await harness.send_and_wait()
        await harness.send_and_wait()  # the first connection is still within the delay
        assert len(endpoint.connections) == 2
        harness.cluster.configure_connections(MAX_IDLE_CONNECTIONS, 0.0, None)
        await harness.send_and_wait()  # no connection is within the delay
        assert len(endpoint.connections) == 2
