"""Slow start: the share of requests sent to endpoints that are warming up."""

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


def share_sent_to_warming(
    listings: list[api.EndpointListing], warming: set[int], interval_ns: int, duration_ns: int = SECOND
) -> float:
    """Return the share of requests, one every `interval_ns`, sent to `warming` endpoints after they start."""
    sidecar = Sidecar(listings)
    sidecar.serve(200, latency_ns=interval_ns)
    sidecar.update_endpoints([listed(n, started_ns=sidecar.now) for n in warming])
    end, sent_to_warming = sidecar.now + duration_ns, 0
    while sidecar.now < end:
        for send in sends(sidecar.request()):
            sent_to_warming += send.endpoint in warming
            sidecar.outcome(send, latency_ns=20 * MS)
        sidecar.now += interval_ns
    return sent_to_warming / (duration_ns / interval_ns)


def test_a_warming_endpoint_gets_no_more_than_its_capped_share() -> None:
    """The endpoint starts with a quarter of its capacity, and fails at more than 2.5 times its capacity."""
    fair = 1 / 5
    warming_share = share_sent_to_warming([listed(n) for n in range(1, 6)], {5}, 5 * MS)
    # In this second, the capacity rises from 0.25 to 0.33; the bound of 0.5 leaves a margin.
    assert warming_share < 2.5 * 0.5 * fair


def test_a_restarted_zone_does_not_get_all_local_traffic() -> None:
    listings = [listed(n, zone=n % 2) for n in range(1, 9)]
    warming_share = share_sent_to_warming(listings, {2, 4, 6, 8}, 5 * MS)
    assert warming_share < 0.5


def test_the_cap_holds_if_the_warm_endpoints_are_slow() -> None:
    """A warming endpoint then has the highest weight, and would be overloaded."""
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
    # The weights alone would give 0.25 / (0.25 + 0.1) = 0.7.
    # The cap is 0.6 x 2.5 x 1/2 (the share by weight) x 0.25 to 0.36 (the capacity): 0.19 to 0.27.
    assert share(chosen, 2) < 0.45


def test_unanswered_requests_lower_the_cap() -> None:
    """If far more is sent than answered, even a small share of the work sent overloads a warming endpoint."""
    shares = []
    for unanswered in (0, 3):  # unanswered requests per answered request
        sidecar = Sidecar([listed(n) for n in range(1, 5)])
        sidecar.serve(200, latency_ns=10 * MS)
        sidecar.update_endpoints([listed(4, started_ns=sidecar.now)])
        slow_start = sidecar.balancer.selector.slow_start
        for _ in range(60 * unanswered):
            slow_start.record_sent(sidecar.endpoint(1), 10e6, sidecar.balancer.now)
        sidecar.endpoint(4).slow_start_factor = 0.25
        weights = [1.0, 1.0, 1.0, 9.0]
        endpoints = list(sidecar.balancer.endpoints.by_id.values())
        slow_start.cap_in_place(endpoints, weights, sidecar.balancer.now)
        assert sum(weights) == pytest.approx(12.0)
        shares.append(weights[3] / 12)
    assert shares[1] < 0.75 * shares[0]


def test_the_excess_is_the_weight_of_not_sending_if_all_endpoints_warm_up() -> None:
    """A cap on a share of the choices has no effect if every endpoint is capped."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)])
    sidecar.serve(100)
    sidecar.update_endpoints([listed(n, started_ns=sidecar.now) for n in range(1, 5)])
    endpoints = list(sidecar.balancer.endpoints.by_id.values())
    for endpoint in endpoints:
        endpoint.slow_start_factor = 0.25
    weights = [1.0, 1.0, 1.0, 1.0]
    no_send = sidecar.balancer.selector.slow_start.cap_in_place(endpoints, weights, sidecar.balancer.now)
    assert no_send + sum(weights) == pytest.approx(4.0)
    assert no_send >= 0


def test_requests_to_a_warming_endpoint_are_proportional_to_its_answers() -> None:
    """Waiting requests soon repeat the choice (recheck_delay_ns), and a retry may go to the same endpoint."""
    limiter = WarmupLimiter(Sidecar([listed(1)]).balancer.settings)
    expected_ns = 50.0 * MS
    sent = 0
    now = SECOND
    for _ in range(1500):  # one choice per ms, and no answers
        if limiter.allows(now, expected_ns):
            limiter.sent.add(now, expected_ns)
            sent += 1
        now += MS
    assert 1 <= sent <= 6
    for _ in range(2000):  # 2 s with 20 answers a second
        if now % (50 * MS) == 0:
            limiter.completed.add(now, expected_ns)
        if limiter.allows(now, expected_ns):
            limiter.sent.add(now, expected_ns)
            sent += 1
        now += MS
    assert 40 <= sent <= 40 * limiter.allowance + 10


def test_sidecars_with_a_low_request_rate_use_a_warming_endpoint_too() -> None:
    """A cap below one request per window would leave new endpoints idle until they are warm."""
    sent_to_new = 0
    for seed in range(300):
        sidecar = Sidecar([listed(n) for n in range(10)], seed=seed)
        sidecar.serve(5, latency_ns=300 * MS)
        sidecar.update_endpoints([listed(9, started_ns=sidecar.now)])
        sidecar.now += SECOND
        sent_to_new += sidecar.serve(3, latency_ns=300 * MS).count(9)
    # Equal weights would give 90; a new endpoint with a quarter of its capacity, and rising, about 20.
    assert 8 < sent_to_new < 45
