"""How many more requests may be open in a burst, by what the fleet could serve?"""

from math import sqrt
from typing import NamedTuple

from anisespool.balancer.admission.fleet_capacity import FleetCapacity
from anisespool.balancer.admission.latency_limit import LatencyLimit
from anisespool.balancer.admission.load_snapshot import OpenRequests
from anisespool.balancer.admission.queueing_ratio import QueueingRatio
from anisespool.balancer.admission.service_rate import ServiceRate

MIN_RATIO_RANGE = 1e-9


class BurstLimits(NamedTuple):
    """How far a burst may go."""

    usable_objective_share: float = 0.85
    """Of a latency objective that a burst's backlog may fill: the choice of endpoints is uneven."""
    max_own_queueing_ratio: float = 0.2
    """Of the queueing ratio that a burst of this sidecar's own may explain."""
    headroom_factor: float = 2.0
    """The headroom is complete up to half of the way to the latency limit, and ends at the limit."""


LIMITS = BurstLimits()


def total_capacity(offered: float, service: float, headroom: float) -> float:
    """Return how many requests may be open.

    Args:
        offered: By the rate of answers in time (offered_capacity.py).
        service: By what the fleet could serve until the objective.
        headroom: Share of what service exceeds the offered capacity by that may be used; 0 or less: none.
    """
    if headroom > 0 and service > offered:
        return offered + (service - offered) * headroom
    return offered


class BurstCapacity:
    """The capacity beyond the offered one, and how much of it is headroom now."""

    def __init__(
        self,
        fleet_size: int,
        objective_ns: int,
        queueing: QueueingRatio,
        latency: LatencyLimit,
        service_rate: ServiceRate,
    ) -> None:
        # A burst often comes to all sidecars at once, and each sees a part of it.
        self._fleet_share = 1 / sqrt(fleet_size)
        self._objective_ns = objective_ns
        self._queueing = queueing
        self._latency = latency
        self._service_rate = service_rate

    def service_capacity(
        self, rate: float, time_left_ns: int, fleet: FleetCapacity, quota_factor: float
    ) -> float:
        """Return how many requests may be open so that the last is answered within the time left.

        Args:
            rate: At which the fleet can serve requests, per ns.
            time_left_ns: To the latency objective.
            fleet: With what queues there already.
            quota_factor: Share of the capacity that the request's tenant may use.
        """
        served = rate * time_left_ns * LIMITS.usable_objective_share
        return max(0.0, served - fleet.queued_by_others) * self._fleet_share * quota_factor

    def headroom(self, now: int, open_requests: OpenRequests, in_time: int, rate: float) -> float:
        """Return which share of the service capacity may be used: 1 at most; 0 or less: none.

        Args:
            now: Monotonic ns.
            open_requests: Of this sidecar, with their mean age.
            in_time: Open requests that have not missed their objectives, the new one included.
            rate: At which the fleet can serve requests, per ns.
        """
        limit = self._latency.limit
        uncontended = self._latency.uncontended_ratio
        recent = self._queueing.recent_max(now)
        external = uncontended + self._service_rate.external_queueing_ratio
        queueing = max(min(recent, external), recent - LIMITS.max_own_queueing_ratio)
        # Where nothing answers, no answer shows it. But of requests that are served in turn the mean has
        # waited half of the time that all of them take; beyond that they stall.
        explained_ns = in_time / rate / 2 if rate else 0.0
        stall_ratio = (open_requests.mean_age_ns - explained_ns) / self._objective_ns if rate else 1.0
        margin = LIMITS.headroom_factor * (limit - max(queueing, stall_ratio))
        return min(1.0, margin / max(limit - uncontended, MIN_RATIO_RANGE))
