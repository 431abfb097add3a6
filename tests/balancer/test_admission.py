"""Admission alone: answers, latencies and snapshots are passed in by hand."""

from __future__ import annotations

from functools import partial
from random import Random

from anisespool.balancer.admission.controller import AdmissionController, AdmissionDecision
from anisespool.balancer.admission.fleet_capacity import FleetCapacity
from anisespool.balancer.admission.load_snapshot import (
    LoadSnapshot,
    OpenRequests,
    RequestTimes,
    summarize_open_requests,
)
from anisespool.balancer.admission.service_rate import QueueingSample
from tests.support import MS, SECOND, settings

OBJECTIVE = 700 * MS  # of all classes in tests/support.py
NOTHING_OPEN = OpenRequests(0, 0.0, 0)


def new_admission(fleet_size: int = 1, **changes: object) -> AdmissionController:
    return AdmissionController(settings(fleet_size=fleet_size, **changes), Random(7))


def answers(
    admission: AdmissionController, now: int, count: int, gap: int, took: int, open_requests: int = 0
) -> int:
    """Record `count` answers, one every `gap`, of latency `took`; returns the time after the last."""
    for _ in range(count):
        now += gap
        admission.record_answer(
            now, 0, took, took <= OBJECTIVE, open_now=open_requests, open_before=open_requests
        )
        admission.queueing.update(now, min(took / OBJECTIVE, 1.0), 0.3)
    return now


def capacity(
    admission: AdmissionController,
    now: int,
    fleet: FleetCapacity,
    mine: OpenRequests = NOTHING_OPEN,
    left_ns: int = OBJECTIVE,
    excess: bool = False,
) -> int:
    """How many may be open at most."""
    for count in range(1, 5000):
        admission.snapshots.taken_at = -OBJECTIVE  # due for another snapshot
        source = partial(LoadSnapshot, fleet, mine)
        verdict = admission.decide(now, 60 * SECOND, left_ns, excess, count, source)
        if verdict.is_shed:
            return count - 1
    return 5000


IDLE = FleetCapacity(concurrency=10.0, queued_by_others=0.0)


def test_an_idle_fleet_gives_capacity_though_little_was_offered() -> None:
    """A capacity by the offered load alone rejects a burst that an idle fleet could serve."""
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)  # ten a second: 7 in an objective
    assert capacity(admission, now, IDLE) > 250  # ten endpoints that serve one in 20 ms do 350


def test_latencies_lower_the_capacity_within_a_few_answers() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    before = capacity(admission, now, IDLE)
    now = answers(admission, now, 6, 10 * MS, 600 * MS)
    assert capacity(admission, now, IDLE) < before / 4


def test_reported_queues_lower_the_capacity() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, FleetCapacity(10.0, 200.0)) < capacity(admission, now, IDLE) - 150
    assert capacity(admission, now, FleetCapacity(10.0, 5000.0)) < 30  # the ordinary load stays


def test_without_answers_the_capacity_goes() -> None:
    """Where nothing answers any more, no answer shows it."""
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, IDLE, OpenRequests(0, 0.9 * OBJECTIVE, now + MS)) < 30


def test_warming_and_slow_endpoints_count_for_what_they_can_serve() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, FleetCapacity(1.0, 0.0)) < capacity(admission, now, IDLE) / 3


def test_capacity_is_left_for_what_other_sidecars_may_send() -> None:
    alone, five = new_admission(1), new_admission(5)
    now = answers(alone, SECOND, 50, 100 * MS, 20 * MS)
    answers(five, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(alone, now, IDLE) / 3 < capacity(five, now, IDLE) < capacity(alone, now, IDLE) / 2


def test_a_peak_reached_without_queueing_may_be_exceeded_by_a_step() -> None:
    admission, few = new_admission(), FleetCapacity(1.0, 0.0)
    now = answers(admission, SECOND, 3000, 2 * MS, 20 * MS)  # 500 a second, without queueing
    assert not admission.peak.is_saturated
    assert 350 < capacity(admission, now, few) < 700


def test_a_peak_reached_with_queueing_is_a_limit() -> None:
    admission, few = new_admission(), FleetCapacity(1.0, 0.0)
    now = answers(admission, SECOND, 3000, 2 * MS, 300 * MS)
    assert admission.peak.is_saturated
    # Idle again: 350 in an objective at most, less a tenth.
    now = answers(admission, now, 30, 100 * MS, 20 * MS)
    assert 150 < capacity(admission, now, few) < 350


def test_a_lower_peak_is_learned_within_seconds() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 3000, 2 * MS, 300 * MS)
    high = admission.peak.rate.value
    now = answers(admission, now, 300, 10 * MS, 650 * MS, 200)  # a fifth of the rate, at long latencies
    assert admission.peak.rate.value < high / 3


def test_two_quick_answers_are_no_peak() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 4, 1, 20 * MS)
    assert capacity(admission, now, FleetCapacity(1.0, 0.0)) < 80


def test_a_peak_decays() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    peak = admission.peak.rate.value
    now = answers(admission, now + 600 * SECOND, 1, 0, 20 * MS)
    assert admission.peak.rate.read(now) < peak / 100


def test_late_and_excess_requests_have_less_capacity() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    full = capacity(admission, now, IDLE)
    assert capacity(admission, now, IDLE, left_ns=OBJECTIVE // 2) < 0.6 * full
    assert capacity(admission, now, IDLE, excess=True) < 0.6 * full


def test_queueing_behind_an_own_burst_is_explained_and_other_queueing_is_not() -> None:
    """Else the end of a burst that fits would be rejected for the queueing of its beginning."""
    own, others = new_admission(), new_admission()
    for admission, open_before in ((own, 200), (others, 3)):
        now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
        capacity(admission, now, IDLE)
        for step in range(60):
            sample = QueueingSample(0.45, 0.3, OBJECTIVE, open_before)
            admission.record_latency(now + step * MS, sample)  # 315 ms
        assert capacity(admission, now + 60 * MS, IDLE) > 150 if admission is own else True
    assert own.service_rate.external_queueing_ratio < 0.2 < others.service_rate.external_queueing_ratio
    assert capacity(others, now + 60 * MS, IDLE) < capacity(own, now + 60 * MS, IDLE)


def test_the_service_rate_follows_a_fleet_that_slows_down_and_recovers() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    capacity(admission, now, IDLE)
    for step in range(60):
        admission.record_latency(
            now + step * MS, QueueingSample(1.0, 0.3, OBJECTIVE, 100)
        )  # 700 ms in place of 220
    assert admission.service_rate.service_rate_ratio < 0.5
    for step in range(60):
        admission.record_latency(now + step * 10 * MS, QueueingSample(0.05, 0.3, OBJECTIVE, 1))
    assert admission.service_rate.service_rate_ratio > 0.9


def test_late_answers_are_no_capacity() -> None:
    admission = new_admission()
    now = SECOND
    for _ in range(500):
        now += 2 * MS
        admission.record_answer(now, 0, 900 * MS, False, open_now=0, open_before=0)
    assert not admission.peak.rate.value
    assert not admission.offered.answer_rate.read(now)


def rejected(admission: AdmissionController, now: int, count: int = 400) -> list[AdmissionDecision]:
    full = OpenRequests(0, 0.0, now + SECOND)
    verdicts = [
        admission.decide(now, 60 * SECOND, OBJECTIVE, False, 3000, lambda: LoadSnapshot(IDLE, full))
        for _ in range(count)
    ]
    return [v for v in verdicts if v.is_shed]


def test_retry_after_is_spread_and_bounded() -> None:
    admission = new_admission()
    now = answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    times = [v.retry_after_ns for v in rejected(admission, now)]
    assert len(times) == 400
    assert all(0 < t <= SECOND for t in times)  # the settings' most
    assert max(times) - min(times) > 50 * MS  # spread out


def test_no_retry_after_where_the_settings_forbid_it() -> None:
    admission = new_admission(allowed__retry_after=False)
    now = answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    assert {v.retry_after_ns for v in rejected(admission, now)} == {0}


def test_open_requests_are_walked_seldom() -> None:
    """A walk over the open requests for each request of a burst is quadratic."""
    admission, snapshots = new_admission(), 0
    now = answers(admission, SECOND, 50, 100 * MS, 20 * MS)

    def take_snapshot() -> LoadSnapshot:
        nonlocal snapshots
        snapshots += 1
        return LoadSnapshot(IDLE, OpenRequests(0, 0.0, now))  # one always just misses its objective

    for count in range(10_000):  # within one objective
        at = now + count * 70_000
        admission.decide(at, 60 * SECOND, OBJECTIVE, False, 100 + count, take_snapshot)
    assert snapshots <= 1024


def test_open_requests_are_summarized() -> None:
    assert summarize_open_requests(100, []) == OpenRequests(0, 0.0, 100)
    times = [RequestTimes(0, 50), RequestTimes(80, 200), RequestTimes(60, 300)]
    assert summarize_open_requests(100, times) == OpenRequests(1, 30.0, 200)
