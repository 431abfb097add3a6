"""Input that a late event loop reads: a request's time counts from its arrival, not from its reading."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path

import pytest

from anisespool import tcp
from anisespool.fakes.endpoint import Endpoint
from tests.harness.client import request_bytes
from tests.harness.running_sidecar import RunningSidecar, running_sidecar
from tests.listener.harness import read_responses

LATE_S = 0.4
SHORT_MS = 200


async def connect(sidecar: RunningSidecar) -> socket.socket:
    """Open a client connection, which the sidecar has accepted and used."""
    client = socket.socket()
    client.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client, sidecar.address)
    await loop.sock_sendall(client, request_bytes("look", "before"))
    await loop.sock_recv(client, 4096)
    return client


async def responses(client: socket.socket, count: int) -> list[int]:
    reader, writer = await asyncio.open_connection(sock=client)
    statuses = [status for status, _ in await read_responses(reader, count)]
    writer.close()
    return statuses


@pytest.mark.parametrize("kernel_tells", [True, False], ids=["arrival known", "arrival unknown"])
async def test_a_request_whose_time_passed_unread_is_rejected(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, kernel_tells: bool
) -> None:
    """Where the kernel does not tell when it arrived, the earliest possible time counts."""
    if not kernel_tells:
        monkeypatch.setattr(tcp, "ns_since_last_input", lambda sock: None)
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        client = await connect(sidecar)
        client.send(request_bytes("look", "expired", SHORT_MS))
        time.sleep(LATE_S)  # noqa: ASYNC251 - keeps the sidecar's event loop from running
        assert await responses(client, 1) == [503]
        assert len(endpoint.requests) == 1


async def test_a_request_that_arrives_at_the_end_of_a_delay_has_its_whole_time(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        client = await connect(sidecar)
        time.sleep(LATE_S)  # noqa: ASYNC251 - keeps the sidecar's event loop from running
        client.send(request_bytes("look", "new", SHORT_MS))
        assert await responses(client, 1) == [200]


@pytest.mark.parametrize("rest", [request_bytes("look", "next"), b"GET /look/"], ids=["whole", "partial"])
async def test_the_arrival_of_what_follows_a_request_is_not_taken_for_its_own(
    tmp_path: Path, rest: bytes
) -> None:
    """The kernel tells the arrival of the last data alone, which may have come much later."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        client = await connect(sidecar)
        client.send(request_bytes("look", "expired", SHORT_MS))
        time.sleep(LATE_S)  # noqa: ASYNC251 - keeps the sidecar's event loop from running
        client.send(rest)
        assert await responses(client, 1) == [503]
        assert b"expired" not in [request.headers[b"x-trace-id"] for request in endpoint.requests]
