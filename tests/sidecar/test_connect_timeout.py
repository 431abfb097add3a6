"""The operator's connect timeout applies to connections and to the rules that allow for it."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from anisespool.config import operator
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.server import reset
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar


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
