"""A real process stays within its memory if its endpoints send large responses slowly or in part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from pathlib import Path

import pytest

from anisespool.codec.http1 import MAX_RESPONSE_BODY_BYTES
from anisespool.config.platform import Address
from anisespool.fakes.endpoint import Endpoint
from tests.harness.client import new_trace_id, request_bytes, send_request
from tests.harness.process_resources import peak_memory_mb
from tests.sidecar.test_hostile_clients import MEMORY_MB, limited_program

REQUESTS = 200
REQUEST_S = 2.0
ANSWER_SLACK_S = 0.5
LARGE_PART_BYTES = MAX_RESPONSE_BODY_BYTES - 1000


def unfinished_length() -> bytes:
    """Return a response that lacks its last bytes."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MAX_RESPONSE_BODY_BYTES
    return head + b"x" * LARGE_PART_BYTES


def unfinished_chunks() -> bytes:
    """Return a response in tiny chunks that lacks its last one."""
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"2\r\nab\r\n" * 50_000


@pytest.mark.parametrize("make_response", [unfinished_length, unfinished_chunks])
async def test_unfinished_responses_do_not_use_up_the_memory(
    tmp_path: Path, listen: str, make_response: Callable[[], bytes]
) -> None:
    """In related code of report 9c876c: each response may be large, and all together had no limit."""
    response = make_response()

    async def respond_in_part(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(response)
        await reader.read()

    async def send() -> int:
        request = request_bytes("look", new_trace_id(), left_ms=int(REQUEST_S * 1000))
        async with asyncio.timeout(REQUEST_S + ANSWER_SLACK_S):
            return (await send_request(Address.parse(listen), request)).status

    async with AsyncExitStack() as stack:
        endpoints = [await stack.enter_async_context(Endpoint(respond_in_part).serve()) for _ in range(8)]
        process = await stack.enter_async_context(limited_program(tmp_path, listen, *endpoints))
        statuses = await asyncio.gather(*(send() for _ in range(REQUESTS)))
        memory_mb = peak_memory_mb(process.pid)
        attempts = sum(len(endpoint.requests) for endpoint in endpoints)
        process.kill()
        with suppress(TimeoutError):
            await asyncio.sleep(0.1)
    assert set(statuses) == {503}
    assert attempts > REQUESTS // 4
    assert memory_mb <= MEMORY_MB
