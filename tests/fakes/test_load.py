"""The load generator's clients and the counting endpoint, without a sidecar between them."""

from __future__ import annotations

import asyncio
import time

import pytest

from anisespool.fakes import http1
from anisespool.fakes.clients import Client, ClientLog, ClientOutcome, ClientRequest
from anisespool.fakes.endpoint import CountingEndpoint, EndpointFaults
from anisespool.fakes.platform import REQUEST_CLASSES
from anisespool.fakes.rule_checker import check_rules

RATE_PER_S = 200.0
DURATION_S = 0.2


async def run_client(endpoint: CountingEndpoint, seed: int = 1) -> ClientLog:
    """Return the log of one client that sends to a listening endpoint."""
    log = ClientLog()
    client = Client(endpoint.address, log, seed, "c")
    await client.run(RATE_PER_S, time.monotonic() + DURATION_S)
    return log


async def test_every_request_is_served_and_executed_once() -> None:
    async with CountingEndpoint("e", service_s=0.001).serve() as endpoint:
        log = await run_client(endpoint)
        assert len(log.requests) > 10
        assert {request.outcome for request in log.requests} == {ClientOutcome.SERVED}
        assert set(endpoint.log.executions_by_trace_id().values()) == {1}
        assert len(endpoint.log.arrivals_s) == len(log.requests)
        assert all(verdict.kept for verdict in check_rules(log.requests, [endpoint], [], []))
        assert sum(counts["served"] for counts in log.outcomes_by_class().values()) == len(log.requests)
        assert set(log.outcomes_by_class()) == {row.name for row in REQUEST_CLASSES}


@pytest.mark.parametrize(
    ("faults", "expected", "executed"),
    [
        (EndpointFaults(reject_every_nth=1), ClientOutcome.REJECTED, False),
        (EndpointFaults(error_every_nth=1), ClientOutcome.FAILED, True),
        (EndpointFaults(reset_every_nth=1), ClientOutcome.FAILED, True),
    ],
)
async def test_faults_are_injected_and_counted(
    faults: EndpointFaults, expected: ClientOutcome, executed: bool
) -> None:
    async with CountingEndpoint("e", service_s=0.001).serve() as endpoint:
        endpoint.faults = faults
        log = await run_client(endpoint)
        assert {request.outcome for request in log.requests} == {expected}
        assert bool(endpoint.log.executions) == executed


async def test_each_nth_request_is_rejected() -> None:
    async with CountingEndpoint("e", service_s=0.001).serve() as endpoint:
        endpoint.faults.reject_every_nth = 3
        log = await run_client(endpoint)
        rejected = sum(request.outcome is ClientOutcome.REJECTED for request in log.requests)
        assert rejected == len(endpoint.log.arrivals_s) // 3 > 0


async def test_an_endpoint_queues_and_rejects_requests_beyond_its_slots_and_reports_its_load() -> None:
    async with CountingEndpoint("e", slots=1, service_s=0.1, max_queued=1).serve() as endpoint:
        responses = []
        writers = []  # an unreferenced one would be closed
        for _ in range(3):
            reader, writer = await asyncio.open_connection(*endpoint.address)
            writers.append(writer)
            writer.write(b"GET /token-lookup/1 HTTP/1.1\r\nX-Trace-Id: t\r\n\r\n")
            responses.append(asyncio.create_task(http1.read_response(reader)))
            await asyncio.sleep(0.02)
        executed, queued, rejected = await asyncio.gather(*responses)
        assert (executed.status, queued.status, rejected.status) == (200, 200, 503)
        assert rejected.headers[b"x-never-ran"] == b"1"
        assert rejected.headers[b"endpoint-load-metrics"] == b"TEXT inflight=1, queue=1"
        assert len(endpoint.log.executions) == 2
        for writer in writers:
            writer.close()


def test_capacity_grows_during_the_slow_start() -> None:
    endpoint = CountingEndpoint("e", slots=4, service_s=0.1, slow_start_s=10.0)
    endpoint.started_s = 100.0
    capacities = [endpoint.capacity_per_s(at_s) for at_s in (90.0, 100.0, 105.0, 110.0, 200.0)]
    assert capacities == pytest.approx([6.0, 6.0, 23.0, 40.0, 40.0])


async def test_a_killed_endpoint_resets_connections_and_refuses_new_ones() -> None:
    endpoint = CountingEndpoint("e")
    await endpoint.start()
    address = endpoint.address
    reader, writer = await asyncio.open_connection(*address)
    while not endpoint.connections:
        await asyncio.sleep(0.001)
    endpoint.kill()
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
    with pytest.raises(ConnectionRefusedError):
        await asyncio.open_connection(*address)
    await endpoint.start(address.port)
    assert endpoint.address == address
    endpoint.stop()


@pytest.mark.parametrize(
    ("status", "expected"),
    [(200, "served"), (429, "refused"), (503, "refused"), (502, "failed"), (0, "failed")],
)
def test_the_outcome_follows_from_the_status(status: int, expected: str) -> None:
    assert ClientRequest("t", "send-one", 0.0, status=status).outcome == expected
