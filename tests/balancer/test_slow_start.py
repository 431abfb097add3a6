"""Slow start: what endpoints that are warming up are sent."""

from __future__ import annotations

import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.selection.warmup_limiter import WarmupLimiter
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    share,
)


def work_sent_while_warming_up(
    listings: list[api.EndpointListing], warming: set[int], rate_ns: int, length_ns: int = SECOND
) -> float:
    sidecar = Sidecar(listings)
    sidecar.serve(200, latency_ns=rate_ns)
    sidecar.update_endpoints([listed(n, started_ns=sidecar.now) for n in warming])
    end, hits = sidecar.now + length_ns, 0
    while sidecar.now < end:
        for send in sends(sidecar.request()):
            hits += send.endpoint in warming
            sidecar.outcome(send, latency_ns=20 * MS)
        sidecar.now += rate_ns
    return hits / (length_ns / rate_ns)


def test_a_warming_endpoint_gets_no_more_than_its_part() -> None:
    """With more it falls over: at a quarter of its capacity it may get 2.5 times that of a fair share."""
    fair = 1 / 5
    got = work_sent_while_warming_up([listed(n) for n in range(1, 6)], {5}, 5 * MS)
    assert got < 2.5 * 0.5 * fair


def test_a_zone_that_restarted_does_not_draw_all_local_traffic() -> None:
    listings = [listed(n, zone=n % 2) for n in range(1, 9)]
    got = work_sent_while_warming_up(listings, {2, 4, 6, 8}, 5 * MS)
    assert got < 0.5


def test_the_cap_holds_where_the_draw_prefers_the_warming_endpoint() -> None:
    """Beside slow warm endpoints a warming one looks best, and would be overloaded."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100)
    sidecar.update_endpoints([listed(2, started_ns=sidecar.now)])
    chosen = []
    for _ in range(300):
        warm = sidecar.endpoint(1)
        warm.slowdown, warm.slowdown_at = 10.0, sidecar.now
        for send in sends(sidecar.request()):
            chosen.append(send.endpoint)
            sidecar.now += 5 * MS
            sidecar.outcome(send, latency_ns=5 * MS)
    # By the weights alone 0.25 / (0.25 + 0.1) = 0.7; the plan is 0.4 x 2.5 times a fair share of 0.2 to 0.3.
    assert share(chosen, 2) < 0.45


def test_unanswered_requests_do_not_raise_the_cap() -> None:
    """Where far more is sent than is answered, a part of what is sent can overload a warming endpoint."""
    shares = []
    for unanswered in (0, 3):  # for each request that is answered
        sidecar = Sidecar([listed(n) for n in range(1, 5)])
        sidecar.serve(200, latency_ns=10 * MS)
        sidecar.update_endpoints([listed(4, started_ns=sidecar.now)])
        slow_start = sidecar.balancer.selector.slow_start
        for _ in range(60 * unanswered):
            slow_start.record_sent(sidecar.endpoint(1), 10e6, sidecar.balancer.now)
        sidecar.endpoint(4).slow_start_factor = 0.25
        weights = [1.0, 1.0, 1.0, 9.0]
        endpoints = list(sidecar.balancer.endpoints.by_id.values())
        slow_start.cap_weights(endpoints, weights, sidecar.balancer.now)
        assert sum(weights) == pytest.approx(12.0)
        shares.append(weights[3] / 12)
    assert shares[1] < 0.75 * shares[0]


def test_a_fleet_that_warms_up_as_a_whole_is_not_sent_everything() -> None:
    """A cap on a share of the draws has no effect where every endpoint is capped."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)])
    sidecar.serve(100)
    sidecar.update_endpoints([listed(n, started_ns=sidecar.now) for n in range(1, 5)])
    endpoints = list(sidecar.balancer.endpoints.by_id.values())
    for endpoint in endpoints:
        endpoint.slow_start_factor = 0.25
    weights = [1.0, 1.0, 1.0, 1.0]
    nowhere = sidecar.balancer.selector.slow_start.cap_weights(endpoints, weights, sidecar.balancer.now)
    assert nowhere + sum(weights) == pytest.approx(4.0)
    assert nowhere >= 0


def test_a_warming_endpoint_is_sent_in_proportion_to_what_it_answers() -> None:
    """Waiting requests draw again every 20 ms, and a rejected attempt may return to the same endpoint."""
    limiter = WarmupLimiter(Sidecar([listed(1)]).balancer.settings)
    usual_ns = 50.0 * MS
    sent = 0
    now = SECOND
    for _ in range(1500):  # a draw a ms, and nothing answers
        if limiter.allows(now, usual_ns):
            limiter.sent.add(now, usual_ns)
            sent += 1
        now += MS
    assert 1 <= sent <= 6
    for _ in range(2000):  # 20 answers a second
        if now % (50 * MS) == 0:
            limiter.answered.add(now, usual_ns)
        if limiter.allows(now, usual_ns):
            limiter.sent.add(now, usual_ns)
            sent += 1
        now += MS
    assert 40 <= sent <= 40 * limiter.allowance + 10


def test_sidecars_that_send_little_use_a_warming_endpoint_too() -> None:
    """A cap below one request in a window would leave replacements idle until they are warm."""
    hits = 0
    for seed in range(300):
        sidecar = Sidecar([listed(n) for n in range(10)], seed=seed)
        sidecar.serve(5, latency_ns=300 * MS)
        sidecar.update_endpoints([listed(9, started_ns=sidecar.now)])
        sidecar.now += SECOND
        hits += sidecar.serve(3, latency_ns=300 * MS).count(9)
    # Even weights would give 90; at a quarter of its capacity, rising, it should have some 20.
    assert 8 < hits < 45
