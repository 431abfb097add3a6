"""What connections hold in memory is limited for each of them and for all of them together."""

from __future__ import annotations

import asyncio
from pathlib import Path

from anisespool.buffer_budget import MIN_LIMIT_BYTES, RESERVED_BYTES, BufferBudget, BufferHolder
from anisespool.codec.http1 import Request
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.http1 import read_response
from anisespool.listener.pipeline import MAX_PIPELINE_BYTES, PipelinedRequest, RequestPipeline
from anisespool.listener.server import Server
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.proxy.harness import respond_after

PARTIAL_BYTES = 40_000


def pipelined(body_bytes: int) -> PipelinedRequest:
    return PipelinedRequest.of(Request(b"POST", b"/once/1", {}, b"x" * body_bytes, True), 0)


def no_timeout(request: Request) -> None:
    """Return that the client of a request waits for any time."""


def test_the_budget_is_a_part_of_the_memory_beyond_what_is_reserved() -> None:
    assert BufferBudget.for_memory(RESERVED_BYTES + 30_000_000).limit_bytes == 10_000_000
    assert BufferBudget.for_memory(1).limit_bytes == MIN_LIMIT_BYTES


def test_holders_add_up_and_give_back() -> None:
    budget = BufferBudget(100)
    holders = [BufferHolder(budget) for _ in range(3)]
    for holder in holders:
        holder.hold(40)
    assert budget.is_exceeded
    holders[0].hold(0)
    assert (budget.used_bytes, budget.is_exceeded, budget.is_tight) == (80, False, True)


def test_requests_beyond_the_limit_of_a_connection_are_counted_and_come_last() -> None:
    pipeline = RequestPipeline(BufferBudget(100 * MAX_PIPELINE_BYTES), no_timeout)
    for _ in range(3):
        pipeline.append(pipelined(MAX_PIPELINE_BYTES // 4))
    pipeline.append(pipelined(0))  # would fit, but an earlier one did not
    assert (len(pipeline), pipeline.rejected_count) == (4, 3)
    assert [pipeline.pop() is None for _ in range(4)] == [False, True, True, True]
    assert (len(pipeline), pipeline.size_bytes) == (0, 0)


def test_only_the_first_request_of_a_connection_is_kept_where_the_budget_is_used_up() -> None:
    budget = BufferBudget(100)
    budget.used_bytes = 100
    pipeline = RequestPipeline(budget, no_timeout)
    for _ in range(2):
        pipeline.append(pipelined(1000))
    assert (len(pipeline), pipeline.rejected_count) == (2, 1)


async def test_the_partial_request_without_progress_for_longest_is_given_up(
    tmp_path: Path, servers: list[Server]
) -> None:
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        budget = servers[0].budget
        budget.limit_bytes = 3 * PARTIAL_BYTES
        clients = []
        for number in range(4):
            reader, writer = await asyncio.open_connection(*sidecar.address)
            request = request_bytes("once", f"t{number}", body=b"x" * (PARTIAL_BYTES + 1))
            writer.write(request[:-1])
            await wait_until(
                lambda n=number: budget.used_bytes > min(n + 1, 2) * PARTIAL_BYTES  # type: ignore[misc]
            )
            clients.append((reader, writer))
        assert [(await read_response(reader)).status for reader, _ in clients[:2]] == [503, 503]
        assert budget.used_bytes <= budget.limit_bytes
        clients[3][1].write(b"x")
        assert (await read_response(clients[3][0])).status == 200
        for _, writer in clients:
            writer.close()
        await wait_until(lambda: budget.used_bytes == 0)


async def test_a_large_request_is_rejected_and_a_small_one_served_where_open_ones_use_up_the_budget(
    tmp_path: Path, servers: list[Server]
) -> None:
    async with (
        Endpoint(respond_after(0.3)).serve() as endpoint,
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        servers[0].budget.limit_bytes = 3 * PARTIAL_BYTES
        large = request_bytes("once", "t0", body=b"x" * PARTIAL_BYTES)
        first = asyncio.create_task(send_request(sidecar.address, large))
        await wait_until(lambda: len(endpoint.requests) == 1)
        second = await send_request(sidecar.address, large.replace(b"t0", b"t1"))
        assert (second.status, second.body) == (503, b"out of memory\n")
        assert (await send_request(sidecar.address, request_bytes("once", "t2"))).status == 200
        assert (await first).status == 200
        assert len(endpoint.requests) == 2
