"""Clients that send invalid input or nothing are rejected or time out, and nothing is forwarded."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from time import monotonic

import pytest

from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.listener import server, timeouts
from anisespool.listener.server import Server
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.listener.harness import pause_reading
from tests.proxy.harness import respond_after
from tests.upstream.harness import never_respond

HEAD = request_bytes("once").removesuffix(b"Content-Length: 0\r\n\r\n")


@pytest.fixture
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("FIRST_REQUEST_TIMEOUT_S", "PARTIAL_REQUEST_TIMEOUT_S", "LINGER_TIMEOUT_S"):
        monkeypatch.setattr(timeouts, name, 0.1)
    monkeypatch.setattr(server, "SWEEP_INTERVAL_S", 0.02)


async def read_to_close(address: tuple[str, int], data: bytes) -> bytes:
    """Return all input until the sidecar closes the connection."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    try:
        return await reader.read()
    finally:
        writer.close()


SMUGGLED_REQUEST = request_bytes("once", "inner")


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
        HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + SMUGGLED_REQUEST,
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: identity\r\n\r\n",
        HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
        HEAD + b"Content-Length: +1\r\n\r\nx",
        HEAD + b"Content-Length: 2\r\n\r\ntoo long by far",
        HEAD + b"X-Trace-Id: t2\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"X-A: \x00\r\nContent-Length: 0\r\n\r\n",
        request_bytes("once", "t\xe9"),
        request_bytes("once", "t1 t2"),
        request_bytes("once", headers="Connection: Upgrade\r\nUpgrade: h2c\r\n"),
        request_bytes("once", headers="Idempotency-Key: k\r\n"),
        request_bytes("keyed"),
        request_bytes("look", headers="Content-Length: 1\r\n") + b"x",
        request_bytes("once").replace(b"POST", b"GET"),
        request_bytes("look").replace(b"GET", b"POST"),
        request_bytes("look").replace(b"GET", b"CONNECT"),
        request_bytes("look", left_ms=-1),
    ],
)
async def test_ambiguous_or_invalid_requests_are_rejected_and_not_forwarded(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], data: bytes
) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reply = await read_to_close(sidecar.address, data)  # the sidecar also closes the connection
        assert re.findall(rb"HTTP/1.1 (\d)", reply) == [b"4"]
        assert not endpoint.requests
    log = capfd.readouterr().err
    assert "Traceback" not in log
    assert re.search(
        r"^request_rejected status=4\d\d reason=.* connections=1 count=1 at_s=", log, re.MULTILINE
    )


async def test_the_trace_id_of_an_open_request_is_rejected_until_that_request_ends(tmp_path: Path) -> None:
    """That of a request that must not run twice stays rejected (tests/sidecar/test_abandoned_input.py)."""
    async with (
        Endpoint(respond_after(0.1)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        first = asyncio.create_task(send_request(sidecar.address, request_bytes("look", "t1")))
        await wait_until(lambda: len(endpoint.requests) == 1)
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 409
        assert (await first).status == 200
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 200  # id released
        cancelled = asyncio.create_task(send_request(sidecar.address, request_bytes("look", "t1")))
        await wait_until(lambda: len(endpoint.requests) == 3)
        cancelled.cancel()  # the disconnect releases the id
        while (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 409:
            pass
        assert len(endpoint.requests) == 4


@pytest.mark.parametrize(
    "data",
    [b"", b"POST", HEAD, HEAD + b"Content-Length: 3\r\n\r\nab", b"\r\n\r\n"],
    ids=["silent", "method", "head", "body", "empty-lines"],
)
@pytest.mark.usefixtures("short_timeouts")
async def test_silent_connections_and_partial_requests_time_out(tmp_path: Path, data: bytes) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        started_s = monotonic()
        reply = await read_to_close(sidecar.address, data)
        assert reply.startswith(b"HTTP/1.1 408") if data else reply == b""
        assert monotonic() - started_s < 1.0
        assert not endpoint.requests


@pytest.mark.usefixtures("short_timeouts")
async def test_timeouts_for_silence_do_not_apply_while_a_request_is_open(tmp_path: Path) -> None:
    """A partial request behind the open one times out only after the response has been sent."""
    async with (
        Endpoint(respond_after(0.4)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        reply = await read_to_close(sidecar.address, request_bytes("once") + HEAD)
        assert re.findall(rb"HTTP/1.1 (\d+)", reply) == [b"200", b"408"]
        assert len(endpoint.requests) == 1


@pytest.mark.parametrize(
    "start", [b"GET /look/1 HTTP/1.1\r\nX-A: ", HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: "]
)
async def test_an_endless_header_is_rejected_before_it_uses_up_memory(tmp_path: Path, start: bytes) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(start)
        sent = 0
        response = asyncio.create_task(read_response(reader))
        while not response.done():
            writer.write(b"x" * 1000)
            sent += 1000
            await asyncio.sleep(0)
        assert (await response).status == 413
        assert not endpoint.requests
        writer.close()


@pytest.mark.usefixtures("short_timeouts")
async def test_a_client_that_never_stops_sending_is_disconnected(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(
            request_bytes("once", headers="Expect: x\r\n").replace(
                b"Content-Length: 0", b"Content-Length: 60000000"
            )
        )
        assert (await read_response(reader)).status == 413
        with pytest.raises(ConnectionError):
            while True:
                writer.write(b"x" * 100_000)
                await writer.drain()
        assert not endpoint.requests


async def test_silent_connections_do_not_displace_those_with_requests(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    """The configuration allows 256 descriptors. A connection with an open request is never evicted."""
    async with (
        Endpoint(respond_after(0.3)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        first = asyncio.create_task(send_request(sidecar.address, request_bytes("once", "t0")))
        await wait_until(lambda: len(endpoint.requests) == 1)
        silent = [await asyncio.open_connection(*sidecar.address) for _ in range(300)]
        assert (await send_request(sidecar.address, request_bytes("once", "t1"))).status == 200
        assert (await first).status == 200
        assert await silent[0][0].read() == b""  # the oldest was evicted
        for _, writer in silent:
            writer.transport.abort()
    assert "Errno" not in capfd.readouterr().err


async def test_a_disconnect_behind_many_pipelined_requests_is_detected(tmp_path: Path) -> None:
    async with Endpoint(never_respond).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        for number in range(8):
            writer.write(request_bytes("once", f"t{number}"))
        await wait_until(lambda: len(endpoint.requests) == 1)
        disconnected_s = monotonic()
        writer.transport.abort()
        await wait_until(lambda: endpoint.closed_by_peer == 1)
        assert monotonic() - disconnected_s < 0.4


async def test_requests_are_served_at_the_connection_limit_while_others_keep_connecting(
    tmp_path: Path,
) -> None:
    """Silent connections reach the limit, and each new one evicts another."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        opened = []

        async def connect_repeatedly() -> None:
            while True:
                opened.append((await asyncio.open_connection(*sidecar.address))[1])

        connecting = [asyncio.create_task(connect_repeatedly()) for _ in range(8)]
        await wait_until(lambda: len(opened) > 150)
        statuses = [
            (await send_request(sidecar.address, request_bytes("once", f"t{n}"))).status for n in range(30)
        ]
        for task in connecting:
            task.cancel()
        for writer in opened:
            writer.transport.abort()
        assert statuses == [200] * 30


async def test_the_rejection_of_a_client_whose_close_is_unread_ends_its_connection_alone(
    tmp_path: Path, servers: list[Server]
) -> None:
    """Ending the output raised OSError, which ended the listener's sweep, or the process at a shutdown."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(HEAD)
        await wait_until(lambda: bool(servers[0].connections) and not servers[0].connections[0].is_idle)
        connection = pause_reading(servers[0])
        writer.close()
        await wait_until(lambda: connection.has_unread_input)  # what is written now is answered by a reset
        connection.apply_timeouts(monotonic() + 60)
        await wait_until(lambda: not servers[0].connections)
        assert (await send_request(sidecar.address, request_bytes("look"))).status == 200
