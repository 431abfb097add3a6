"""Helpers for tests of the listener that need to control when endpoints respond and when input is read."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.http1 import Response, read_response
from anisespool.listener.server import Server
from anisespool.listener.tracked_connection import TrackedConnection
from tests.harness.client import request_bytes
from tests.harness.connection_internals import transport_of
from tests.harness.running_sidecar import RunningSidecar
from tests.harness.waiting import wait_until

LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + b"x" * 1_000_000


async def client_that_reads_nothing(
    sidecar: RunningSidecar, endpoint: Endpoint, server: Server
) -> socket.socket:
    """Return a client that reads nothing, after requests whose responses fill its receive buffer."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setblocking(False)
    await loop.sock_connect(client, sidecar.address)
    while not any(connection.has_unsent_output for connection in server.connections):
        count = len(endpoint.requests)
        await loop.sock_sendall(client, request_bytes("once", f"t{count}"))
        await wait_until(lambda n=count: len(endpoint.requests) > n and not server.open_trace_ids)  # type: ignore[misc]
    return client


class BlockedEndpoint(Endpoint):
    """An endpoint that responds only once `may_respond` is set."""

    def __init__(self, response: bytes = OK) -> None:
        super().__init__(self._respond_when_allowed)
        self.may_respond = asyncio.Event()
        self._reply = response

    async def _respond_when_allowed(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self.may_respond.wait()
        writer.write(self._reply)


def unfinished_work(server: Server) -> list[Any]:
    """Return all unfinished work, wherever the sidecar tracks it."""
    cluster = server.proxy.cluster
    pools = cluster.pools
    waiting: list[Any] = [item for pool in pools for item in (*pool.connecting, *pool.active)]
    waiting += cluster.connections.difference(waiting, *(pool.idle for pool in pools))
    return [
        *range(server.proxy.open_request_count),
        *server.open_trace_ids,
        *server.table.paused,
        *server.table.active,
        *waiting,
        *range(cluster.connecting_count),
    ]


async def read_responses(reader: asyncio.StreamReader, count: int) -> list[tuple[int, bool]]:
    """Return the status of each response, and whether the connection stays open."""
    responses: list[Response] = [await read_response(reader) for _ in range(count)]
    return [(response.status, response.keep_alive) for response in responses]


async def idle_connection(sidecar: RunningSidecar) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a client connection that is idle after a response."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    writer.write(request_bytes("once", "t1"))
    assert await read_responses(reader, 1) == [(200, True)]
    return reader, writer


def pause_reading(server: Server) -> TrackedConnection:
    """Stop reading from the only client, so that its further input stays in the kernel."""
    (connection,) = server.connections
    transport_of(connection).pause_reading()
    return connection


async def wait_for_unread_input(connection: TrackedConnection) -> None:
    await wait_until(lambda: connection.has_unread_input)


def resume_reading(connection: TrackedConnection) -> None:
    transport_of(connection).resume_reading()
