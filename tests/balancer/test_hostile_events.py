"""Extreme or invalid values, failing fleets and unusual settings neither raise nor break a rule."""

from __future__ import annotations

import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, EndpointListKind, Settings
from tests.balancer.test_rules import RandomEventDriver
from tests.support import MS, SECOND, Sidecar, finals, listed, raw_settings, sends, timers


@pytest.mark.parametrize("size", [0, 1, 300])
def test_fleets_of_any_size_do_not_raise(size: int) -> None:
    sidecar = Sidecar([listed(n, started_ns=n % 3 * 99 * SECOND) for n in range(size)])
    for _ in range(30):
        for send in sends(sidecar.request()):
            sidecar.outcome(send, AttemptStatus.RESET)
        sidecar.now += 20 * MS


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0, 3e38])
def test_load_reports_with_any_values_exclude_no_endpoint(value: float) -> None:
    sidecar = Sidecar([listed(1), listed(2)], report__columns=["latency_ms", "queue", "inflight", "qps"])
    for _ in range(50):
        for send in sends(sidecar.request()):
            sidecar.now += 10 * MS
            sidecar.outcome(send, load=(value,) * 4)
    assert set(sidecar.serve(40)) == {1, 2}


def test_a_request_without_time_left_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1)])
    assert len(finals(sidecar.request(left_ns=0))) == 1


def test_an_endpoint_with_a_start_time_in_the_future_is_warming_up() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(50)
    sidecar.update_endpoints([listed(3, started_ns=sidecar.now + 60 * SECOND)])
    assert sidecar.serve(100).count(3) < 30


def test_a_fleet_that_failed_completely_is_used_again_once_it_recovers() -> None:
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    for _ in range(200):
        for send in sends(sidecar.request(cls=2)):
            sidecar.outcome(send, AttemptStatus.ERROR)
        sidecar.now += 20 * MS
    assert len(sidecar.serve(50)) == 50


def test_a_sidecar_with_a_low_request_rate_returns_to_a_failed_endpoint() -> None:
    """One request in two seconds gives few samples, so the effect of a failure has to decay with time."""
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    for _ in range(6):
        for send in sends(sidecar.request(cls=2)):
            sidecar.outcome(send, AttemptStatus.ERROR if send.endpoint == 1 else AttemptStatus.OK)
        sidecar.now += 50 * MS
    chosen = []
    for _ in range(60):
        sidecar.now += 2 * SECOND
        chosen += sidecar.serve(1)
    assert chosen.count(1) > 8


def test_load_reports_decay_with_age() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    for endpoint, queue in zip(sidecar.balancer.endpoints.by_id.values(), (0.0, 40.0), strict=True):
        endpoint.reported_queue = queue
        endpoint.reported_at = sidecar.now
        endpoint.slowdown = 1.0
        endpoint.slowdown_at = sidecar.now
    sidecar.balancer.estimates.loads.mean_queue = 20.0
    idle, busy = sidecar.balancer.endpoints.by_id.values()
    load = sidecar.balancer.estimates.loads.effective_load
    assert load(busy, sidecar.now) > 39 > 1 > load(idle, sidecar.now)
    later = sidecar.now + 20 * SECOND
    assert load(busy, later) / load(idle, later) < 1.2


def test_an_attempt_of_a_streaming_class_has_no_timeout_but_the_deadline() -> None:
    raw = raw_settings()
    raw["request-classes"][0]["stream"] = True
    sidecar = Sidecar([listed(1)])
    sidecar.balancer = type(sidecar.balancer)(Settings.from_dict(raw), 1)
    sidecar.update_endpoints([listed(1)], EndpointListKind.CACHED)
    assert sends(sidecar.request())[0].timeout_ns == 0  # the client's deadline applies


def test_requests_at_stalled_endpoints_keep_timers_and_state_bounded() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(20)
    timers_set = []
    for _ in range(400):
        timers_set += timers(sidecar.request(cls=2))
        sidecar.now += MS
    assert len(timers_set) < 500
    assert len(sidecar.balancer.pending) < 400


@pytest.mark.parametrize("seed", range(6))
def test_the_rules_hold_with_polled_discovery_and_no_load_reports(seed: int) -> None:
    raw = raw_settings(discovery="ask", report__how="silent", report__columns=[], allowed__cancel=False)
    checker = RandomEventDriver(seed, api.Settings.from_dict(raw), 10 * SECOND).run()
    assert checker.requests


@pytest.mark.parametrize("value", [float("nan"), float("inf"), -1.0, 0.0, 3e38])
def test_gossip_with_any_values_does_not_raise(value: float) -> None:
    """Gossip may hold any values: operators choose its transport, which need not bound them."""
    sidecar = Sidecar([listed(1), listed(2)], allowed__peers=True)
    observations = (
        api.EndpointObservation(1, value, value, -(10**18)),
        api.EndpointObservation(7, value, value, 10**18),
    )
    for _ in range(50):
        sidecar.handle(api.GossipReceived(1, value, observations))
        for send in sends(sidecar.request()):
            sidecar.now += 10 * MS
            sidecar.outcome(send)
    # Clamped to a queueing ratio of 1 (all objectives missed), at which requests may be rejected.
    reports_overload = value in (float("inf"), 3e38)
    assert reports_overload or len(sidecar.serve(40)) == 40
