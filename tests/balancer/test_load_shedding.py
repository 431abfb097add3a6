"""Load shedding by the whole decision module: overload, tenants, sidecars with few requests."""

from __future__ import annotations

import random
from typing import Any

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    finals,
    listed,
    sends,
)


def test_a_client_retry_past_its_objective_is_rejected_at_once() -> None:
    """Otherwise, in an overload, most work goes to retries whose objective has passed.

    The client usually gives an attempt 1.2 s of its deadline of 2 s. An attempt with 0.9 s left has waited
    1.1 s, past the objective of 0.7 s.
    """
    sidecar = Sidecar([listed(1), listed(2)])
    for _ in range(5):
        [send] = sends(sidecar.request(2, left_ns=1200 * MS))
        sidecar.outcome(send)
    assert [type(a) for a in sidecar.request(2, left_ns=900 * MS)] == [api.Reject]
    [send] = sends(sidecar.request(2, left_ns=1200 * MS))
    assert send.timeout_ns == 700 * MS
    # This one has waited 0.5 s: 0.2 s of the objective remain.
    [send] = sends(sidecar.request(2, left_ns=1500 * MS))
    assert send.timeout_ns == 200 * MS


def test_a_wait_in_the_sidecar_is_not_taken_for_a_client_retry() -> None:
    """Beside load a first attempt that had waited 10 ms counted as a retry of 0.8 s, and was rejected."""
    sidecar = Sidecar([listed(1), listed(2)])
    for _ in range(5):
        [send] = sends(sidecar.request(2, left_ns=1200 * MS))
        sidecar.outcome(send)
    [send] = sends(sidecar.request(2, left_ns=1190 * MS, queued_ns=10 * MS))
    assert send.timeout_ns == 690 * MS


def test_clients_with_varying_timeouts_are_not_taken_for_retries() -> None:
    """A third of the first attempts at an idle site was rejected when they were taken for retries."""
    sidecar = Sidecar([listed(1), listed(2)])
    for number in range(40):
        [send] = sends(sidecar.request(2, left_ns=(800 + 391 * number % 1000) * MS))
        sidecar.outcome(send)


def test_open_requests_beyond_what_can_be_answered_in_time_are_rejected() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(100, latency_ns=100 * MS)  # 10 a second: about 7 can be answered in 0.7 s
    rejections = [finals(sidecar.request()) for _ in range(30)]
    assert not any(rejections[:2])
    # Two endpoints that serve one request at a time can answer 14; the capacity is a step beyond the peak.
    assert all(rejections[20:])


def rejected_share_at_steady_load(
    latency_ns: int, interval_ns: int, seconds: int = 20, **changes: Any
) -> float:
    """Return the share rejected in the second half of a run in which every answer takes `latency_ns`."""
    sidecar = Sidecar([listed(n) for n in range(1, 5)], **changes)
    in_flight: list[tuple[int, api.Send]] = []
    half, end = sidecar.now + seconds * SECOND // 2, sidecar.now + seconds * SECOND
    offered = rejected = 0
    while sidecar.now < end:
        while in_flight and in_flight[0][0] <= sidecar.now:
            sidecar.outcome(in_flight.pop(0)[1], latency_ns=latency_ns)
        actions = sidecar.request()
        in_flight += [(sidecar.now + latency_ns, send) for send in sends(actions)]
        offered += sidecar.now > half
        rejected += sidecar.now > half and bool(finals(actions))
        sidecar.now += interval_ns
    return rejected / offered


def test_idle_latency_near_the_objective_does_not_lower_the_capacity() -> None:
    """If idle answers take more than half the objective, a limit of half leaves almost no capacity."""
    assert rejected_share_at_steady_load(600 * MS, 10 * MS, allowed__may_duplicate=False) < 0.02


def test_a_sidecar_with_few_requests_does_not_reject_for_lack_of_samples() -> None:
    assert rejected_share_at_steady_load(300 * MS, 900 * MS) == 0


def test_requests_past_their_objective_take_no_capacity() -> None:
    """Attempts at a stalled endpoint must not use up the capacity while other endpoints are idle."""
    late = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "late-worth": 0.5}]
    sidecar = Sidecar([listed(1), listed(2)], request_classes=late)
    sidecar.serve(200, latency_ns=100 * MS)
    is_sent = [bool(sends(sidecar.request())) for _ in range(30)]
    assert not is_sent[-1]  # the capacity is used up
    sidecar.now += 699 * MS
    assert finals(sidecar.request())
    sidecar.now += 2 * MS
    assert sends(sidecar.request())


def test_a_new_sidecar_does_not_reject_for_lack_of_a_known_rate() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    assert not any(finals(sidecar.request()) for _ in range(30))


def test_a_tenant_beyond_its_share_is_rejected_more_often_than_others() -> None:
    """The excess of one tenant must not use the capacity of all others."""
    tenants = [{"share": 0.5, "quota-per-s": 9.0}, {"share": 0.5, "quota-per-s": 9.0}]
    sidecar = Sidecar([listed(1), listed(2)], tenants=tenants, over_share_worth=0.1)
    rng, in_flight = random.Random(2), []
    offered, rejected = [0, 0], [0, 0]
    for _ in range(3000):
        tenant = int(rng.random() < 0.2)  # tenant 0 sends four times as much as tenant 1
        actions = sidecar.request(tenant=tenant)
        offered[tenant] += 1
        rejected[tenant] += bool(finals(actions))
        in_flight += sends(actions)
        sidecar.now += 10 * MS
        if len(in_flight) > 3 and rng.random() < 0.4:  # far fewer are answered than offered
            sidecar.outcome(in_flight.pop(0), latency_ns=300 * MS)
    assert rejected[0] / offered[0] > 1.2 * rejected[1] / offered[1]


def test_a_sidecar_with_few_requests_sheds_load_by_latency_and_recovers() -> None:
    """The capacity for open requests is never reached at one request a second."""
    sidecar = Sidecar([listed(n) for n in range(4)])
    for _ in range(20):
        for send in sends(sidecar.request()):
            sidecar.outcome(send, AttemptStatus.TIMEOUT, latency_ns=700 * MS, finished=True)
        sidecar.now += SECOND
    rejected = sum(bool(finals(sidecar.request())) for _ in range(200))
    assert 100 < rejected < 200
    sidecar.now += 60 * SECOND
    for send in sends(sidecar.request()):
        sidecar.outcome(send)
    assert not finals(sidecar.request())


def test_one_bad_endpoint_among_others_is_no_overload() -> None:
    sidecar, rejected = Sidecar([listed(n) for n in range(8)]), 0
    for _ in range(400):
        actions = sidecar.request()
        rejected += len(finals(actions))
        for send in sends(actions):
            is_bad = send.endpoint == 0
            sidecar.now += 100 * MS
            status = AttemptStatus.TIMEOUT if is_bad else AttemptStatus.OK
            sidecar.outcome(send, status, latency_ns=700 * MS if is_bad else 60 * MS, finished=True)
    assert rejected < 8


def test_idle_answers_near_the_objective_are_no_overload() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=600 * MS)
    assert sum(len(finals(sidecar.request())) for _ in range(3)) == 0
