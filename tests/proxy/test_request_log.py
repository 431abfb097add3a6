"""Log lines that say why a request was not served, retried or abandoned, and why a connection closed."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.fakes.server import reset
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until


async def reset_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    reset(writer)


class Log:
    """What the sidecar in this process has written so far."""

    def __init__(self, capture: pytest.CaptureFixture[str]) -> None:
        self._capture = capture
        self._text = ""

    def has(self, *parts: str) -> bool:
        """Return whether one line contains all parts."""
        self._text += self._capture.readouterr().err
        return any(all(part in line for part in parts) for line in self._text.splitlines())


async def test_the_reason_of_a_failure_a_retry_and_a_rejection_is_logged(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    log = Log(capfd)
    endpoints = Endpoint(reset_connection), Endpoint(reset_connection)
    async with (
        endpoints[0].serve(),
        endpoints[1].serve(),
        running_sidecar(tmp_path, *endpoints) as sidecar,
    ):
        assert (await send_request(sidecar.address, request_bytes("once", "t-once"))).status == 502
        assert log.has("request_unserved", "trace_id=t-once status=502 reason=reset attempts=1 count=1")
        assert (await send_request(sidecar.address, request_bytes("look", "t-look"))).status == 503
        assert log.has("request_retried", "trace_id=t-look", "reason=reset count=1")
        attempts = sum(len(endpoint.requests) for endpoint in endpoints) - 1
        assert log.has("request_unserved", f"trace_id=t-look status=503 reason=reset attempts={attempts}")


async def test_a_client_that_leaves_and_a_closed_connection_are_logged(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    log = Log(capfd)

    async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    endpoint = Endpoint()
    async with endpoint.serve(), running_sidecar(tmp_path, endpoint) as sidecar:
        reader, idle = await asyncio.open_connection(*sidecar.address)
        idle.write(request_bytes())
        await read_response(reader)
        endpoint.response = hang
        _, leaving = await asyncio.open_connection(*sidecar.address)
        leaving.write(request_bytes("once", "t-left"))
        await wait_until(lambda: len(endpoint.requests) == 2)
        leaving.close()
        await wait_until(lambda: log.has("request_abandoned", "trace_id=t-left reason=in_flight", "count=1"))
        sidecar.signals.stop.set()
        await wait_until(lambda: log.has("client_connection_closed reason=shutdown count=1"))
        idle.close()
