"""A client that leaves much unread input behind: nothing of it is sent on, and no id runs twice."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.http1 import read_response
from tests.harness.client import request_bytes, send_request
from tests.harness.stopped_process import stopped
from tests.harness.waiting import wait_until
from tests.sidecar.test_held_up_process import HELD_UP_S, Program, program, trace_ids, warm_up

PIPELINED_REQUESTS = 400
BODY_BYTES = 8192
"""So many requests of this size fill the receive buffer of the sidecar's kernel several times."""
MAX_LATE_ATTEMPT_S = 0.1
"""An attempt that begins later than this after its client has left counts as lost."""
SERVICE_S = 0.3


def close(client: socket.socket) -> None:
    client.close()


def half_close(client: socket.socket) -> None:
    client.shutdown(socket.SHUT_WR)


async def client_with_much_input(sidecar: Program) -> socket.socket:
    """Return a connection whose input is partly in the sidecar's kernel and partly in the client's."""
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, sidecar.address)
    for number in range(PIPELINED_REQUESTS):
        request = request_bytes("once", f"left-{number}", body=b"x" * BODY_BYTES)
        try:
            async with asyncio.timeout(HELD_UP_S):
                await loop.sock_sendall(client, request)
        except TimeoutError:
            break
    return client


def left_requests(endpoint: Endpoint) -> list[str]:
    return [trace_id for trace_id in trace_ids(endpoint) if trace_id.startswith("left")]


@pytest.mark.parametrize("leave", [close, half_close])
async def test_no_request_is_sent_for_a_client_whose_close_lies_behind_unread_input(
    tmp_path: Path, listen: str, leave: Callable[[socket.socket], None]
) -> None:
    """Report 9c876c: the close was behind more input than the kernel holds, so the requests before it ran."""
    async with Endpoint().serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        await warm_up(sidecar, endpoint)
        async with stopped(sidecar.process):
            client = await client_with_much_input(sidecar)
            leave(client)
            await asyncio.sleep(2 * MAX_LATE_ATTEMPT_S)
        assert (await send_request(sidecar.address, request_bytes("look", "after"))).status == 200
        await asyncio.sleep(HELD_UP_S)
        assert not left_requests(endpoint)
        client.close()


async def test_no_further_pipelined_request_is_sent_after_a_half_close_behind_unread_input(
    tmp_path: Path, listen: str
) -> None:
    """Report 9c876c: the requests that had been read went on being sent, one after another, for seconds."""

    async def respond_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SERVICE_S)
        writer.write(OK)

    async with Endpoint(respond_late).serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        client = await client_with_much_input(sidecar)
        half_close(client)
        left_s = time.monotonic()
        sent = len(left_requests(endpoint))
        await asyncio.sleep(3 * SERVICE_S)
        assert time.monotonic() - left_s > MAX_LATE_ATTEMPT_S
        assert len(left_requests(endpoint)) <= sent + 1
        client.close()


@pytest.mark.parametrize("request_class", ["once", "keyed"])
async def test_an_id_does_not_run_again_when_it_comes_again_after_its_client_has_left(
    tmp_path: Path, listen: str, request_class: str
) -> None:
    """Report 9c876c: the id was free once its client had left, though its request was being executed."""

    async def respond_late(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(SERVICE_S)
        writer.write(OK)

    key = "Idempotency-Key: k1\r\n" if request_class == "keyed" else ""
    request = request_bytes(request_class, "left-1", headers=key)
    async with Endpoint(respond_late).serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request)
        await wait_until(lambda: bool(left_requests(endpoint)))
        writer.close()
        await wait_until(lambda: endpoint.closed_by_peer > 0)
        assert (await send_request(sidecar.address, request)).status == 409
        assert len(left_requests(endpoint)) == 1


async def test_an_id_does_not_run_again_after_an_answer_that_its_client_may_not_have_read(
    tmp_path: Path, listen: str
) -> None:
    """A client that leaves as its answer is written has none, and may send the request once more."""
    request = request_bytes("once", "left-1")
    async with Endpoint().serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request)
        assert (await read_response(reader)).status == 200
        writer.close()
        assert (await send_request(sidecar.address, request)).status == 409
        assert len(left_requests(endpoint)) == 1
