"""The program as the platform starts it: exit status, graceful shutdown and standard error."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path
from time import monotonic

import pytest

from anisespool.config.platform import Address
from anisespool.discovery.timeouts import INITIAL_BACKOFF_S
from anisespool.fakes.endpoint import OK, Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.fakes.platform import member
from anisespool.fakes.server import FakeServer, reset
from tests.harness.client import HEALTH_CHECK, request_bytes, send_request, wait_until_health
from tests.harness.platform_config import NO_LISTENER, write_config
from tests.harness.waiting import wait_until


async def start_program(
    env: dict[str, str], stderr: int = asyncio.subprocess.PIPE
) -> asyncio.subprocess.Process:
    """Start the program and wait until it has a ready endpoint."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "anisespool", env=os.environ | env, stderr=stderr
    )
    address = Address.parse(env["LB_LISTEN"])
    while True:
        try:
            await wait_until_health(address, 200)
            return process
        except OSError:  # The program does not listen yet.
            await asyncio.sleep(0.01)


async def wait_until_listener_closed(address: Address) -> None:
    """Wait until the listener is closed. A connection while it closes may be reset instead of refused."""
    while True:
        try:
            _, probe = await asyncio.open_connection(*address)
            probe.close()
        except ConnectionRefusedError:
            return
        except ConnectionResetError:
            pass
        await asyncio.sleep(0.005)


async def test_an_invalid_configuration_ends_the_process_with_one_line_and_status_2(tmp_path: Path) -> None:
    other_variables = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listen = f"127.0.0.1:{listener.getsockname()[1]}"
        port_in_use = write_config(tmp_path, NO_LISTENER, [], listen)
        for env, name in (({}, b"LB_CONFIG"), (port_in_use, b"LB_LISTEN")):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "anisespool", env=other_variables | env, stderr=asyncio.subprocess.PIPE
            )
            _, log = await process.communicate()
            assert (process.returncode, log.count(b"\n")) == (2, 1)
            assert name in log


async def test_after_sigterm_open_and_late_requests_get_responses_and_the_status_is_0(
    tmp_path: Path, listen: str
) -> None:
    release = asyncio.Event()

    async def respond_when_released(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(OK)

    async with Endpoint(respond_when_released).serve() as endpoint:
        env = write_config(tmp_path, NO_LISTENER, [member("s-0", endpoint.address)], listen)
        process = await start_program(env)
        address = Address.parse(listen)
        idle_reader, idle = await asyncio.open_connection(*address)
        idle.write(HEALTH_CHECK)
        assert (await read_response(idle_reader)).keep_alive
        before = asyncio.create_task(send_request(address, request_bytes("once")))
        await wait_until(lambda: len(endpoint.requests) == 1)
        process.send_signal(signal.SIGTERM)
        assert await idle_reader.read() == b""  # Idle connections close while new ones are accepted.
        late = asyncio.create_task(send_request(address, request_bytes("once", "t2")))
        await wait_until(lambda: len(endpoint.requests) == 2)
        release.set()
        responses = [await before, await late]
        assert [(r.status, r.headers.get(b"connection")) for r in responses] == [(200, b"close")] * 2
        _, log = await process.communicate()
        assert (process.returncode, b"Traceback" in log) == (0, False)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(*address)


async def test_a_connection_without_a_request_does_not_delay_the_shutdown(
    tmp_path: Path, listen: str
) -> None:
    async with Endpoint().serve() as endpoint:
        process = await start_program(
            write_config(tmp_path, NO_LISTENER, [member("s-0", endpoint.address)], listen)
        )
        _, silent = await asyncio.open_connection(*Address.parse(listen))
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode == 0
        silent.close()


async def test_a_partial_request_at_sigterm_gets_a_response_if_it_is_completed_soon(
    tmp_path: Path,
    listen: str,
) -> None:
    async with Endpoint().serve() as endpoint:
        process = await start_program(
            write_config(tmp_path, NO_LISTENER, [member("s-0", endpoint.address)], listen)
        )
        reader, writer = await asyncio.open_connection(*Address.parse(listen))
        _, partial_writer = await asyncio.open_connection(*Address.parse(listen))
        data = request_bytes("once", body=b"abc")
        writer.write(data[:-1])
        partial_writer.write(data[:-1])
        # Once this request has its response, the partial ones have been read.
        assert (await send_request(Address.parse(listen), request_bytes())).status == 200
        process.send_signal(signal.SIGTERM)
        await wait_until_listener_closed(Address.parse(listen))
        writer.write(data[-1:])
        response = await read_response(reader)
        assert (response.status, response.headers[b"connection"]) == (200, b"close")
        await process.communicate()
        assert process.returncode == 0
        partial_writer.close()


class ResettingDiscovery(FakeServer):
    """A discovery service that resets every connection."""

    connection_count = 0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        reset(writer)


async def test_a_closed_standard_error_causes_neither_a_lost_response_nor_a_busy_loop(
    tmp_path: Path, listen: str
) -> None:
    """The balancer's decision about a response and the watch's next attempt each follow a log line."""
    error = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
    async with Endpoint(error).serve() as bad, ResettingDiscovery().serve() as discovery:
        process = await start_program(
            write_config(tmp_path, discovery.address, [member("s-0", bad.address)], listen)
        )
        # asyncio itself closes its end of standard error only when the process ends.
        pipe = process._transport.get_pipe_transport(2)  # type: ignore[attr-defined]
        pipe.close()
        connections_before = discovery.connection_count
        started_s = monotonic()
        assert (await send_request(Address.parse(listen), request_bytes("once"))).status == 502
        await wait_until(lambda: discovery.connection_count >= connections_before + 20)
        assert monotonic() - started_s > 20 * INITIAL_BACKOFF_S / 4  # A busy machine only takes longer.
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0


async def test_a_full_standard_error_that_nobody_reads_does_not_block(tmp_path: Path, listen: str) -> None:
    """The pipe is full before the first line; the first line that fits has the number of dropped ones."""
    read_end, write_end = os.pipe()
    os.set_blocking(write_end, False)
    filled = 0
    with suppress(BlockingIOError):
        while True:
            filled += os.write(write_end, b"x" * 4096)
    os.set_blocking(write_end, True)  # The program gets a pipe to which a write would block.
    error = b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"
    async with Endpoint(error).serve() as bad:
        env = write_config(tmp_path, NO_LISTENER, [member("s-0", bad.address)], listen)
        process = await start_program(env, write_end)
        assert (await send_request(Address.parse(listen), request_bytes("once"))).status == 502
        assert len(os.read(read_end, 2 * filled)) == filled
        Path(env["LB_CONFIG"]).write_text("{")
        log = b""
        while b"config_reload_failed" not in log:
            process.send_signal(signal.SIGHUP)
            log += await asyncio.to_thread(os.read, read_end, 65536)
        assert re.match(rb"log_lines_dropped count=[1-9]\d*\n", log)
        process.send_signal(signal.SIGTERM)
        assert await process.wait() == 0
    os.close(read_end)
    os.close(write_end)
