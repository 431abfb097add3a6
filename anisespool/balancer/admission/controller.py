"""Is this request accepted, or shed with which Retry-After?

Two rules, each enough to shed: recent attempts took too much of their latency objectives (latency_limit.py),
or more requests are open than can be answered in time. That capacity is what the ordinary load has shown
(offered_capacity.py), and beyond it a part of what the fleet could serve (burst_capacity.py).
"""

from random import Random
from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.admission.burst_capacity import BurstCapacity, CapacityEstimate
from anisespool.balancer.admission.latency_limit import LatencyLimit
from anisespool.balancer.admission.load_snapshot import SnapshotCache, SnapshotSource
from anisespool.balancer.admission.offered_capacity import OfferedCapacity
from anisespool.balancer.admission.peak_rate import PeakRate
from anisespool.balancer.admission.queueing_ratio import QueueingRatio
from anisespool.balancer.admission.retry_after import MIN_RATE_REQUESTS, Backlog, RetryAfterSchedule
from anisespool.balancer.admission.service_rate import QueueingSample, ServiceRate
from anisespool.balancer.admission.tenant_quota import OVER_QUOTA_CAPACITY_SHARE


class AdmissionRequest(NamedTuple):
    """A new request, as admission weighs it."""

    since_first_list_ns: int
    """Time since this sidecar had its first endpoint list: what it could observe."""
    time_left_ns: int
    """To the request's latency objective."""
    exceeds_quota: bool
    """It is beyond its tenant's share."""
    open_requests: int
    """Of this sidecar, this one included."""


class Verdict(NamedTuple):
    """The decision on one request, and the figures behind it."""

    is_shed: bool
    retry_after_ns: int = 0
    """When the excess will be over; 0: not known, or not to be sent."""
    open_in_time: int = 0
    """Open requests that have not missed their objectives."""
    capacity: float = 0.0
    """How many of them can be answered in time; 0: not asked, the latencies decided."""


ADMITTED = Verdict(False)


class AdmissionController:
    """Admission of one sidecar: learns from answers and latencies, decides on requests."""

    def __init__(self, settings: api.Settings, random: Random) -> None:
        classes = settings.classes
        self._random = random
        self._targets_ns = [c.target_ns for c in classes]
        self.objective_ns = min(self._targets_ns)
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
        """Learn from an answer.

        Args:
            now: Monotonic ns.
            class_index: Of the request.
            latency_ns: Of the attempt.
            in_time: The latency objective was met.
            open_now: Requests that are open now.
            open_before: Other requests that were open when this one arrived.
        """
        if in_time:
            self.offered.answer_rate.add(now)
            self.peak.record_answer(now, open_now, self.queueing.ratio.value, self.latency.limit)
        concurrency = self.snapshots.snapshot.fleet.concurrency
        has_queued = bool(concurrency) and open_before > concurrency / 2
        self.latency.record_answer(latency_ns, self._targets_ns[class_index], has_queued)

    def record_latency(self, now: int, sample: QueueingSample) -> None:
        """Learn from the latency of an attempt that succeeded or timed out."""
        queueing_ratio = self.queueing.update(now, sample.objective_share, sample.smoothing_factor)
        self.service_rate.record(now, sample, queueing_ratio, self.snapshots.snapshot.fleet.concurrency)

    def decide(self, now: int, request: AdmissionRequest, source: SnapshotSource) -> Verdict:
        """Return whether a request is shed: past the capacity all queues would grow until all is late.

        Args:
            now: Monotonic ns.
            request: The new request.
            source: Takes a snapshot of the fleet and of the open requests, where the cached one is too old.
        """
        quota_factor = OVER_QUOTA_CAPACITY_SHARE if request.exceeds_quota else 1.0
        verdict = self._shed_by_latency(now, request, quota_factor)
        if verdict:
            return verdict
        rate = self.offered.rate(now, request.since_first_list_ns)
        offered = self.offered.capacity(rate, self.latency.limit) * quota_factor
        if request.open_requests <= offered:
            return ADMITTED
        snapshot = self.snapshots.get(now, source)
        # Requests that are stuck at a stalled endpoint take no capacity.
        in_time = request.open_requests - snapshot.open_requests.late
        if in_time <= offered:
            return ADMITTED
        service_rate = self.service_rate.rate(now, snapshot.fleet.concurrency)
        time_left_ns = min(self.objective_ns, request.time_left_ns)
        estimate = CapacityEstimate(
            offered,
            self.burst.service_capacity(service_rate, time_left_ns, snapshot.fleet, quota_factor),
            self.burst.headroom(now, snapshot.open_requests, in_time, service_rate),
        )
        return self._verdict(now, in_time, estimate.requests(), max(rate, service_rate))

    def _shed_by_latency(self, now: int, request: AdmissionRequest, quota_factor: float) -> Verdict | None:
        ratio = self.queueing.ratio.read(now)
        limit = self.latency.limit
        if ratio <= limit or request.since_first_list_ns <= self.objective_ns:
            return None
        if not self.latency.should_shed(ratio, quota_factor, self._random):
            return None
        excess_ns = (ratio - limit) * self.objective_ns
        backlog = Backlog(excess_ns, self.offered.answer_rate.read(now))
        return Verdict(True, self.retry_after.next_delay_ns(now, backlog), request.open_requests)

    def _verdict(self, now: int, in_time: int, capacity: float, rate: float) -> Verdict:
        """Shed what exceeds the capacity until the excess is worked off, at `rate` or as seen recently."""
        if in_time <= capacity:
            return ADMITTED
        drain_rate = max(rate, self.peak.recent_rate.read(now), MIN_RATE_REQUESTS)
        backlog = Backlog((in_time - capacity) / drain_rate, drain_rate, in_time / drain_rate)
        return Verdict(True, self.retry_after.next_delay_ns(now, backlog), in_time, capacity)
