"""A process that did not run for a while: what arrived meanwhile is not handled as if it were new."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path

import pytest

from anisespool.config.platform import Address
from anisespool.fakes.discovery import ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.fakes.platform import member, member_list
from anisespool.fakes.server import reset
from anisespool.upstream.cluster import REUSE_DELAY_S
from tests.harness.client import request_bytes, send_request
from tests.harness.platform_config import write_config
from tests.harness.stopped_process import stopped
from tests.harness.waiting import wait_until
from tests.sidecar.test_program import start_program
from tests.support import SECOND

HELD_UP_S = 0.4
REQUEST_S = 2.0
MAX_DEADLINE_EXCESS_S = 0.15
"""By how much the time that an endpoint is told may exceed what the client has left."""
MAX_DRAIN_NOTICE_S = 0.3
"""Time from the notice of a drain on which no request may be sent there: 250 ms, and 50 ms on sockets."""


PATIENT_CLASSES = [
    {"target-ns": 2 * SECOND, "deadline-ns": 2 * SECOND, "effect": effect, "worth": 1.0, "late-worth": 0.5}
    for effect in ("repeatable", "by_key", "once")
]
"""Request classes whose requests wait until their client gives up."""
LONGEST_DEADLINE_S = 2.0
SIGKILL_MARGIN_S = 0.7


@dataclass(slots=True)
class Program:
    """A sidecar as a process of its own, its discovery service and the address where it listens."""

    process: asyncio.subprocess.Process
    discovery: ScriptedDiscovery
    address: Address


@asynccontextmanager
async def program(folder: Path, listen: str, *endpoints: Endpoint) -> AsyncIterator[Program]:
    """Run a sidecar that watches the list of these endpoints, `s-0`, `s-1` and so on."""
    async with ScriptedDiscovery().serve() as discovery:
        members = [member(f"s-{number}", endpoint.address) for number, endpoint in enumerate(endpoints)]
        env = write_config(folder, discovery.address, members, listen, request_classes=PATIENT_CLASSES)
        process = await start_program(env)
        try:
            await wait_until(lambda: bool(discovery.connections))
            yield Program(process, discovery, Address.parse(listen))
        finally:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()


async def connect(sidecar: Program, is_accepted: bool) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a client connection, which the sidecar has accepted and used if `is_accepted`."""
    reader, writer = await asyncio.open_connection(*sidecar.address)
    if is_accepted:
        writer.write(request_bytes("look", "before"))
        await read_response(reader)
    return reader, writer


async def warm_up(sidecar: Program, *endpoints: Endpoint) -> None:
    """Leave an idle connection to each endpoint, so that a request is forwarded as soon as it is read."""
    while not all(endpoint.requests for endpoint in endpoints):
        await send_request(sidecar.address, request_bytes("look", "warm"))
    await asyncio.sleep(2 * REUSE_DELAY_S)


@asynccontextmanager
async def held_up_client(
    sidecar: Program, endpoint: Endpoint, is_accepted: bool
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    """Stop the sidecar until the block ends, and return a connection that was accepted before or is not."""
    await warm_up(sidecar, endpoint)
    accepted = await connect(sidecar, is_accepted=True)
    async with stopped(sidecar.process):
        yield accepted if is_accepted else await connect(sidecar, is_accepted=False)


def trace_ids(endpoint: Endpoint) -> list[str]:
    return [request.headers[b"x-trace-id"].decode() for request in endpoint.requests]


def close(writer: asyncio.StreamWriter) -> None:
    writer.close()


def half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


@pytest.mark.parametrize("disconnect", [close, half_close, reset])
@pytest.mark.parametrize("is_accepted", [True, False], ids=["open connection", "unaccepted connection"])
async def test_a_request_whose_client_left_before_it_was_read_is_not_forwarded(
    tmp_path: Path, listen: str, is_accepted: bool, disconnect: Callable[[asyncio.StreamWriter], None]
) -> None:
    """Report 3b0b3a: requests were forwarded 0.3 s after their clients had left, which counts as lost."""
    async with Endpoint().serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        async with held_up_client(sidecar, endpoint, is_accepted) as (_, writer):
            writer.write(request_bytes("look", "left"))
            await asyncio.sleep(HELD_UP_S / 4)
            disconnect(writer)
            await asyncio.sleep(HELD_UP_S)
        assert (await send_request(sidecar.address, request_bytes("look", "after"))).status == 200
        assert "left" not in trace_ids(endpoint)
        writer.transport.abort()


async def test_a_request_is_not_retried_after_its_client_left_before_the_failure_was_read(
    tmp_path: Path, listen: str
) -> None:
    """As in report 3b0b3a, but the request was forwarded before: its failure was read before the close."""
    may_fail = asyncio.Event()

    async def reset_when_allowed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await may_fail.wait()
        reset(writer)

    endpoints = [Endpoint(), Endpoint()]
    async with (
        endpoints[0].serve(),
        endpoints[1].serve(),
        program(tmp_path, listen, *endpoints) as sidecar,
    ):
        await warm_up(sidecar, *endpoints)
        _, writer = await connect(sidecar, is_accepted=True)
        for endpoint in endpoints:
            endpoint.response = reset_when_allowed
        writer.write(request_bytes("look", "left"))
        await wait_until(lambda: any("left" in trace_ids(endpoint) for endpoint in endpoints))
        async with stopped(sidecar.process):
            may_fail.set()
            await asyncio.sleep(HELD_UP_S / 4)
            writer.close()
            await asyncio.sleep(HELD_UP_S)
        await asyncio.sleep(HELD_UP_S / 4)
        assert sum(trace_ids(endpoint).count("left") for endpoint in endpoints) == 1


@pytest.mark.parametrize("is_accepted", [True, False], ids=["open connection", "unaccepted connection"])
async def test_a_request_is_not_forwarded_if_its_time_passed_before_it_was_read(
    tmp_path: Path, listen: str, is_accepted: bool
) -> None:
    """A request's time counts from its arrival: after it, the client has left or will not read the answer."""
    async with Endpoint().serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        async with held_up_client(sidecar, endpoint, is_accepted) as (reader, writer):
            writer.write(request_bytes("look", "expired", left_ms=int(HELD_UP_S * 250)))
            await asyncio.sleep(HELD_UP_S)
        assert (await read_response(reader)).status == 503
        assert "expired" not in trace_ids(endpoint)
        writer.close()


@pytest.mark.parametrize("is_accepted", [True, False], ids=["open connection", "unaccepted connection"])
async def test_an_endpoint_is_told_no_more_time_than_is_left_to_a_request_that_was_read_late(
    tmp_path: Path, listen: str, is_accepted: bool
) -> None:
    """The time that a request lay unread was told to endpoints as if its client still had it."""
    async with Endpoint().serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        async with held_up_client(sidecar, endpoint, is_accepted) as (reader, writer):
            writer.write(request_bytes("once", "late", left_ms=int(REQUEST_S * 1000)))
            sent_s = time.monotonic()
            await asyncio.sleep(HELD_UP_S)
            held_up_s = time.monotonic() - sent_s
        assert (await read_response(reader)).status == 200
        told_s = int(endpoint.requests[-1].headers[b"x-expires-in-ms"]) / 1000
        assert trace_ids(endpoint)[-1] == "late"
        assert told_s <= REQUEST_S - held_up_s + MAX_DEADLINE_EXCESS_S
        writer.close()


async def test_nothing_is_sent_to_an_endpoint_whose_drain_was_unread_for_longer_than_the_grace(
    tmp_path: Path, listen: str
) -> None:
    """Requests that were read together with the notice of a drain were sent before the notice was applied."""
    draining, other = Endpoint(), Endpoint()
    async with (
        draining.serve(),
        other.serve(),
        program(tmp_path, listen, draining, other) as sidecar,
    ):
        clients = [await connect(sidecar, is_accepted=True) for _ in range(8)]
        await warm_up(sidecar, draining, other)
        async with stopped(sidecar.process):
            entry = member("s-0", draining.address, phase="draining")
            sidecar.discovery.send(member_list(2, [entry], complete=False))
            await asyncio.sleep(MAX_DRAIN_NOTICE_S)
            for number, (_, writer) in enumerate(clients):
                writer.write(request_bytes("look", f"late{number}"))
            await asyncio.sleep(HELD_UP_S / 4)
        for reader, writer in clients:
            assert (await read_response(reader)).status == 200
            writer.close()
        assert not [trace_id for trace_id in trace_ids(draining) if trace_id.startswith("late")]


async def test_the_time_to_sigkill_counts_from_a_sigterm_that_was_handled_late(
    tmp_path: Path, listen: str
) -> None:
    """The end of the shutdown counted from the handling, so that SIGKILL found requests without an answer."""

    async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()

    async with Endpoint(hang).serve() as endpoint, program(tmp_path, listen, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once", "open", left_ms=30_000))
        await wait_until(lambda: bool(endpoint.requests))
        async with stopped(sidecar.process):
            sidecar.process.send_signal(signal.SIGTERM)
            terminated_s = time.monotonic()
            await asyncio.sleep(2 * HELD_UP_S)
        async with asyncio.timeout(terminated_s + LONGEST_DEADLINE_S + SIGKILL_MARGIN_S - time.monotonic()):
            await read_response(reader)
        writer.close()
