"""Graceful shutdown: every received request gets its response, in time."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from pathlib import Path

import pytest

from anisespool.balancer import interface as api
from anisespool.fakes.endpoint import Endpoint
from anisespool.listener import shutdown as listener_shutdown
from anisespool.listener import timeouts
from anisespool.listener.server import Server
from anisespool.listener.shutdown import shut_down
from anisespool.sidecar import shutdown
from tests.harness.client import request_bytes
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.listener.harness import (
    LARGE_RESPONSE,
    BlockedEndpoint,
    client_that_reads_nothing,
    idle_connection,
    pause_reading,
    read_responses,
    resume_reading,
    unfinished_work,
    wait_for_unread_input,
)
from tests.support import SECOND, raw_settings
from tests.upstream.harness import never_respond


@pytest.mark.parametrize("how", ["read ahead", "half read", "in the kernel"])
async def test_shutdown_responds_to_requests_pipelined_behind_an_open_one(
    tmp_path: Path, servers: list[Server], how: str
) -> None:
    endpoint = BlockedEndpoint()
    second = request_bytes("once", "t2", body=b"abc")
    split_at = {"read ahead": len(second), "half read": 40, "in the kernel": 0}[how]
    async with endpoint.serve(), running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once", "t1") + second[:split_at])
        await wait_until(lambda: len(endpoint.requests) == 1)
        sidecar.signals.stop.set()
        await wait_until(lambda: servers[0].stopping)
        connection = pause_reading(servers[0])
        if how == "in the kernel":
            writer.write(second)
            await wait_for_unread_input(connection)
        endpoint.may_respond.set()
        assert await read_responses(reader, 1) == [(200, True)]  # closing would lose the second request
        writer.write(second[split_at:] if split_at else b"")
        resume_reading(connection)
        assert await read_responses(reader, 1) == [(200, False)]
        assert await reader.read() == b""
        await sidecar.task
        assert len(endpoint.requests) == 2
        assert not unfinished_work(servers[0])
        writer.close()


@pytest.mark.parametrize("closer", ["shutdown", "idle timeout", "eviction"])
async def test_a_connection_with_an_unread_request_is_not_closed_as_idle(
    tmp_path: Path, servers: list[Server], closer: str
) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await idle_connection(sidecar)
        connection = pause_reading(servers[0])
        writer.write(request_bytes("once", "t2"))
        await wait_for_unread_input(connection)
        if closer == "shutdown":
            sidecar.signals.stop.set()
            await wait_until(lambda: servers[0].stopping)
        elif closer == "idle timeout":
            connection.apply_timeouts(connection.inactive_since_s + 1000)
        else:
            servers[0].table.close_oldest_idle()
        resume_reading(connection)
        assert await read_responses(reader, 1) == [(200, closer != "shutdown")]
        writer.close()


@pytest.fixture
def short_shutdown(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the graceful shutdown, so that it ends half a second after SIGTERM at the latest."""
    for name, value in (
        ("ACCEPT_AFTER_SIGTERM_S", 0.1),
        ("SIGKILL_MARGIN_S", 0.3),
        ("MAX_SIGKILL_DEADLINE_S", 0.3),
    ):
        monkeypatch.setattr(shutdown, name, value)


@pytest.mark.parametrize(
    ("deadline_s", "kill_s"), [(0.1, 0.8), (2.0, 2.7), (3.0, 3.7), (6.0, 3.7), (20.0, 3.7)]
)
def test_the_time_until_sigkill_follows_the_settings(deadline_s: float, kill_s: float) -> None:
    classes = raw_settings()["request-classes"]
    for row in classes:
        row["deadline-ns"] = int(deadline_s * SECOND)
    settings = api.Settings.from_dict(raw_settings() | {"request-classes": classes})
    assert shutdown.sigkill_after_s(settings) == pytest.approx(kill_s)


@pytest.mark.usefixtures("short_shutdown")
async def test_shutdown_responds_to_all_requests_before_sigkill_when_endpoints_hang(
    tmp_path: Path, servers: list[Server]
) -> None:
    """Clients would wait for a minute. Requests that may have been executed fail; others are rejected."""
    async with (
        Endpoint(never_respond).serve() as hanging_endpoint,
        running_sidecar(tmp_path, hanging_endpoint) as sidecar,
    ):
        calls = [("look", ""), ("keyed", "Idempotency-Key: k\r\n"), ("once", "")]
        streams = []
        for request_class, headers in calls:
            reader, writer = await asyncio.open_connection(*sidecar.address)
            for number in range(3):
                trace_id = f"{request_class}-{number}"
                writer.write(request_bytes(request_class, trace_id, 60_000, headers=headers))
            streams.append((reader, writer))
        await wait_until(lambda: len(hanging_endpoint.requests) >= len(calls))
        sidecar.signals.stop.set()
        responses = [await read_responses(reader, 3) for reader, _ in streams]
        assert responses == [[(first, True), (503, True), (503, False)] for first in (503, 504, 504)]
        await sidecar.task
        assert not unfinished_work(servers[0])
        for _, writer in streams:
            writer.close()


async def test_a_request_that_is_completed_after_the_shutdown_is_not_forwarded(
    tmp_path: Path, servers: list[Server], monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ran without a response: the process writes its records after the shutdown, and then ends."""
    monkeypatch.setattr(listener_shutdown, "PARTIAL_REQUEST_GRACE_S", 0.05)
    request = request_bytes("once", body=b"abc")
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request[:-1])
        await wait_until(lambda: bool(servers[0].connections) and not servers[0].connections[0].is_idle)
        await shut_down(servers[0], accept_s=0.0, timeout_s=5.0)
        writer.write(request[-1:])
        with suppress(ConnectionResetError):
            assert await reader.read() == b""
        assert endpoint.requests == []
        writer.close()


@pytest.mark.usefixtures("short_shutdown")
async def test_a_client_that_never_reads_does_not_delay_shutdown(
    tmp_path: Path, servers: list[Server], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timeouts, "WRITE_TIMEOUT_S", 1000.0)
    async with Endpoint(LARGE_RESPONSE).serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        client = await client_that_reads_nothing(sidecar, endpoint, servers[0])
        sidecar.signals.stop.set()
        await sidecar.task
        client.close()
