"""The end of the process: what endpoints get of requests that were not delivered by then."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import pytest

from anisespool.config.platform import Address
from anisespool.fakes import http1
from anisespool.fakes.platform import member
from tests.harness.client import request_bytes
from tests.harness.platform_config import NO_LISTENER, write_config
from tests.harness.stalled_endpoint import LONG_BODY, read_to_end, stalled_endpoint, unread_bytes
from tests.harness.waiting import wait_until
from tests.sidecar.test_program import start_program


@pytest.mark.parametrize("end_signal", [signal.SIGKILL, signal.SIGTERM])
async def test_a_process_that_has_ended_delivers_nothing_more(
    tmp_path: Path, listen: str, end_signal: signal.Signals
) -> None:
    """The kernel went on delivering a killed sidecar's requests, which ran beside their clients' retries."""
    async with stalled_endpoint() as (endpoint, accepted):
        env = write_config(tmp_path, NO_LISTENER, [member("s-0", endpoint)], listen)
        process = await start_program(env)
        reader, writer = await asyncio.open_connection(*Address.parse(listen))
        writer.write(request_bytes("once", body=LONG_BODY))
        connection = await accepted
        await wait_until(lambda: unread_bytes(connection) > 0)
        process.send_signal(end_signal)
        if end_signal is signal.SIGTERM:
            assert (await http1.read_response(reader)).status in (502, 504)
        await process.wait()
        received = await asyncio.to_thread(read_to_end, connection)
        assert received.was_reset
        assert len(received.data) < len(LONG_BODY)
        writer.close()
