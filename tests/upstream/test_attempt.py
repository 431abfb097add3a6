"""Each way in which an attempt ends, on sockets: its status rules out execution only if that is proven."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from time import monotonic_ns
from typing import Any

import pytest

from anisespool.balancer.interface import AttemptStatus
from anisespool.codec.http1 import Request
from anisespool.config.platform import Address
from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.server import reset
from anisespool.upstream.cluster import Cluster
from tests.harness.connection_internals import parsed_bytes
from tests.harness.waiting import wait_until
from tests.support import MS, SECOND
from tests.upstream.harness import ClusterHarness, close_immediately, http_response, never_respond


@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (OK, AttemptStatus.OK),
        (http_response("500 Oops"), AttemptStatus.ERROR),
        (http_response("503 Busy"), AttemptStatus.ERROR),  # no proof that it was not executed
        (http_response("504 Late"), AttemptStatus.ERROR),
        (http_response("503 Busy", "X-Never-Ran: 1\r\n"), AttemptStatus.FULL),
        (http_response("504 Late", "x-never-ran: 1\r\n"), AttemptStatus.FULL),
        (http_response("500 Oops", "X-Never-Ran: 1\r\n"), AttemptStatus.ERROR),
        (http_response("302 Found"), AttemptStatus.ERROR),
        (b"SSH-2.0-OpenSSH_9.2\r\n", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 2_000_000, AttemptStatus.RESET),
        (b"HTTP/1.1 100 Continue\r\n\r\n" + OK, AttemptStatus.OK),
        (b"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" * 3 + OK, AttemptStatus.OK),
        (b"HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" * 2000, AttemptStatus.RESET),
        (b"HTTP/1.1 101 Switch\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", AttemptStatus.RESET),
        (b"HTTP/1.1 101 Switch\r\n\r\n" + OK, AttemptStatus.RESET),
        # Rejected without waiting for the end of the body, which may be 3 GB long or never arrive.
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxx", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok!", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok", AttemptStatus.RESET),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 1_100_000,
            AttemptStatus.RESET,
        ),
        (b"HTTP/1.1 200 OK\r\n\r\nok", AttemptStatus.RESET),
        (b"HTTP/1.1 200 OK\r\nX-A: " + b"x" * 40_000, AttemptStatus.RESET),
        (b"HTTP/1.1 200 " + b"x" * 40_000, AttemptStatus.RESET),
        (
            b"HTTP/1.1 200 OK\r\nEndpoint-Load-Metrics: \xff=\x80,\r\nContent-Length: 2\r\n\r\nok",
            AttemptStatus.OK,
        ),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", AttemptStatus.OK),
    ],
)
async def test_each_response_gives_one_status(reply: bytes, status: AttemptStatus) -> None:
    async with Endpoint(reply).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        attempt = await harness.send_and_wait()
        assert attempt.status is status
        assert harness.finished == [attempt]
        if status is AttemptStatus.OK:
            assert attempt.response
            assert attempt.response.body == b"ok"


async def test_request_line_body_and_listed_headers_are_forwarded_with_the_attempts_own_timeout() -> None:
    async with Endpoint().serve() as endpoint:
        headers = {b"x-trace-id": b"t1", b"idempotency-key": b"k1", b"x-expires-in-ms": b"9999"}
        await ClusterHarness(endpoint.address).send_and_wait(
            Request(b"POST", b"/once/a%20b?x=1", headers, b"\x00\xff", True), 500 * MS
        )
        (seen,) = endpoint.requests
        assert (seen.method, seen.target, seen.body) == (b"POST", b"/once/a%20b?x=1", b"\x00\xff")
        assert (seen.headers[b"x-trace-id"], seen.headers[b"idempotency-key"]) == (b"t1", b"k1")
        assert 400 <= int(seen.headers[b"x-expires-in-ms"]) <= 500  # the attempt's timeout, not the client's


async def test_a_load_report_is_parsed_with_any_status() -> None:
    report = "Endpoint-Load-Metrics: TEXT inflight=7, queue=2, util=0.61\r\n"
    async with Endpoint(http_response("500 Oops", report)).serve() as endpoint:
        assert (await ClusterHarness(endpoint.address).send_and_wait()).load == (2.0, 7.0)
        endpoint.response = http_response("500 Oops", "Endpoint-Load-Metrics: TEXT queue=many\r\n")
        assert (await ClusterHarness(endpoint.address).send_and_wait()).load == ()


async def test_an_attempt_without_a_listening_endpoint_is_not_executed() -> None:
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))  # refuses connects: bound, but not listening
        attempt = await ClusterHarness(Address(*unused.getsockname())).send_and_wait()
    assert attempt.status is AttemptStatus.CONNECT_FAILED


async def test_an_attempt_whose_connect_times_out_is_not_executed() -> None:
    with socket.socket() as full:
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full.getsockname())
        harness = ClusterHarness(Address(*full.getsockname()))
        attempt = await harness.send_and_wait()  # the connect timeout expires first
        short = await harness.send_and_wait(timeout_ns=50 * MS)  # the attempt's deadline passes first
        for filler in fillers:
            filler.close()
    assert (attempt.status, short.status) == (AttemptStatus.CONNECT_FAILED, AttemptStatus.CONNECT_FAILED)


async def truncate_and_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(OK[:-1])
    await writer.drain()
    reset(writer)


async def truncate(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(OK[:-1])
    writer.close()


def has_parsed(cluster: Cluster, size: int) -> bool:
    """Whether a connection has parsed that many bytes of a response."""
    return any(parsed_bytes(connection) >= size for connection in cluster.connections)


UNTIL_CLOSED = b"HTTP/1.1 200 OK\r\nConnection: x, Close\r\n\r\n"


@pytest.mark.parametrize(
    ("head", "more", "end", "status"),
    [
        (UNTIL_CLOSED, b"ok", "close", AttemptStatus.OK),
        (UNTIL_CLOSED, b"", "close", AttemptStatus.OK),
        (UNTIL_CLOSED, b"ok", "reset", AttemptStatus.RESET),
        (UNTIL_CLOSED, b"ok", "never", AttemptStatus.TIMEOUT),
        (UNTIL_CLOSED, b"x" * 2_000_000, "never", AttemptStatus.RESET),
        (UNTIL_CLOSED[:-2], b"", "close", AttemptStatus.RESET),
        # Neither a length nor a close is announced.
        (b"HTTP/1.1 200 OK\r\n\r\n", b"ok", "never", AttemptStatus.RESET),
        (UNTIL_CLOSED.replace(b"200 OK", b"500 Oops"), b"", "close", AttemptStatus.ERROR),
    ],
)
async def test_a_response_without_length_is_complete_if_its_connection_closes_without_reset(
    head: bytes, more: bytes, end: str, status: AttemptStatus
) -> None:
    """The connection ends only after the sidecar has read the whole response."""
    may_end = asyncio.Event()

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head + more)
        await writer.drain()
        await may_end.wait()
        reset(writer) if end == "reset" else writer.close()

    async with Endpoint(respond).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        attempt = harness.send(timeout_ns=500 * MS if status is AttemptStatus.TIMEOUT else 2 * SECOND)
        await wait_until(lambda: attempt.status is not None or has_parsed(harness.cluster, len(head + more)))
        assert attempt.status in (None, AttemptStatus.RESET)  # incomplete until the connection ends
        if end != "never":
            may_end.set()
        await wait_until(lambda: attempt.status is not None)
        assert attempt.status is status
        assert harness.finished == [attempt]
        if status is AttemptStatus.OK:
            assert attempt.response
            assert attempt.response.body == more
        may_end.set()
        harness.send()  # the next attempt needs a new connection
        await wait_until(lambda: len(endpoint.connections) == 2)


@pytest.mark.parametrize("respond", [close_immediately, truncate_and_reset, truncate])
async def test_an_attempt_whose_connection_is_lost_after_the_request_may_have_executed(
    respond: Callable[..., object],
) -> None:
    async with Endpoint(respond).serve() as endpoint:  # type: ignore[arg-type]
        assert (await ClusterHarness(endpoint.address).send_and_wait()).status is AttemptStatus.RESET
        assert len(endpoint.requests) == 1


async def test_an_attempt_whose_connection_is_lost_before_the_last_byte_is_not_executed() -> None:
    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(10)
        reset(writer)

    # The peer reads very little, so most of the request is unsent when it resets the connection.
    server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=16)
    async with server:
        big = Request(b"POST", b"/once/1", {}, b"x" * 30_000_000, True)
        attempt = await ClusterHarness(Address(*server.sockets[0].getsockname())).send_and_wait(big)
    assert attempt.status is AttemptStatus.CONNECT_FAILED


async def test_a_missing_response_times_out_and_its_connection_is_closed() -> None:
    async with Endpoint(never_respond).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        assert (await harness.send_and_wait(timeout_ns=50 * MS)).status is AttemptStatus.TIMEOUT
        await wait_until(lambda: endpoint.closed_by_peer == 1)
        assert not harness.cluster.connections


async def test_a_cancelled_attempt_closes_its_connection_and_ignores_a_late_response() -> None:
    async with Endpoint(never_respond).serve() as endpoint:
        harness = ClusterHarness(endpoint.address)
        attempt = harness.send()
        await wait_until(lambda: len(endpoint.requests) == 1)
        attempt.abort(AttemptStatus.CANCELLED)
        endpoint.connections[0].writer.write(OK)
        await wait_until(lambda: endpoint.closed_by_peer == 1)
        assert [a.status for a in harness.finished] == [AttemptStatus.CANCELLED]


async def test_an_attempt_whose_connection_is_lost_during_its_setup_is_not_executed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    loop = asyncio.get_running_loop()
    connect = loop.create_connection

    async def connect_and_wait_for_loss(*args: Any, **kwargs: Any) -> Any:
        transport, protocol = await connect(*args, **kwargs)
        await wait_until(transport.is_closing)
        return transport, protocol

    server = await asyncio.start_server(close, "127.0.0.1", 0)
    async with server:
        monkeypatch.setattr(loop, "create_connection", connect_and_wait_for_loss)
        started_ns = monotonic_ns()
        attempt = await ClusterHarness(Address(*server.sockets[0].getsockname())).send_and_wait()
    assert attempt.status is AttemptStatus.CONNECT_FAILED
    assert monotonic_ns() - started_ns < SECOND  # the attempt ended before its deadline


async def test_unsent_bytes_of_a_cancelled_request_are_dropped() -> None:
    """If the request's last byte were sent, the endpoint could execute it after the attempt has ended."""
    size = 30_000_000
    received = 0
    ended = asyncio.Event()
    may_read = asyncio.Event()

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal received
        await may_read.wait()
        with suppress(OSError):
            while data := await reader.read(1 << 20):
                received += len(data)
        ended.set()

    server = await asyncio.start_server(connected, "127.0.0.1", 0, limit=16)
    async with server:
        harness = ClusterHarness(Address(*server.sockets[0].getsockname()))
        attempt = harness.send(Request(b"POST", b"/once/1", {}, b"x" * size, True))
        await wait_until(lambda: attempt.connection is not None)
        attempt.abort(AttemptStatus.CANCELLED)
        may_read.set()
        await ended.wait()
    assert received < size
