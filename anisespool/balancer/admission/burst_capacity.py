"""Additional capacity for open requests in a burst, from what the fleet could serve."""

from math import sqrt
from typing import NamedTuple

from anisespool.balancer.admission.fleet_capacity import FleetCapacity
from anisespool.balancer.admission.latency_limit import LatencyLimit
from anisespool.balancer.admission.load_snapshot import OpenRequests
from anisespool.balancer.admission.queueing_ratio import QueueingRatio
from anisespool.balancer.admission.service_rate import ServiceRate

MIN_RATIO_RANGE = 1e-9  # avoids a division by zero


class BurstLimits(NamedTuple):
    """Bounds on the use of burst capacity."""

    usable_objective_share: float = 0.85
    """Share of the latency objective that a backlog may take; below 1, as a random choice loads unevenly."""
    max_own_queueing_ratio: float = 0.2
    """Largest part of the queueing ratio that is attributed to this sidecar's own burst."""
    headroom_factor: float = 2.0
    """The headroom is 1 up to halfway (at 2) from the uncontended ratio to the limit, where it is 0."""


LIMITS = BurstLimits()


def total_capacity(offered_capacity: float, service_capacity: float, headroom: float) -> float:
    """Return how many requests may be open.

    `headroom` is the share of the difference between the two capacities that may be used; 0 or less: none.
    """
    if headroom > 0 and service_capacity > offered_capacity:
        return offered_capacity + (service_capacity - offered_capacity) * headroom
    return offered_capacity


class BurstCapacity:
    """Computes what the fleet could serve, and how much of it beyond the offered capacity may be used now."""

    def __init__(
        self,
        fleet_size: int,
        objective_ns: int,
        queueing: QueueingRatio,
        latency: LatencyLimit,
        service_rate: ServiceRate,
    ) -> None:
        # A burst often reaches all sidecars at once, and each observes only its own part of it.
        self._fleet_share = 1 / sqrt(fleet_size)
        self._objective_ns = objective_ns
        self._queueing = queueing
        self._latency = latency
        self._service_rate = service_rate

    def service_capacity(
        self, rate: float, time_left_ns: int, fleet: FleetCapacity, quota_factor: float
    ) -> float:
        """Return how many requests may be open so that the last is answered in the time left.

        Args:
            rate: Requests per ns that the fleet can serve.
            time_left_ns: Time until the latency objective.
            quota_factor: Share of the capacity that the request's tenant may use.
        """
        served = rate * time_left_ns * LIMITS.usable_objective_share
        return max(0.0, served - fleet.queued_by_others) * self._fleet_share * quota_factor

    def headroom(self, now: int, open_requests: OpenRequests, open_in_time: int, rate: float) -> float:
        """Return the share of the additional capacity that may be used: at most 1; 0 or less: none.

        Args:
            open_in_time: Open requests that have not missed their objectives, the new one included.
            rate: Requests per ns that the fleet can serve.
        """
        limit = self._latency.limit
        uncontended_ratio = self._latency.uncontended_ratio
        recent_ratio = self._queueing.recent_max(now)
        external_ratio = uncontended_ratio + self._service_rate.external_queueing_ratio
        queueing_ratio = max(min(recent_ratio, external_ratio), recent_ratio - LIMITS.max_own_queueing_ratio)
        # A stalled fleet sends no answers, so the age of open requests counts too. Requests served in turn
        # have a mean age of half the time that all of them take; a greater mean age shows a stall.
        expected_age_ns = open_in_time / rate / 2 if rate else 0.0
        stall_ratio = (open_requests.mean_age_ns - expected_age_ns) / self._objective_ns if rate else 1.0
        margin = LIMITS.headroom_factor * (limit - max(queueing_ratio, stall_ratio))
        return min(1.0, margin / max(limit - uncontended_ratio, MIN_RATIO_RANGE))
