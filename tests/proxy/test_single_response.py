"""Each request gets at most one response and each attempt one status, in any order of events."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import permutations
from pathlib import Path

import pytest

from anisespool.balancer import interface as api
from anisespool.fakes.endpoint import Endpoint
from anisespool.upstream.cluster import Cluster
from tests.harness.waiting import wait_until
from tests.proxy.harness import ProxyHarness, proxy_harness
from tests.support import MS, SECOND
from tests.upstream.harness import never_respond


def client_disconnected(harness: ProxyHarness, request: int) -> None:
    harness.proxy.client_disconnected(request)


def backstop_expired(harness: ProxyHarness, request: int) -> None:
    """Call the timer's callback: a real timer could not be made to expire between two other events."""
    harness.proxy._backstop_expired(request)


def endpoint_drained(harness: ProxyHarness, request: int) -> None:
    harness.proxy.set_operator_drains(frozenset({"s-0"}))


def shutdown_deadline_passed(harness: ProxyHarness, request: int) -> None:
    harness.proxy.set_shutdown_deadline(0)


def balancer_rejected(harness: ProxyHarness, request: int) -> None:
    harness.apply_action(api.Reject(request))


END_EVENTS: list[Callable[[ProxyHarness, int], None]] = [
    client_disconnected,
    backstop_expired,
    endpoint_drained,
    shutdown_deadline_passed,
    balancer_rejected,
]


def send_twice_and_retry(event: api.Event) -> list[api.Action]:
    """Send two attempts at once, the second with a short timeout, and then retry."""
    if isinstance(event, api.RequestArrived):
        return [api.Send(event.request, 1), api.Send(event.request, 1, 5 * MS)]
    if isinstance(event, api.AttemptOutcome) and event.attempt < 4:
        return [api.Send(event.request, 1)]
    return []


def all_connections_idle(cluster: Cluster) -> bool:
    """Whether no connection is being opened and each open one is idle in its pool."""
    idle = {connection for pool in cluster.pools for connection in pool.idle}
    return not cluster.connecting_count and cluster.connections == idle


async def start_and_end_request(
    harness: ProxyHarness,
    endpoint: Endpoint,
    order: tuple[Callable[[ProxyHarness, int], None], ...],
    is_sent: bool,
) -> None:
    """Start a request and cause the events of `order`, one after the other."""
    before = len(endpoint.requests)
    request = harness.start_request(timeout_ns=SECOND)
    if is_sent:
        await wait_until(lambda: len(endpoint.requests) >= before + 1)
    for cause_event in order:
        cause_event(harness, request)
    await wait_until(lambda: not harness.proxy.open_request_count)


@pytest.mark.parametrize("state", ["waiting", "sent"])
async def test_end_events_in_any_order_give_at_most_one_response_and_one_status_per_attempt(
    tmp_path: Path, state: str
) -> None:
    async with Endpoint(never_respond).serve() as endpoint:
        for order in permutations(END_EVENTS, 3):
            async with proxy_harness(tmp_path, endpoint, send_twice_and_retry) as harness:
                await start_and_end_request(harness, endpoint, order, state == "sent")
                outcomes = [(o.request, o.attempt) for o in harness.balancer.outcomes()]
                assert len(outcomes) == len(set(outcomes)) >= 2, order
                responses = len(harness.responses)
                assert responses <= 1, order
                assert not responses or order[0] is not client_disconnected, order
                assert responses or client_disconnected in order, order
                await wait_until(partial(all_connections_idle, harness.cluster))


@pytest.mark.parametrize(
    ("request_class", "is_sent", "status"),
    [(0, True, 503), (1, True, 504), (2, True, 504), (0, False, 503), (1, False, 503), (2, False, 503)],
)
async def test_the_backstop_rejects_only_requests_whose_retry_is_harmless(
    tmp_path: Path, request_class: int, is_sent: bool, status: int
) -> None:
    def decide(event: api.Event) -> list[api.Action]:
        if is_sent and isinstance(event, api.RequestArrived):
            return [api.Send(event.request, 1)]
        return []

    async with (
        Endpoint(never_respond).serve() as endpoint,
        proxy_harness(tmp_path, endpoint, decide) as harness,
    ):
        harness.start_request(request_class)
        await wait_until(lambda: len(endpoint.requests) == is_sent)
        harness.proxy.set_shutdown_deadline(0)  # the backstop expires at once
        await wait_until(lambda: bool(harness.responses))
        assert [response.status for response in harness.responses] == [status]
