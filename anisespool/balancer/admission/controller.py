"""Decides on each request: it is accepted, or shed with a Retry-After.

A request is shed if recent attempts were too slow for their latency objectives (latency_limit.py), or if the
open requests exceed the capacity, the number that can be answered in time. The capacity is what the ordinary
load has shown (offered_capacity.py), plus a share of what the fleet could serve beyond that
(burst_capacity.py).
"""

from random import Random
from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.admission.burst_capacity import BurstCapacity, total_capacity
from anisespool.balancer.admission.latency_limit import LatencyLimit
from anisespool.balancer.admission.load_snapshot import SnapshotCache, SnapshotSource
from anisespool.balancer.admission.offered_capacity import OfferedCapacity
from anisespool.balancer.admission.peak_rate import PeakRate
from anisespool.balancer.admission.queueing_ratio import QueueingRatio
from anisespool.balancer.admission.retry_after import MIN_RATE_REQUESTS, RetryAfterSchedule
from anisespool.balancer.admission.service_rate import QueueingSample, ServiceRate
from anisespool.balancer.admission.tenant_quota import OVER_QUOTA_CAPACITY_SHARE


class AdmissionDecision(NamedTuple):
    """The decision on one request, and the figures behind it."""

    is_shed: bool
    retry_after_ns: int = 0
    """The delay to send as Retry-After; 0: none."""
    open_in_time: int = 0
    """Open requests that are not late; if this one was shed by latency, all open requests."""
    capacity: float = 0.0
    """Open requests that can be answered in time; 0: this one was admitted, or shed by latency."""


ADMITTED = AdmissionDecision(False)


class AdmissionController:
    """Admission control of one sidecar, with the estimates that it is based on; `now` is monotonic ns."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        classes = settings.classes
        self._random = random
        self._objectives_ns = [c.target_ns for c in classes]
        self.objective_ns = min(self._objectives_ns)  # the shortest of all classes
        longest_deadline_ns = max(c.deadline_ns for c in classes)

        self.queueing = QueueingRatio(longest_deadline_ns, self.objective_ns)
        self.latency = LatencyLimit(classes, self.objective_ns)
        self.peak = PeakRate(longest_deadline_ns, self.objective_ns)
        self.service_rate = ServiceRate(longest_deadline_ns, self.latency, self.peak)
        self.offered = OfferedCapacity(self.objective_ns)
        self.burst = BurstCapacity(
            settings.fleet_size, self.objective_ns, self.queueing, self.latency, self.service_rate
        )
        self.snapshots = SnapshotCache(self.objective_ns)
        self.retry_after = RetryAfterSchedule(settings, self.offered.answer_rate, random)

    def record_answer(
        self, now: int, class_index: int, latency_ns: int, in_time: bool, open_now: int, open_before: int
    ) -> None:
        """Update the answer rates and the latency limit with the answer of an attempt that succeeded.

        The answer is `in_time` if it met its latency objective. `open_before` other requests were open
        when its request arrived, and `open_now` are open now.
        """
        if in_time:
            self.offered.answer_rate.add(now)
            self.peak.record_answer(now, open_now, self.queueing.ratio.value, self.latency.limit)
        concurrency = self.snapshots.snapshot.fleet.concurrency
        # Queueing is presumed if `open_before` exceeds half of what the fleet serves at a time.
        has_queued = bool(concurrency) and open_before > concurrency / 2
        self.latency.record_answer(latency_ns, self._objectives_ns[class_index], has_queued)

    def record_latency(self, now: int, sample: QueueingSample) -> None:
        """Update the queueing ratio and the service rate with an attempt that succeeded or timed out."""
        queueing_ratio = self.queueing.update(now, sample.objective_share, sample.smoothing_factor)
        self.service_rate.record(now, sample, queueing_ratio, self.snapshots.snapshot.fleet.concurrency)

    def decide(
        self,
        now: int,
        observed_ns: int,
        time_left_ns: int,
        exceeds_quota: bool,
        open_requests: int,
        source: SnapshotSource,
    ) -> AdmissionDecision:
        """Decide whether a request is shed.

        If more requests were admitted than the capacity, queues would grow until every answer is late.

        Args:
            observed_ns: Time since this sidecar received its first endpoint list.
            time_left_ns: Time until the request's latency objective.
            open_requests: Open requests of this sidecar, this one included.
            source: Called for a new snapshot if the cached one is too old.
        """
        quota_factor = OVER_QUOTA_CAPACITY_SHARE if exceeds_quota else 1.0
        ratio = self.queueing.ratio.read(now)
        limit = self.latency.limit
        may_shed_by_latency = ratio > limit and observed_ns > self.objective_ns
        if may_shed_by_latency and self.latency.should_shed(ratio, quota_factor, self._random):
            return self._shed_by_latency(now, ratio - limit, open_requests)
        answer_rate = self.offered.rate(now, observed_ns)
        offered_capacity = self.offered.capacity(answer_rate, limit) * quota_factor
        if open_requests <= offered_capacity:
            return ADMITTED
        snapshot = self.snapshots.get(now, source)
        # Late requests, such as those at a stalled endpoint, don't count against the capacity.
        open_in_time = open_requests - snapshot.open_requests.late
        if open_in_time <= offered_capacity:
            return ADMITTED
        service_rate = self.service_rate.rate(now, snapshot.fleet.concurrency)
        time_left_ns = min(self.objective_ns, time_left_ns)
        service_capacity = self.burst.service_capacity(
            service_rate, time_left_ns, snapshot.fleet, quota_factor
        )
        headroom = self.burst.headroom(now, snapshot.open_requests, open_in_time, service_rate)
        capacity = total_capacity(offered_capacity, service_capacity, headroom)
        if open_in_time <= capacity:
            return ADMITTED
        return self._shed_by_capacity(now, open_in_time, capacity, max(answer_rate, service_rate))

    def _shed_by_latency(self, now: int, excess_ratio: float, open_requests: int) -> AdmissionDecision:
        excess_ns = excess_ratio * self.objective_ns
        rate = self.offered.answer_rate.read(now)
        return AdmissionDecision(True, self.retry_after.next_delay_ns(now, excess_ns, rate), open_requests)

    def _shed_by_capacity(
        self, now: int, open_in_time: int, capacity: float, rate: float
    ) -> AdmissionDecision:
        """Return a decision to shed; the excess is worked off at `rate`, or `peak.recent_rate` if higher."""
        completion_rate = max(rate, self.peak.recent_rate.read(now), MIN_RATE_REQUESTS)  # per ns, above 0
        excess_ns = (open_in_time - capacity) / completion_rate
        retry_after_ns = self.retry_after.next_delay_ns(
            now, excess_ns, completion_rate, open_in_time / completion_rate
        )
        return AdmissionDecision(True, retry_after_ns, open_in_time, capacity)
