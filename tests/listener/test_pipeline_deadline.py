"""Responses go out in order, so that a request is answered before one behind it on its connection is lost."""

from __future__ import annotations

import asyncio
import math
from pathlib import Path

import pytest

from anisespool.buffer_budget import BufferBudget
from anisespool.codec.http1 import Request
from anisespool.fakes.http1 import read_response
from anisespool.listener.pipeline import LATE_RESPONSE_NS, PipelinedRequest, RequestPipeline
from tests.harness.client import request_bytes
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.listener.harness import BlockedEndpoint
from tests.support import MS, SECOND

ARRIVED_AT = 100 * SECOND
LONG_TIMEOUT_MS = 60_000
RESPONSES_TIMEOUT_S = 10.0  # far less than the long timeout


def timeout_ns_of(request: Request) -> int | None:
    """Return the timeout that the target of a request names, in ms."""
    return int(request.target) * MS if request.target else None


def pipelined(timeout_ms: int | None) -> PipelinedRequest:
    target = b"" if timeout_ms is None else b"%d" % timeout_ms
    return PipelinedRequest.of(Request(b"GET", target, {}, b"", True), ARRIVED_AT)


def due_after_ms(pipeline: RequestPipeline) -> float:
    """Return after how many ms all responses are due, not counting the time by which they may be late."""
    return (pipeline.responses_due_at() - ARRIVED_AT - LATE_RESPONSE_NS) / MS


@pytest.mark.parametrize(
    ("timeouts_ms", "due_ms"),
    [
        ([900, 700, 800], [700, 700, 800, math.inf]),
        ([100, 200, 300], [100, 200, 300, math.inf]),
        ([300, 300, None], [300, 300, math.inf, math.inf]),
        ([None, 50, None, 40, 60], [40, 40, 40, 40, 60, math.inf]),
    ],
)
@pytest.mark.parametrize("looks_at_each", [True, False])
def test_the_shortest_timeout_of_those_that_wait_counts(
    timeouts_ms: list[int | None], due_ms: list[float], looks_at_each: bool
) -> None:
    pipeline = RequestPipeline(BufferBudget(1_000_000), timeout_ns_of)
    for timeout_ms in timeouts_ms:
        pipeline.append(pipelined(timeout_ms))
        if looks_at_each:
            pipeline.responses_due_at()
    seen_ms = [due_after_ms(pipeline)]
    while pipeline:
        pipeline.pop()
        seen_ms.append(due_after_ms(pipeline))
    assert seen_ms == due_ms


def test_requests_taken_before_a_look_and_after_a_clear_do_not_count() -> None:
    pipeline = RequestPipeline(BufferBudget(1_000_000), timeout_ns_of)
    for timeout_ms in (10, 20, 30):
        pipeline.append(pipelined(timeout_ms))
    pipeline.pop()
    assert due_after_ms(pipeline) == 20
    pipeline.clear()
    assert pipeline.responses_due_at() == math.inf
    pipeline.append(pipelined(40))
    assert due_after_ms(pipeline) == 40


def test_requests_that_are_not_kept_count_until_they_are_answered() -> None:
    budget = BufferBudget(0)
    budget.used_bytes = 1
    pipeline = RequestPipeline(budget, timeout_ns_of)
    for timeout_ms in (900, 500, 700):
        pipeline.append(pipelined(timeout_ms))
    assert (pipeline.rejected_count, due_after_ms(pipeline)) == (2, 500)
    for _ in range(3):
        pipeline.pop()
    assert pipeline.responses_due_at() == math.inf


@pytest.mark.parametrize("is_sent_later", [False, True], ids=["in one write", "while the first is open"])
async def test_a_request_behind_one_with_a_longer_timeout_is_answered_before_it_is_lost(
    tmp_path: Path, is_sent_later: bool
) -> None:
    """Behind a request that its endpoint answered late, one with less time was answered seconds too late."""
    endpoint = BlockedEndpoint()
    async with endpoint.serve(), running_sidecar(tmp_path, endpoint) as sidecar:
        reader, writer = await asyncio.open_connection(*sidecar.address)
        writer.write(request_bytes("once", "t1", LONG_TIMEOUT_MS))
        if is_sent_later:
            await wait_until(lambda: len(endpoint.requests) == 1)
        writer.write(request_bytes("once", "t2", 100) + request_bytes("once", "t3", LONG_TIMEOUT_MS))
        async with asyncio.timeout(RESPONSES_TIMEOUT_S):
            # The first one may have been executed, the second one has not been sent.
            assert [(await read_response(reader)).status for _ in range(2)] == [504, 503]
        await wait_until(lambda: len(endpoint.requests) == 2)
        endpoint.may_respond.set()
        assert (await read_response(reader)).status == 200  # has its own time
        writer.close()
