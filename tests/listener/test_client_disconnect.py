"""The requests of a disconnected client are cancelled, even if they are pipelined or not forwarded yet."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.server import reset
from anisespool.input_scheduler import InputHandler, InputScheduler
from anisespool.listener.connection import ClientConnection
from anisespool.listener.server import Server
from tests.harness.client import request_bytes, send_request
from tests.harness.connection_internals import transport_of
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.listener.harness import (
    LARGE_RESPONSE,
    BlockedEndpoint,
    client_that_reads_nothing,
    idle_connection,
    pause_reading,
    resume_reading,
    unfinished_work,
)
from tests.support import SECOND


async def test_tcp_nodelay_is_set_towards_clients_and_endpoints(
    tmp_path: Path, servers: list[Server]
) -> None:
    """Otherwise the kernel delays small writes until others are acknowledged, and a reset discards them."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        _, writer = await idle_connection(sidecar)
        (client,) = servers[0].connections
        (upstream,) = servers[0].proxy.cluster.connections
        for connection in (client, upstream):
            transport = transport_of(connection)
            assert transport.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


def half_close(writer: asyncio.StreamWriter) -> None:
    """End the output, which is the only way in which the protocol lets a client cancel."""
    writer.write_eof()


@pytest.mark.parametrize("disconnect", [close, reset, half_close])
@pytest.mark.parametrize("ahead", [0, 1, 20, 150], ids=lambda n: f"{n} ahead")
async def test_pipelined_requests_of_a_disconnected_client_are_not_forwarded(
    tmp_path: Path, servers: list[Server], ahead: int, disconnect: Callable[..., None]
) -> None:
    """The client may pipeline more requests than are read before the end of its input."""
    endpoint = BlockedEndpoint()
    async with endpoint.serve(), running_sidecar(tmp_path, endpoint) as sidecar:
        before = len(os.listdir("/proc/self/fd"))
        _, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(b"".join(request_bytes("once", f"t{n}", body=b"x" * 500) for n in range(1 + ahead)))
        await wait_until(lambda: len(endpoint.requests) == 1 and not writer.transport.get_write_buffer_size())
        disconnect(writer)
        await wait_until(lambda: not unfinished_work(servers[0]))  # before the endpoint has responded
        endpoint.may_respond.set()
        writer.transport.abort()
        # The descriptor of the endpoint's end of the connection is counted, too.
        await wait_until(lambda: len(os.listdir("/proc/self/fd")) == before)
        assert (await send_request(sidecar.address, request_bytes("look"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t0", b"t1"]
        writer.close()


async def test_a_half_close_by_a_client_that_reads_nothing_cancels_its_requests(
    tmp_path: Path, servers: list[Server]
) -> None:
    """Responses fill its receive buffer; requests behind the open one are not started."""
    endpoint = BlockedEndpoint()
    async with endpoint.serve(), running_sidecar(tmp_path, endpoint) as sidecar:
        respond_when_allowed = endpoint.response
        endpoint.response = LARGE_RESPONSE
        sock = await client_that_reads_nothing(sidecar, endpoint, servers[0])
        endpoint.response = respond_when_allowed
        count = len(endpoint.requests)
        long_deadline = [request_bytes("once", trace_id, 30_000) for trace_id in ("u0", "u1")]
        await asyncio.get_running_loop().sock_sendall(sock, b"".join(long_deadline))
        await wait_until(lambda: len(endpoint.requests) > count)
        sock.shutdown(socket.SHUT_WR)
        await wait_until(lambda: not unfinished_work(servers[0]))
        endpoint.may_respond.set()
        assert (await send_request(sidecar.address, request_bytes("look", "last"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests[count:]] == [b"u0", b"last"]
        sock.close()


@pytest.mark.parametrize("is_read", [True, False], ids=["close read", "close unread"])
async def test_a_request_is_not_forwarded_if_its_client_disconnects_during_connect(
    tmp_path: Path, servers: list[Server], monkeypatch: pytest.MonkeyPatch, is_read: bool
) -> None:
    """Report 3b0b3a: a close that has arrived counts, even if it lies unread behind the request."""
    loop = asyncio.get_running_loop()
    may_complete = asyncio.Event()
    connect = loop.sock_connect

    async def connect_when_allowed(sock: socket.socket, address: Any) -> None:
        await connect(sock, address)
        await may_complete.wait()

    changes: dict[str, Any] = {"allowed__connect-timeout-ns": 60 * SECOND}
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint, **changes) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        with monkeypatch.context() as patch:
            patch.setattr(loop, "sock_connect", connect_when_allowed)
            writer.write(request_bytes("once", "t0", 60_000))
            await wait_until(lambda: servers[0].proxy.cluster.connecting_count == 1)
        if not is_read:
            pause_reading(servers[0])
        writer.close()
        if is_read:
            await wait_until(lambda: not servers[0].proxy.open_request_count)
        else:
            await wait_until(lambda: servers[0].connections[0].has_unread_input)
        may_complete.set()
        await wait_until(lambda: not servers[0].proxy.open_request_count)
        for connection in servers[0].connections:
            resume_reading(connection)
        await wait_until(lambda: not unfinished_work(servers[0]))
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 200
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t1"]


class DeferringScheduler(InputScheduler):
    """Handles no input by itself, as if the input of others always came first."""

    def submit(self, handler: InputHandler, is_short: bool) -> None:
        """Leave the input to be handled by the test."""


async def test_a_connection_whose_client_left_before_its_input_had_its_turn_is_forgotten(
    tmp_path: Path, servers: list[Server]
) -> None:
    """It stayed in the table of paused connections for as long as the process ran."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        _, writer = await idle_connection(sidecar)
        (connection,) = servers[0].connections
        servers[0].scheduler = DeferringScheduler()
        writer.write(request_bytes("once", "t2"))
        await wait_until(lambda: connection in servers[0].table.paused)
        writer.close()
        await wait_until(lambda: not servers[0].connections)
        assert isinstance(connection, ClientConnection)
        connection.handle_input()
        assert not servers[0].table.paused
