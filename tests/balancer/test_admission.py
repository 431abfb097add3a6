"""Admission control alone: the tests pass in answers, latencies and snapshots."""

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

OBJECTIVE = 700 * MS  # latency objective of all classes in tests/support.py
NOTHING_OPEN = OpenRequests(0, 0.0, 0)


def new_admission(fleet_size: int = 1, **changes: object) -> AdmissionController:
    return AdmissionController(settings(fleet_size=fleet_size, **changes), Random(7))


def record_answers(
    admission: AdmissionController,
    now: int,
    count: int,
    interval_ns: int,
    latency_ns: int,
    open_requests: int = 0,
) -> int:
    """Record `count` answers of one latency, one every `interval_ns`; returns the time of the last."""
    for _ in range(count):
        now += interval_ns
        admission.record_answer(
            now, 0, latency_ns, latency_ns <= OBJECTIVE, open_now=open_requests, open_before=open_requests
        )
        admission.queueing.update(now, min(latency_ns / OBJECTIVE, 1.0), 0.3)
    return now


def capacity(
    admission: AdmissionController,
    now: int,
    fleet: FleetCapacity,
    open_requests: OpenRequests = NOTHING_OPEN,
    time_left_ns: int = OBJECTIVE,
    exceeds_quota: bool = False,
) -> int:
    """Return the largest number of open requests at which a request is admitted."""
    for count in range(1, 5000):
        admission.snapshots.taken_at = -OBJECTIVE  # makes decide() take a new snapshot
        source = partial(LoadSnapshot, fleet, open_requests)
        decision = admission.decide(now, 60 * SECOND, time_left_ns, exceeds_quota, count, source)
        if decision.is_shed:
            return count - 1
    return 5000


IDLE = FleetCapacity(concurrency=10.0, queued_by_others=0.0)


def test_an_idle_fleet_has_capacity_beyond_the_offered_load() -> None:
    """A capacity by the offered load alone rejects a burst that an idle fleet could serve."""
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)  # ten a second: 7 in an objective
    assert capacity(admission, now, IDLE) > 250  # ten endpoints at 20 ms a request can serve 350


def test_long_latencies_lower_the_capacity_within_a_few_answers() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    before = capacity(admission, now, IDLE)
    now = record_answers(admission, now, 6, 10 * MS, 600 * MS)
    assert capacity(admission, now, IDLE) < before / 4


def test_reported_queues_lower_the_capacity() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, FleetCapacity(10.0, 200.0)) < capacity(admission, now, IDLE) - 150
    assert capacity(admission, now, FleetCapacity(10.0, 5000.0)) < 30  # the offered capacity remains


def test_old_open_requests_lower_the_capacity() -> None:
    """A stalled fleet sends no answers, so only the age of open requests shows the stall."""
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, IDLE, OpenRequests(0, 0.9 * OBJECTIVE, now + MS)) < 30


def test_a_lower_concurrency_of_the_fleet_lowers_the_capacity() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(admission, now, FleetCapacity(1.0, 0.0)) < capacity(admission, now, IDLE) / 3


def test_capacity_is_left_for_bursts_of_other_sidecars() -> None:
    alone, one_of_five = new_admission(1), new_admission(5)
    now = record_answers(alone, SECOND, 50, 100 * MS, 20 * MS)
    record_answers(one_of_five, SECOND, 50, 100 * MS, 20 * MS)
    assert capacity(alone, now, IDLE) / 3 < capacity(one_of_five, now, IDLE) < capacity(alone, now, IDLE) / 2


def test_a_peak_reached_without_queueing_may_be_exceeded_by_a_step() -> None:
    admission, small_fleet = new_admission(), FleetCapacity(1.0, 0.0)
    now = record_answers(admission, SECOND, 3000, 2 * MS, 20 * MS)  # 500 a second, without queueing
    assert not admission.peak.is_saturated
    assert 350 < capacity(admission, now, small_fleet) < 700


def test_a_peak_reached_with_queueing_is_not_exceeded() -> None:
    admission, small_fleet = new_admission(), FleetCapacity(1.0, 0.0)
    now = record_answers(admission, SECOND, 3000, 2 * MS, 300 * MS)
    assert admission.peak.is_saturated
    # The fleet is idle again. 500 answers a second are 350 in an objective; deviation and decay take a tenth.
    now = record_answers(admission, now, 30, 100 * MS, 20 * MS)
    assert 150 < capacity(admission, now, small_fleet) < 350


def test_a_lower_peak_is_learned_within_seconds() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 3000, 2 * MS, 300 * MS)
    first_peak = admission.peak.rate.value
    now = record_answers(admission, now, 300, 10 * MS, 650 * MS, 200)  # a fifth of the rate, long latencies
    assert admission.peak.rate.value < first_peak / 3


def test_a_few_answers_close_together_are_no_peak() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 4, 1, 20 * MS)
    assert capacity(admission, now, FleetCapacity(1.0, 0.0)) < 80


def test_a_peak_decays() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    peak = admission.peak.rate.value
    now = record_answers(admission, now + 600 * SECOND, 1, 0, 20 * MS)
    assert admission.peak.rate.read(now) < peak / 100


def test_less_time_left_or_a_tenant_beyond_its_quota_lowers_the_capacity() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    full = capacity(admission, now, IDLE)
    assert capacity(admission, now, IDLE, time_left_ns=OBJECTIVE // 2) < 0.6 * full
    assert capacity(admission, now, IDLE, exceeds_quota=True) < 0.6 * full


def test_only_queueing_beyond_this_sidecars_own_burst_is_external() -> None:
    """If all queueing were, queueing at the start of a burst that fits would get its end rejected."""
    own, others = new_admission(), new_admission()
    for admission, open_before in ((own, 200), (others, 3)):
        now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
        capacity(admission, now, IDLE)
        for step in range(60):
            sample = QueueingSample(0.45, 0.3, OBJECTIVE, open_before)
            admission.record_latency(now + step * MS, sample)  # a latency of 315 ms
        assert capacity(admission, now + 60 * MS, IDLE) > 150 if admission is own else True
    assert own.service_rate.external_queueing_ratio < 0.2 < others.service_rate.external_queueing_ratio
    assert capacity(others, now + 60 * MS, IDLE) < capacity(own, now + 60 * MS, IDLE)


def test_the_service_rate_follows_a_fleet_that_slows_down_and_recovers() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)
    capacity(admission, now, IDLE)
    for step in range(60):
        # The latency is 700 ms, where 220 ms is expected.
        admission.record_latency(now + step * MS, QueueingSample(1.0, 0.3, OBJECTIVE, 100))
    assert admission.service_rate.service_rate_ratio < 0.5
    for step in range(60):
        admission.record_latency(now + step * 10 * MS, QueueingSample(0.05, 0.3, OBJECTIVE, 1))
    assert admission.service_rate.service_rate_ratio > 0.9


def test_late_answers_do_not_raise_the_capacity() -> None:
    admission = new_admission()
    now = SECOND
    for _ in range(500):
        now += 2 * MS
        admission.record_answer(now, 0, 900 * MS, False, open_now=0, open_before=0)
    assert not admission.peak.rate.value
    assert not admission.offered.answer_rate.read(now)


def rejections(admission: AdmissionController, now: int, count: int = 400) -> list[AdmissionDecision]:
    """Decide on `count` requests while 3,000 are open; returns the decisions to shed."""
    open_requests = OpenRequests(0, 0.0, now + SECOND)
    decisions = [
        admission.decide(now, 60 * SECOND, OBJECTIVE, False, 3000, lambda: LoadSnapshot(IDLE, open_requests))
        for _ in range(count)
    ]
    return [d for d in decisions if d.is_shed]


def test_retry_after_is_spread_and_bounded() -> None:
    admission = new_admission()
    now = record_answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    delays = [d.retry_after_ns for d in rejections(admission, now)]
    assert len(delays) == 400
    assert all(0 < d <= SECOND for d in delays)  # the maximum in the settings
    assert max(delays) - min(delays) > 50 * MS


def test_no_retry_after_where_the_settings_forbid_it() -> None:
    admission = new_admission(allowed__retry_after=False)
    now = record_answers(admission, SECOND, 3000, 2 * MS, 20 * MS)
    assert {d.retry_after_ns for d in rejections(admission, now)} == {0}


def test_the_number_of_snapshots_in_a_burst_is_bounded() -> None:
    """A scan of the open requests for each request of a burst takes quadratic time."""
    admission, snapshots = new_admission(), 0
    now = record_answers(admission, SECOND, 50, 100 * MS, 20 * MS)

    def take_snapshot() -> LoadSnapshot:
        nonlocal snapshots
        snapshots += 1
        return LoadSnapshot(IDLE, OpenRequests(0, 0.0, now))  # a request has always just missed its objective

    for count in range(10_000):  # within one objective
        at = now + count * 70_000
        admission.decide(at, 60 * SECOND, OBJECTIVE, False, 100 + count, take_snapshot)
    assert snapshots <= 1024


def test_open_requests_are_summarized() -> None:
    assert summarize_open_requests(100, []) == OpenRequests(0, 0.0, 100)
    times = [RequestTimes(0, 50), RequestTimes(80, 200), RequestTimes(60, 300)]
    assert summarize_open_requests(100, times) == OpenRequests(1, 30.0, 200)
