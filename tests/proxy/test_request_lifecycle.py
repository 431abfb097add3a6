"""Each request gets exactly one final response, whatever the balancer does."""

from __future__ import annotations

from pathlib import Path
from time import monotonic

import pytest

from anisespool.balancer import interface as api
from anisespool.config.platform import parse_endpoint_list
from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member, member_list
from anisespool.proxy.call import Call, FinalResponse
from tests.harness.client import DEADLINE_TOLERANCE_S
from tests.harness.platform_config import write_config
from tests.harness.stalled_endpoint import (
    LONG_BODY,
    LONG_POST,
    Received,
    read_to_end,
    stalled_endpoint,
    unread_bytes,
)
from tests.harness.waiting import wait_until
from tests.proxy.harness import NEVER_RAN, proxy_harness, send_once
from tests.support import MS, SECOND
from tests.upstream.harness import never_respond


async def test_the_proxy_responds_in_time_if_the_balancer_does_not(tmp_path: Path) -> None:
    async with (
        Endpoint(never_respond).serve() as endpoint,
        proxy_harness(tmp_path, endpoint, send_once) as harness,
    ):
        started_s = monotonic()
        harness.start_request(timeout_ns=100 * MS)
        await wait_until(lambda: bool(harness.responses))
        assert harness.responses[0].status == 504
        assert monotonic() - started_s < 0.1 + DEADLINE_TOLERANCE_S
        assert any(isinstance(e, api.ClientDisconnected) for e in harness.balancer.events)
        await wait_until(lambda: endpoint.closed_by_peer == len(endpoint.connections))
        assert not harness.proxy.open_request_count


async def test_an_exception_in_the_balancer_fails_only_one_request(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived | api.AttemptOutcome) and event.request == 1:
            raise RuntimeError("simulated failure")
        return send_once(event)

    async with Endpoint().serve() as endpoint, proxy_harness(tmp_path, endpoint, decide) as harness:
        harness.start_request()
        assert [a.status for a in harness.responses] == [504]
        harness.start_request()
        await wait_until(lambda: len(harness.responses) == 2)
        assert harness.responses[1].status == 200
        assert not harness.proxy.open_request_count
    assert "simulated failure" in capfd.readouterr().err


async def test_actions_after_the_final_response_have_no_effect(tmp_path: Path) -> None:
    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            request = event.request
            return [
                api.Send(request, 1),
                api.Reject(request, 250 * MS),
                api.Fail(request),
                api.Send(request, 1),
                api.Cancel(request, 0),
            ]
        return []

    async with Endpoint().serve() as endpoint, proxy_harness(tmp_path, endpoint, decide) as harness:
        harness.start_request()
        await wait_until(lambda: bool(harness.balancer.outcomes()))
        assert harness.responses == [FinalResponse(503, b"refused\n", 0.25)]
        assert len(harness.balancer.outcomes()) == 1
        assert harness.balancer.outcomes()[0].finished
        assert not harness.proxy.open_request_count


async def test_of_two_attempts_the_first_response_is_sent_and_both_are_reported(
    tmp_path: Path,
) -> None:
    def decide(event: api.Event) -> list[api.Action]:
        if isinstance(event, api.RequestArrived):
            return [api.Send(event.request, 1), api.Send(event.request, 1)]
        return []

    async with Endpoint().serve() as endpoint, proxy_harness(tmp_path, endpoint, decide) as harness:
        harness.start_request()
        await wait_until(lambda: len(harness.balancer.outcomes()) == 2)
        assert harness.responses == [FinalResponse(200, b"ok")]
        assert [o.finished for o in harness.balancer.outcomes()] == [True, True]
        assert sorted(o.attempt for o in harness.balancer.outcomes()) == [0, 1]


async def test_the_rejection_of_an_open_request_counts_as_full(tmp_path: Path) -> None:
    async with (
        Endpoint(NEVER_RAN).serve() as endpoint,
        proxy_harness(tmp_path, endpoint, send_once) as harness,
    ):
        harness.proxy.client_disconnected(harness.start_request())
        harness.start_request()
        await wait_until(lambda: len(harness.balancer.outcomes()) == 2)
        statuses = {o.request: o.status for o in harness.balancer.outcomes()}
        assert statuses[2] is api.AttemptStatus.FULL
        assert not harness.responses


async def test_the_balancer_receives_a_drain_before_the_outcomes_of_attempts_that_it_ends(
    tmp_path: Path,
) -> None:
    async with Endpoint().serve() as endpoint, proxy_harness(tmp_path, endpoint, send_once) as harness:
        harness.start_request()
        raw = member_list(2, [member("s-0", endpoint.address, "draining")], complete=False)
        config = load_platform_config(write_config(tmp_path, endpoint.address, []))
        harness.proxy.update_endpoints(parse_endpoint_list(raw, config.names))
        first, second = harness.balancer.events[-2:]
        assert isinstance(first, api.EndpointListUpdate)
        assert isinstance(second, api.AttemptOutcome)
        assert second.status is api.AttemptStatus.CONNECT_FAILED
        assert not endpoint.requests


async def test_nothing_of_a_request_is_sent_after_its_response_at_the_shutdown(tmp_path: Path) -> None:
    """The response was written before the request's connection was closed."""
    received: list[Received] = []
    async with stalled_endpoint() as (address, accepted):
        endpoint = Endpoint()
        endpoint.address = address
        async with proxy_harness(tmp_path, endpoint, send_once) as harness:

            def read_endpoint(response: FinalResponse) -> None:
                received.append(read_to_end(accepted.result()))  # before the event loop's next turn

            harness.proxy.start_request(
                Call(LONG_POST, 2, 0, SECOND, None, 0, False), read_endpoint, lambda: False
            )
            connection = await accepted
            await wait_until(lambda: unread_bytes(connection) > 0)
            harness.proxy.set_shutdown_deadline(0)
            await wait_until(lambda: bool(received))
        assert received[0].was_reset
        assert len(received[0].data) < len(LONG_BODY)
