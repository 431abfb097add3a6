"""Updates the estimates, admission control and slow start with attempts' outcomes."""

from __future__ import annotations

from anisespool.balancer.admission.controller import AdmissionController
from anisespool.balancer.admission.queueing_ratio import QUEUEING_SMOOTHING_FACTOR
from anisespool.balancer.admission.service_rate import QueueingSample
from anisespool.balancer.attempt import Attempt
from anisespool.balancer.estimates.estimates import Estimates
from anisespool.balancer.interface import AttemptOutcome, AttemptStatus
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.selection.slow_start import SlowStart

CONNECTION_REUSABLE = frozenset((AttemptStatus.OK, AttemptStatus.ERROR, AttemptStatus.FULL))
CONNECTION_BROKEN = frozenset((AttemptStatus.RESET, AttemptStatus.CONNECT_FAILED))


def is_failure(status: AttemptStatus) -> bool:
    """Return whether a status counts against the endpoint."""
    return status not in (AttemptStatus.OK, AttemptStatus.CANCELLED, AttemptStatus.MOOT)


def update_idle_connections(attempt: Attempt, status: AttemptStatus) -> None:
    """Update the estimate of idle connections to the attempt's endpoint."""
    if status in CONNECTION_REUSABLE:
        attempt.endpoint.idle_connections += 1
    elif status in CONNECTION_BROKEN:  # other idle connections may be broken too
        attempt.endpoint.idle_connections = 0


class OutcomeRecorder:
    """Passes outcomes to the rules that use them."""

    def __init__(self, estimates: Estimates, admission: AdmissionController, slow_start: SlowStart) -> None:
        self._estimates = estimates
        self._admission = admission
        self._slow_start = slow_start

    def record_answer(
        self,
        request: PendingRequest,
        attempt: Attempt,
        event: AttemptOutcome,
        open_requests: int,
        now: int,
    ) -> None:
        """Record a successful attempt, with `open_requests` of this sidecar open now."""
        latency_ns = event.latency_ns
        in_time = now <= request.deadlines.objective_at and not request.closed
        self._estimates.record_answer(attempt, request.event, latency_ns)
        self._admission.record_answer(
            now, request.event.class_index, latency_ns, in_time, open_requests, request.open_before
        )
        self._slow_start.record_completed(attempt.endpoint, attempt.expected_latency_ns, now)

    def record_latency(
        self, request: PendingRequest, attempt: Attempt, event: AttemptOutcome, slowdown: float, now: int
    ) -> bool:
        """Record an attempt's latency, and return whether it was a sample of its endpoint's slowdown.

        A cancelled attempt is a sample only if it had already exceeded the endpoint's previous `slowdown`.
        """
        latency_ns = float(event.latency_ns)
        if is_failure(event.status):  # a fast failure is not a fast answer
            latency_ns = max(latency_ns, float(request.request_class.deadline_ns))
        if event.status in (AttemptStatus.OK, AttemptStatus.TIMEOUT):
            self._record_queueing(request, attempt, event, slowdown, now)
        slowdowns = self._estimates.slowdowns
        sample = slowdowns.sample(latency_ns, attempt.expected_latency_ns)
        if event.status is AttemptStatus.CANCELLED and sample <= slowdown:
            return False
        succeeded = event.status is AttemptStatus.OK
        class_index = request.event.class_index
        slowdowns.record_sample(attempt.endpoint, class_index, sample, slowdown, succeeded, now)
        return True

    def _record_queueing(
        self, request: PendingRequest, attempt: Attempt, event: AttemptOutcome, slowdown: float, now: int
    ) -> None:
        """Pass a latency to admission control; slow endpoints count less, as a single one is no overload."""
        typical = self._estimates.slowdowns.typical_slowdown(attempt.endpoint)
        smoothing_factor = QUEUEING_SMOOTHING_FACTOR * min(1.0, typical / slowdown)
        target_ns = request.request_class.target_ns
        missed_objective = event.status is AttemptStatus.TIMEOUT and now >= request.deadlines.objective_at
        objective_share = 1.0 if missed_objective else min(event.latency_ns / target_ns, 1.0)
        sample = QueueingSample(objective_share, smoothing_factor, target_ns, request.open_before)
        self._admission.record_latency(now, sample)
