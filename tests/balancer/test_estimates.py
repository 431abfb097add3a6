"""Estimates of endpoints: failures, stalls, restarts, machine groups, work hints, concurrency."""

from __future__ import annotations

import random

import pytest

from anisespool.balancer.interface import AttemptStatus
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    finals,
    listed,
    sends,
    share,
)


@pytest.mark.parametrize(
    "status", [AttemptStatus.ERROR, AttemptStatus.RESET, AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED]
)
def test_fast_failures_lower_an_endpoints_weight_temporarily(status: AttemptStatus) -> None:
    """If fast failures counted as fast answers, a failing endpoint would attract all traffic."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])

    def share_of_first(requests: int, is_failing: bool) -> float:
        """Serve requests, which fail at endpoint 1 if `is_failing`; returns its share of them."""
        chosen = []
        for _ in range(requests):
            [send] = sends(sidecar.request(cls=2))
            chosen.append(send.endpoint)
            sidecar.now += 20 * MS
            if is_failing and send.endpoint == 1:
                for retry in sends(sidecar.outcome(send, status, latency_ns=MS)):
                    sidecar.outcome(retry, attempt=1, latency_ns=40 * MS)
                sidecar.now += 20 * MS
            else:
                sidecar.outcome(send, latency_ns=40 * MS)
        return share(chosen, 1)

    share_of_first(100, is_failing=False)
    assert share_of_first(300, is_failing=True) < 0.1
    sidecar.now += 30 * SECOND
    share_of_first(100, is_failing=False)
    assert share_of_first(300, is_failing=False) > 0.1


def test_a_stalled_endpoint_loses_its_share_before_any_attempt_times_out() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    sidecar.serve(100)
    chosen = []
    for number in range(100):
        for send in sends(sidecar.request(cls=2)):
            if number >= 50:
                chosen.append(send.endpoint)
            sidecar.now += 10 * MS
            if send.endpoint != 1:
                sidecar.outcome(send, latency_ns=10 * MS)
    assert share(chosen, 1) < 0.08


def test_a_restarted_endpoint_starts_without_samples() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(20)
    sidecar.update_endpoints([listed(1, started_ns=sidecar.now)])
    assert not sidecar.endpoint(1).slowdown_at
    assert sidecar.endpoint(2).slowdown_at


def test_an_endpoint_that_fails_one_class_loses_requests_of_that_class_only() -> None:
    """The classes that it serves well must not hide the one that times out."""
    sidecar = Sidecar([listed(n) for n in range(1, 6)])
    chosen: dict[int, list[int]] = {0: [], 2: []}
    for number in range(600):
        cls = 2 * (number % 2)
        for send in sends(sidecar.request(cls)):
            times_out = cls == 2 and send.endpoint == 1
            if number >= 100:
                chosen[cls].append(send.endpoint)
            sidecar.now += 40 * MS
            sidecar.outcome(
                send,
                AttemptStatus.TIMEOUT if times_out else AttemptStatus.OK,
                latency_ns=40 * MS,
                finished=True,
            )
    assert share(chosen[2], 1) < 0.1
    assert share(chosen[0], 1) > 0.12


def test_a_heavy_tail_of_hints_does_not_get_other_requests_rejected() -> None:
    """A mean hint that included rejected requests would drift from the mean latency of answered ones."""
    sidecar = Sidecar([listed(1), listed(2)])
    rng = random.Random(4)
    rejected = 0
    for number in range(600):
        is_heavy = number > 100 and rng.random() < 0.05
        actions = sidecar.request(work_hint_ns=(3000 if is_heavy else 100) * MS)
        rejected += not is_heavy and bool(finals(actions))
        for send in sends(actions):
            sidecar.now += 120 * MS
            sidecar.outcome(send, latency_ns=120 * MS)
    assert rejected == 0


def test_an_overdue_attempt_counts_as_a_sample() -> None:
    sidecar = Sidecar([listed(1)])
    sidecar.serve(30)
    sidecar.request(cls=2)
    typical_ns = sidecar.balancer.estimates.class_latencies.typical_latency_ns[2]
    sidecar.balancer.now += int(8 * typical_ns)
    assert sidecar.balancer.estimates.slowdowns.slowdown(
        sidecar.endpoint(1), sidecar.balancer.now
    ) == pytest.approx(8, rel=0.01)


def test_an_endpoint_without_samples_takes_its_machine_groups_mean() -> None:
    """In a large fleet, most endpoints have no samples; slow ones must not get the weight of fast ones."""
    fast = [listed(n, machine_type=0) for n in range(20)]
    slow = [listed(n, machine_type=1) for n in range(20, 40)]
    sidecar = Sidecar([*fast, *slow], seed=3)
    for _ in range(60):
        for send in sends(sidecar.request()):
            latency_ns = 50 * MS if send.endpoint < 20 else 200 * MS
            sidecar.now += latency_ns
            sidecar.outcome(send, latency_ns=latency_ns)
    sidecar.update_endpoints([listed(98, machine_type=0), listed(99, machine_type=1)])
    new_fast, new_slow = sidecar.endpoint(98), sidecar.endpoint(99)
    slowdown = sidecar.balancer.estimates.slowdowns.slowdown
    assert slowdown(new_slow, sidecar.now) > 1.5 * slowdown(new_fast, sidecar.now)


@pytest.mark.parametrize(("latency_ns", "expected"), [(90 * MS, 4.5), (300 * MS, 1.0)])
def test_an_answer_that_did_not_queue_shows_the_concurrency(latency_ns: int, expected: float) -> None:
    """An answer within two uncontended latencies was served along with all eight in flight.

    The estimate moves halfway from 1 to 8.
    """
    sidecar = Sidecar([listed(1)])
    sidecar.serve(30, latency_ns=50 * MS)
    estimator = sidecar.balancer.estimates.concurrency
    estimator.record_answer(sidecar.endpoint(1), 0, latency_ns, in_flight=8)
    assert sidecar.endpoint(1).observed_concurrency == expected


def test_a_load_report_of_a_busy_endpoint_shows_the_concurrency() -> None:
    sidecar = Sidecar([listed(1)], report={"columns": ["queue", "inflight"], "how": "piggyback"})
    [send] = sends(sidecar.request())
    sidecar.outcome(send, load=(4.0, 10.0))
    assert sidecar.endpoint(1).reported_concurrency == 6.0
