"""How much of their latency objectives answers may take before requests are shed.

This rule works at a sidecar that sends little too, where the capacity is never reached.
"""

from __future__ import annotations

from random import Random

from anisespool.balancer import interface as api

MIN_LIMIT_RATIO = 0.5  # share of the objective that answers may always take
MAX_LIMIT_RATIO = 0.95
LIMIT_MARGIN_SHARE = 0.25  # of what uncontended answers leave of the objective
LATENCY_SMOOTHING_FACTOR = 0.02  # typical latencies move over some 50 answers
UNCONTENDED_GROWTH_FACTOR = (
    1e-4  # an answer's growth of the least latency known: doubles in some 7,000 answers
)
INITIAL_TYPICAL_LATENCY_OBJECTIVES = 1 / 32  # of an answer, before the first one
FULL_SHEDDING_SHARE = 0.6  # of the way from the limit to 1, where all that may be shed is shed
MAX_SHED_SHARE = 0.95  # some requests are admitted whatever the latencies, or nothing would be learned


class LatencyLimit:
    """Learns what answers usually take of their objectives, and when that is too much.

    Attributes:
        limit: Queueing ratio above which requests are shed.
        typical_latency_ns: Of an answer that has not queued, of any class.
        uncontended_ratio: The least typical latency over its objective that was seen.
    """

    def __init__(self, classes: tuple[api.RequestClass, ...], objective_ns: int) -> None:
        # Where late answers keep some value, lateness is no total loss.
        late_weight = min(c.late_priority_weight for c in classes)
        self._min_limit = MIN_LIMIT_RATIO + (1 - MIN_LIMIT_RATIO) * late_weight
        self.limit = self._min_limit
        self.typical_latency_ns = objective_ns * INITIAL_TYPICAL_LATENCY_OBJECTIVES
        self.uncontended_ratio = 0.0
        self._typical_ratio = 0.0  # exponentially weighted moving average of latencies over their objectives
        self._answers = 0

    def record_answer(self, latency_ns: int, target_ns: int, has_queued: bool) -> None:
        """Learn from an answer; one that has queued does not show how long an answer takes."""
        self._answers += 1
        alpha = max(LATENCY_SMOOTHING_FACTOR, 1 / self._answers)
        if not has_queued:
            self.typical_latency_ns += alpha * (latency_ns - self.typical_latency_ns)
        ratio = min(latency_ns / target_ns, 1.0)
        self._typical_ratio += alpha * (ratio - self._typical_ratio)
        is_settled = self._answers * LATENCY_SMOOTHING_FACTOR >= 1
        least = self.uncontended_ratio * (1 + UNCONTENDED_GROWTH_FACTOR) if is_settled else 1.0
        # Where even uncontended answers take nearly the objective, that is no overload.
        self.uncontended_ratio = min(least, self._typical_ratio)
        limit = self.uncontended_ratio + (1 - self.uncontended_ratio) * LIMIT_MARGIN_SHARE
        self.limit = min(max(self._min_limit, limit), MAX_LIMIT_RATIO)

    def should_shed(self, queueing_ratio: float, quota_factor: float, random: Random) -> bool:
        """Return whether a request is shed, at random: the more, the further the ratio is above the limit.

        Args:
            queueing_ratio: Above the limit.
            quota_factor: Under 1 for a tenant beyond its quota: its requests are shed sooner.
            random: Of this sidecar.
        """
        excess = (queueing_ratio - self.limit) / (1 - self.limit)
        shed_share = min(excess / FULL_SHEDDING_SHARE, MAX_SHED_SHARE)
        return random.random() * quota_factor < shed_share
