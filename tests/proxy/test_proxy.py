"""A complete sidecar on sockets gives each request exactly one final response, whatever its peers do."""

from __future__ import annotations

import asyncio
import json
import os
import random
import resource
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.fakes.platform import member, member_list
from anisespool.fakes.server import reset
from anisespool.upstream.cluster import REUSE_DELAY_S
from tests.harness.client import (
    DEADLINE_TOLERANCE_S,
    HEALTH_CHECK,
    new_trace_id,
    request_bytes,
    send_request,
    wait_until_health,
)
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.proxy.harness import NEVER_RAN, respond_after
from tests.upstream.harness import close_immediately, http_response, never_respond


async def test_request_and_response_bodies_are_forwarded_unchanged(tmp_path: Path) -> None:
    body = bytes(range(256)) * 1300  # more than the protocol allows, as seen in production
    reply = b"HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
    async with Endpoint(reply).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        call = request_bytes("once", body=body[: 2 * 65536])  # also more than the protocol allows
        response = await send_request(sidecar.address, call)
        assert (response.status, response.body) == (200, body)
        assert endpoint.requests[0].body == body[: 2 * 65536]
        assert endpoint.requests[0].target == b"/once/00ab?q=1"


@pytest.mark.parametrize(
    ("request_class", "reply", "attempts", "status"),
    [
        # Not executed: the request is retried elsewhere, and the client may retry it after the last attempt.
        ("once", NEVER_RAN, 3, 503),
        # Possibly executed: the request is not retried, and the client gets no permission to retry it.
        ("once", http_response("500 Oops"), 1, 502),
        ("once", http_response("503 Busy"), 1, 502),
        ("once", close_immediately, 1, 502),
        ("look", http_response("500 Oops"), 3, 503),
        ("look", close_immediately, 3, 503),
    ],
)
async def test_an_attempt_that_may_have_executed_is_retried_only_for_an_idempotent_class(
    tmp_path: Path, request_class: str, reply: Any, attempts: int, status: int
) -> None:
    first = Endpoint(reply)
    second = Endpoint(reply)
    async with first.serve(), second.serve(), running_sidecar(tmp_path, first, second) as sidecar:
        assert (await send_request(sidecar.address, request_bytes(request_class))).status == status
        assert len(first.requests) + len(second.requests) == attempts


async def test_a_non_idempotent_request_without_response_fails_by_its_deadline(tmp_path: Path) -> None:
    async with Endpoint(never_respond).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        started_s = monotonic()
        response = await send_request(sidecar.address, request_bytes("once", left_ms=150))
        assert response.status == 502
        assert 0.1 < monotonic() - started_s < 0.15 + DEADLINE_TOLERANCE_S
        await wait_until(lambda: endpoint.closed_by_peer == 1)


async def test_a_request_without_time_left_is_rejected_at_once(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        assert (await send_request(sidecar.address, request_bytes("once", left_ms=0))).status == 503
        assert not endpoint.requests


async def test_a_disconnected_clients_attempt_is_cancelled(tmp_path: Path) -> None:
    async with Endpoint(never_respond).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        for disconnect in (lambda w: w.close(), reset):
            before = len(endpoint.requests)
            _, writer = await asyncio.open_connection(*sidecar.address)
            writer.write(request_bytes("once", new_trace_id()))
            await wait_until(lambda n=before: len(endpoint.requests) == n + 1)  # type: ignore[misc]
            disconnected_s = monotonic()
            disconnect(writer)
            await wait_until(lambda n=before: endpoint.closed_by_peer == n + 1)  # type: ignore[misc]
            assert monotonic() - disconnected_s < 0.4  # well before the attempt's deadline


async def test_fragmented_and_pipelined_requests_are_forwarded_in_order(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        for byte in request_bytes("once", body=b"abc"):
            writer.write(bytes((byte,)))
            await writer.drain()
        assert (await read_response(reader)).status == 200
        writer.write(request_bytes("once", "t2", body=b"12") + request_bytes("look", "t3") + HEALTH_CHECK)
        replies = b""
        while replies.count(b"HTTP/1.1 200 OK") < 3:
            replies += await reader.read(65536)
        assert [r.headers[b"x-trace-id"] for r in endpoint.requests] == [b"t1", b"t2", b"t3"]
        assert [r.body for r in endpoint.requests] == [b"abc", b"12", b""]
        writer.close()


async def test_an_incomplete_request_is_not_forwarded(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        _, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once", body=b"abc")[:-1])
        writer.close()
        assert (await send_request(sidecar.address, request_bytes())).status == 200
        assert len(endpoint.requests) == 1


OVERSIZED_HEADER = "X-Filler: " + "x" * 20000 + "\r\n"


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (b"GET /look/1\r\n\r\n", 400),
        (request_bytes().replace(b"HTTP/1.1", b"HTTP/9.9"), 400),
        (request_bytes("once", headers="Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"), 400),
        (request_bytes("once").replace(b"Content-Length: 0", b"Content-Length: -4"), 400),
        (request_bytes().replace(b"X-Trace-Id: t1\r\n", b""), 400),
        (request_bytes().replace(b"2000", b"soon"), 400),
        (request_bytes().replace(b"2000", b"9" * 30), 400),
        (request_bytes().replace(b"/look/", b"/nothing/"), 404),
        (request_bytes().replace(b"/look/00ab?q=1", b"/"), 404),
        (request_bytes("once").replace(b"Content-Length: 0", b"Content-Length: 131073"), 413),
        (
            request_bytes("once").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"20001\r\n",
            413,
        ),
        (request_bytes(headers=OVERSIZED_HEADER), 413),
        (request_bytes().replace(b"GET", b"DELETE"), 405),
        (request_bytes().replace(b"/look/", b"/look/" + b"x" * 20000), 413),
    ],
)
async def test_an_invalid_request_is_rejected_and_not_forwarded(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], data: bytes, status: int
) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        if b"20001\r\n" in data:
            data += b"x" * 0x20001
        assert (await send_request(sidecar.address, data)).status == status
        assert (await send_request(sidecar.address, request_bytes())).status == 200
        assert len(endpoint.requests) == 1
    assert "Traceback" not in capfd.readouterr().err


async def test_healthz_reports_whether_requests_can_be_served(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path) as sidecar:
        assert (await send_request(sidecar.address, HEALTH_CHECK)).status == 503
        await wait_until(lambda: bool(sidecar.discovery.connections))
        sidecar.discovery.send(member_list(2, [member("s-1", endpoint.address)]))
        await wait_until_health(sidecar.address, 200)
        assert (await send_request(sidecar.address, request_bytes())).status == 200


async def test_a_drain_moves_new_requests_and_lets_open_ones_finish(tmp_path: Path) -> None:
    old = Endpoint(respond_after(0.2))
    new = Endpoint()
    async with old.serve(), new.serve(), running_sidecar(tmp_path, old) as sidecar:
        await wait_until(lambda: bool(sidecar.discovery.connections))
        running = asyncio.create_task(send_request(sidecar.address, request_bytes("once")))
        await wait_until(lambda: len(old.requests) == 1)
        changes = [member("s-0", old.address, "draining"), member("s-9", new.address)]
        sidecar.discovery.send(member_list(2, changes, complete=False))
        while not new.requests:
            await send_request(sidecar.address, request_bytes("once", new_trace_id()))
        before = len(old.requests)
        for _ in range(5):
            assert (await send_request(sidecar.address, request_bytes("once", new_trace_id()))).status == 200
        assert len(old.requests) == before
        assert (await running).status == 200


@contextmanager
def no_file_descriptors_above(last: int) -> Iterator[None]:
    """Use up all file descriptors of the process up to `last`, and allow none above."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (last + 1, hard))
    fillers = []
    try:
        with suppress(OSError):
            while True:
                fillers.append(os.open(os.devnull, os.O_RDONLY))
        yield
    finally:
        for fd in fillers:
            os.close(fd)
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def test_without_file_descriptors_connections_wait_and_the_event_loop_does_not_spin(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    # The class allows no second attempt. An attempt of a repeatable request times out after some ms, and its
    # retry would need a descriptor for another connection.
    first, second, third = (request_bytes("once", f"t{number}") for number in range(3))
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        assert (await send_request(sidecar.address, first)).status == 200
        await asyncio.sleep(REUSE_DELAY_S)  # then the connection to the endpoint can be reused
        reader, writer = await asyncio.open_connection(*sidecar.address)
        client = socket.socket()
        client.setblocking(False)
        with no_file_descriptors_above(client.fileno()):
            log = ""
            started_s = monotonic()
            await asyncio.get_running_loop().sock_connect(client, sidecar.address)
            writer.write(second)  # open connections are still served
            assert (await read_response(reader)).status == 200
            while log.count("Too many open files") < 3:
                await asyncio.sleep(0.002)
                log += capfd.readouterr().err
            assert monotonic() - started_s > 0.05  # the listener paused between its attempts to accept
        reader, writer = await asyncio.open_connection(sock=client)
        writer.write(third)
        assert (await read_response(reader)).status == 200
        writer.close()


async def test_the_wait_in_the_pipeline_counts_towards_a_requests_timeout(tmp_path: Path) -> None:
    async with (
        Endpoint(respond_after(0.15)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        reader, writer = await asyncio.open_connection(*sidecar.address)
        started_s = monotonic()
        writer.write(request_bytes("once", "t1") + request_bytes("once", "t2", left_ms=250))
        replies = b""
        while replies.count(b"HTTP/1.1 ") < 2:
            replies += await reader.read(65536)
        assert replies.startswith(b"HTTP/1.1 200")
        assert replies.count(b"HTTP/1.1 50") == 1
        assert monotonic() - started_s < 0.25 + DEADLINE_TOLERANCE_S
        writer.close()


async def test_the_wait_of_unread_requests_counts_towards_their_timeout(tmp_path: Path) -> None:
    """Requests behind a full pipeline got their whole time anew when read, and were answered late."""
    async with (
        Endpoint(respond_after(0.3)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once", "t0"))
        # More bodies than the sidecar reads at a time, so that the rest waits in the kernel. The first has
        # more time, as the bytes of the others arrive later if the loop is late.
        body = b"x" * 60_000
        rest = [request_bytes("once", f"t{n}", 600 if n == 1 else 500, body) for n in range(1, 9)]
        writer.write(b"".join(rest))
        started_s = monotonic()
        replies = b""
        while replies.count(b"HTTP/1.1 ") < len(rest) + 1:
            replies += await reader.read(65536)
        assert monotonic() - started_s < 0.6 + DEADLINE_TOLERANCE_S
        assert len(endpoint.requests) == 2
        told_ms = int(endpoint.requests[1].headers[b"x-expires-in-ms"])
        assert told_ms <= 300
        writer.close()


def corrupted(rng: random.Random, data: bytes) -> bytes:
    """Return `data` with some bytes changed, or random bytes instead."""
    changed = bytearray(data)
    for _ in range(rng.randrange(1, 5)):
        changed[rng.randrange(len(changed))] = rng.randrange(256)
    return bytes(changed) if rng.random() < 0.8 else rng.randbytes(200)


@pytest.mark.parametrize("seed", range(5))
async def test_invalid_bytes_from_any_peer_do_not_lose_requests(
    tmp_path: Path, capfd: pytest.CaptureFixture[str], seed: int
) -> None:
    """Peers send random bytes or corrupted messages; afterwards, valid requests are served as before."""
    rng = random.Random(seed)

    async def send_corrupted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(corrupted(rng, OK))
        writer.close()

    async with Endpoint(send_corrupted).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        await wait_until(lambda: bool(sidecar.discovery.connections))
        for revision in range(20):
            update = member_list(revision, [member("s-x", endpoint.address)], complete=False)
            sidecar.discovery.send(corrupted(rng, json.dumps(update).encode()).replace(b"\n", b" "))
            request = request_bytes("once", new_trace_id(), left_ms=300)
            status = (await send_request(sidecar.address, request)).status
            assert status in (200, 502, 503)
            _, writer = await asyncio.open_connection(*sidecar.address)
            writer.write(corrupted(rng, request_bytes("once", "t2", body=b"abc")))
            writer.close()
        endpoint.response = OK
        valid = member_list(99, [member("s-new", endpoint.address)])
        sidecar.discovery.send(valid)
        while (await send_request(sidecar.address, request_bytes("look"))).status != 200:
            pass
    assert "Traceback" not in capfd.readouterr().err


async def test_a_client_that_keeps_sending_can_still_read_its_413(tmp_path: Path) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once").replace(b"Content-Length: 0", b"Content-Length: 5000000"))
        for _ in range(50):
            writer.write(b"x" * 100_000)
            await writer.drain()
        assert (await read_response(reader)).status == 413
        assert await reader.read() == b""
        writer.close()
