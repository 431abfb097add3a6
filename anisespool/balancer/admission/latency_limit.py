"""Load shedding by latency: how much of their latency objectives answers may take.

This rule also covers a sidecar with few requests, where the capacity is never reached.
"""

from __future__ import annotations

from random import Random

from anisespool.balancer import interface as api

MIN_LIMIT_RATIO = 0.5  # share of the objective that answers may always take
MAX_LIMIT_RATIO = 0.95  # upper bound on the limit: load is shed at any ratio above it
LIMIT_MARGIN_SHARE = 0.25  # share of the time left by uncontended answers that queueing may take
LATENCY_SMOOTHING_FACTOR = 0.02  # typical latencies average over about 50 answers
UNCONTENDED_GROWTH_FACTOR = 1e-4  # growth of the uncontended ratio with each answer: doubles in about 7,000
INITIAL_TYPICAL_LATENCY_OBJECTIVES = 1 / 32
FULL_SHEDDING_SHARE = 0.6  # part of the way from the limit to 1 at which all would be shed
MAX_SHED_SHARE = 0.95  # some requests are always admitted, as latencies are observed on those alone


class LatencyLimit:
    """Sets the limit of the queueing ratio by the usual latency of answers.

    Attributes:
        limit: Queueing ratio above which requests are shed.
        typical_latency_ns: Typical latency of requests that did not queue, over all classes.
        uncontended_ratio: Least observed mean of latencies over their objectives.
    """

    def __init__(self, classes: tuple[api.RequestClass, ...], objective_ns: int) -> None:
        # The limit is higher where late answers keep some value.
        late_weight = min(c.late_priority_weight for c in classes)
        self._min_limit = MIN_LIMIT_RATIO + (1 - MIN_LIMIT_RATIO) * late_weight
        self.limit = self._min_limit
        self.typical_latency_ns = objective_ns * INITIAL_TYPICAL_LATENCY_OBJECTIVES
        self.uncontended_ratio = 0.0
        self._typical_ratio = 0.0  # exponentially weighted moving average of latencies over their objectives
        self._answers = 0

    def record_answer(self, latency_ns: int, target_ns: int, has_queued: bool) -> None:
        """Update the averages with an answer; a request that queued does not show the typical latency."""
        self._answers += 1
        alpha = max(LATENCY_SMOOTHING_FACTOR, 1 / self._answers)
        if not has_queued:
            self.typical_latency_ns += alpha * (latency_ns - self.typical_latency_ns)
        ratio = min(latency_ns / target_ns, 1.0)
        self._typical_ratio += alpha * (ratio - self._typical_ratio)
        is_settled = self._answers * LATENCY_SMOOTHING_FACTOR >= 1
        least_ratio = self.uncontended_ratio * (1 + UNCONTENDED_GROWTH_FACTOR) if is_settled else 1.0
        # Uncontended answers that take nearly the whole objective are no overload.
        self.uncontended_ratio = min(least_ratio, self._typical_ratio)
        wanted_limit = self.uncontended_ratio + (1 - self.uncontended_ratio) * LIMIT_MARGIN_SHARE
        self.limit = min(max(self._min_limit, wanted_limit), MAX_LIMIT_RATIO)

    def should_shed(self, queueing_ratio: float, quota_factor: float, random: Random) -> bool:
        """Return whether a request is shed; the probability grows with the ratio's excess over the limit.

        The ratio has to be above the limit. `quota_factor` is below 1 for a tenant beyond its quota, whose
        requests are shed more often.
        """
        excess = (queueing_ratio - self.limit) / (1 - self.limit)
        shed_share = min(excess / FULL_SHEDDING_SHARE, MAX_SHED_SHARE)
        return random.random() * quota_factor < shed_share
