"""Queueing ratio: the share of their latency objectives that recent attempts took."""

from __future__ import annotations

from math import exp2

from anisespool.balancer.estimates.decaying_value import DecayingValue

QUEUEING_SMOOTHING_FACTOR = 0.3  # high, to react within a few attempts
GOSSIP_SMOOTHING_FACTOR = 0.5  # weight of another sidecar's queueing ratio
QUEUEING_HALF_LIFE_DEADLINES = 4  # the ratio's half-life, in longest deadlines
RECENT_MAX_HALF_LIFE_OBJECTIVES = 5  # the recent maximum's half-life, in latency objectives


class QueueingRatio:
    """An exponentially weighted moving average of shares of the objective, from 0 to 1 (objective missed).

    Between samples, the average and its recent maximum decay, each with its own half-life.
    """

    def __init__(self, longest_deadline_ns: int, objective_ns: int) -> None:
        self.ratio = DecayingValue(QUEUEING_HALF_LIFE_DEADLINES * longest_deadline_ns)
        self._max_half_life_ns = RECENT_MAX_HALF_LIFE_OBJECTIVES * objective_ns
        self._max = 0.0
        self._max_at = 0  # monotonic ns

    def recent_max(self, now: int) -> float:
        """Return the decayed recent maximum, or the ratio last read if that is greater."""
        decayed = self._max * exp2((self._max_at - now) / self._max_half_life_ns)
        ratio = self.ratio.value
        return ratio if ratio > decayed else decayed

    def update(self, now: int, sample: float, smoothing_factor: float = QUEUEING_SMOOTHING_FACTOR) -> float:
        """Move the ratio toward a sample, and return the new ratio."""
        before = self.ratio.read(now)
        self._max = self.recent_max(now)
        self._max_at = now
        self.ratio.value = before + smoothing_factor * (sample - before)
        return self.ratio.value

    def update_from_gossip(self, now: int, ratio: float) -> None:
        """Move the ratio toward that of another sidecar, clamped to 0 to 1."""
        self.update(now, max(0.0, min(1.0, ratio)), GOSSIP_SMOOTHING_FACTOR)
