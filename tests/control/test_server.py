"""Clients that misbehave on the control socket get an error or are disconnected, and delay no requests."""

from __future__ import annotations

import asyncio
import json
import os
import socket
from pathlib import Path

import pytest

from anisespool.control import server
from anisespool.control.socket_directory import InstanceSocket, prepare_directory
from anisespool.fakes import control_client
from tests.control.conftest import StartSidecar
from tests.harness.client import request_bytes
from tests.harness.log_lines import without_time
from tests.harness.waiting import wait_until

DRAINED = b'{"revision": 1, "ids": ["s-0"]}'
APPLY = b"POST /v1/apply HTTP/1.1\r\nHost: i\r\n"


@pytest.mark.parametrize(
    ("data", "status", "code"),
    [
        (b"\x00\x01\x02\r\n\r\n", 400, "bad-request"),
        (APPLY + b"Content-Length: 3\r\n\r\n{]}", 400, "bad-json"),
        (APPLY + b"Content-Length: 2\r\n\r\n[]", 400, "bad-json"),
        (APPLY + b"Content-Length: 10000000\r\n\r\nx", 413, "bad-request"),
        (APPLY + b"Content-Length: 9000\r\n\r\n" + b"[" * 9000, 400, "bad-json"),
        (b"GET /v1/explode HTTP/1.1\r\nHost: i\r\n\r\n", 404, "unknown-verb"),
        (b"DELETE /v1/state HTTP/1.1\r\nHost: i\r\n\r\n", 404, "unknown-verb"),
    ],
    ids=["binary", "not JSON", "not an object", "too large", "too deep", "unknown path", "unknown method"],
)
async def test_invalid_requests_get_an_error_status_and_code(
    start_sidecar: StartSidecar, capfd: pytest.CaptureFixture[str], data: bytes, status: int, code: str
) -> None:
    async with start_sidecar() as instance:
        response = await control_client.send_raw(instance.socket, data)
        assert (response.status, json.loads(response.body)["error"]["code"]) == (status, code)
        assert await instance.request() == 200
    assert "Traceback" not in capfd.readouterr().err


async def test_stalled_clients_are_disconnected_and_do_not_delay_application_requests(
    start_sidecar: StartSidecar, capfd: pytest.CaptureFixture[str]
) -> None:
    async with start_sidecar(silence_s=0.2) as instance:
        partial_senders = [await asyncio.open_unix_connection(str(instance.socket)) for _ in range(3)]
        for _, writer in partial_senders:
            writer.write(b"POST /v1/apply HTTP/1.1\r\nContent-Length: 50\r\n\r\n{")
        non_reader = socket.socket(socket.AF_UNIX)
        non_reader.connect(str(instance.socket))
        non_reader.send(b"GET /v1/describe HTTP/1.1\r\nHost: i\r\n\r\n" * 400)
        for number in range(20):
            assert await instance.request(request_bytes(trace_id=f"t{number}")) == 200
        for reader, _ in partial_senders:
            assert await reader.read() == b""  # The client is disconnected.
        non_reader.close()
        await instance.get("state")
    assert "Traceback" not in capfd.readouterr().err


@pytest.mark.parametrize(
    ("path", "body"),
    [("drain", b""), ("endpoints/drain", b'{"id": "s-0"}'), ("endpoints/drained", DRAINED)],
)
async def test_a_change_whose_client_has_given_up_is_not_made(
    start_sidecar: StartSidecar, path: str, body: bytes
) -> None:
    """A stopped instance made the changes that its agent had given up as soon as it went on."""
    request = b"POST /v1/%s HTTP/1.1\r\nHost: i\r\nContent-Length: %d\r\n\r\n" % (path.encode(), len(body))
    async with start_sidecar(endpoint_count=2) as instance:
        before = await instance.get("state")
        with socket.socket(socket.AF_UNIX) as client:  # is closed before the instance reads its request
            client.connect(str(instance.socket))
            client.send(request + body)
        after = await instance.get("state")
        assert (after["phase"], after["drained"]) == (before["phase"], before["drained"])
        assert not instance.sidecar.signals.stop.is_set()


async def test_a_client_that_has_ended_only_its_output_gets_its_response(start_sidecar: StartSidecar) -> None:
    """Command-line clients end their output after the request, and wait for the response."""
    async with start_sidecar() as instance:
        reader, writer = await asyncio.open_unix_connection(str(instance.socket))
        writer.write(b"GET /v1/state HTTP/1.1\r\nHost: i\r\n\r\n")
        writer.write_eof()
        assert (await reader.read()).startswith(b"HTTP/1.1 200 ")
        writer.close()


async def test_clients_over_the_limit_and_clients_of_other_users_are_disconnected(
    start_sidecar: StartSidecar, monkeypatch: pytest.MonkeyPatch
) -> None:
    async with start_sidecar(most_connections=2) as instance:
        connected = [await asyncio.open_unix_connection(str(instance.socket)) for _ in range(2)]
        with pytest.raises((EOFError, OSError)):
            await instance.call("state")
        connected[0][1].close()
        while True:
            try:
                assert (await instance.call("state"))[0] == 200
                break
            except (EOFError, OSError):
                await asyncio.sleep(0.005)
        monkeypatch.setattr(server, "peer_uid", lambda sock: os.geteuid() + 1)
        with pytest.raises((EOFError, OSError)):
            await instance.call("state")


async def test_the_socket_is_served_as_soon_as_the_previous_process_releases_the_name(
    tmp_path: Path,
    start_sidecar: StartSidecar,
    monkeypatch: pytest.MonkeyPatch,
    capfd: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setattr(server, "START_RETRY_S", 0.01)
    previous = InstanceSocket(prepare_directory(str(tmp_path / "ctl")), "n0")
    async with start_sidecar(wait_for_socket=False) as instance:
        assert await instance.request() == 200  # Application requests don't wait for the socket.
        await asyncio.sleep(0.05)  # Several attempts log one line.
        assert not previous.path.exists()
        previous.release()
        await wait_until(previous.path.exists)
        await instance.get("state")
    lines = [line for line in capfd.readouterr().err.splitlines() if line.startswith("control_")]
    error = f"another process named n0 is alive in {tmp_path / 'ctl'}"
    assert [without_time(line) for line in lines] == [
        f'control_socket_unavailable error="{error}" retry_s=0.01'
    ]


async def test_a_failed_accept_is_logged_and_accepting_resumes_after_a_pause(
    start_sidecar: StartSidecar, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr(server, "ACCEPT_RETRY_S", 0.05)
    failures = [OSError(24, "Too many open files")]
    accept = socket.socket.accept

    def accept_after_failures(listener: socket.socket) -> tuple[socket.socket, object]:
        if failures and listener.family == socket.AF_UNIX:
            raise failures.pop()
        return accept(listener)

    async with start_sidecar() as instance:
        monkeypatch.setattr(socket.socket, "accept", accept_after_failures)
        await instance.get("state")
    lines = [line for line in capfd.readouterr().err.splitlines() if line.startswith("control_")]
    assert [without_time(line) for line in lines] == [
        'control_accept_failed error="[Errno 24] Too many open files" retry_s=0.05'
    ]
