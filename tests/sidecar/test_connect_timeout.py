"""The operator's connect timeout applies to connections and to the rules that allow for it."""

from __future__ import annotations

import asyncio
import socket
import time
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import operator
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.server import reset
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar
from tests.support import SECOND


async def reset_after_execution(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(0.2)
    reset(writer)


@pytest.mark.parametrize(("connect_timeout_ms", "attempts"), [(100, 3), (900, 1)])
async def test_a_keyed_request_is_retried_only_if_a_late_connect_still_fits_into_its_window(
    tmp_path: Path, connect_timeout_ms: int, attempts: int
) -> None:
    """The margin before the window's end followed the platform's timeout, so that a retry came too late.

    The window is 1 s, and the first attempt is lost after 0.2 s of it.
    """
    file = operator.parse_operator_config({"connections": {"connect_timeout_ms": connect_timeout_ms}}, "file")
    request = request_bytes("keyed", headers="Idempotency-Key: k1\r\n")
    async with (
        Endpoint(reset_after_execution).serve() as first,
        Endpoint(reset_after_execution).serve() as second,
        running_sidecar(tmp_path, first, second, operator_config=file) as sidecar,
    ):
        assert (await send_request(sidecar.address, request)).status == 502
        assert len(first.requests) + len(second.requests) == attempts


@pytest.mark.parametrize(("late_s", "attempts"), [(0.0, 3), (1.0, 1)])
async def test_a_keyed_retry_that_a_late_event_loop_would_begin_outside_its_window_is_not_begun(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, late_s: float, attempts: int
) -> None:
    """The window was compared when the retry was decided on; the event loop was late during the connect."""
    patient = [
        {"target-ns": 2 * SECOND, "deadline-ns": 2 * SECOND, "effect": effect, "dedup-window-ns": SECOND}
        for effect in ("repeatable", "by_key", "once")
    ]
    loop = asyncio.get_running_loop()
    connect = loop.sock_connect

    async def connect_late(sock: socket.socket, address: Any) -> None:
        await connect(sock, address)
        if first.requests or second.requests:
            time.sleep(late_s)  # noqa: ASYNC251 - keeps the event loop from running

    request = request_bytes("keyed", headers="Idempotency-Key: k1\r\n")
    async with (
        Endpoint(reset_after_execution).serve() as first,
        Endpoint(reset_after_execution).serve() as second,
        running_sidecar(tmp_path, first, second, request_classes=patient) as sidecar,
    ):
        monkeypatch.setattr(loop, "sock_connect", connect_late)
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request)
        await reader.readline()
        assert len(first.requests) + len(second.requests) == attempts
        writer.close()
