"""Peak rate of answers that met their latency objectives: the highest throughput observed."""

from __future__ import annotations

from math import sqrt

from anisespool.balancer.estimates.decaying_value import RATE_NORMALIZATION_FACTOR, DecayingValue

PEAK_HALF_LIFE_DEADLINES = 20  # the peak's half-life, in longest deadlines
RECENT_RATE_HALF_LIFE_OBJECTIVES = 0.25  # the recent rate's half-life, in latency objectives
# Standard deviations subtracted from the recent rate, as a few answers close together are no peak.
CONFIDENCE_DEVIATIONS = 1.0
SATURATED_SMOOTHING_FACTOR = 0.02  # applies to the peak while requests queue


class PeakRate:
    """The peak of the recent rate of answers, with decay.

    Attributes:
        rate: Peak rate, in answers per ns.
        recent_rate: Recent rate, in answers per ns.
        is_saturated: Whether requests queued when the peak was reached. If so, the fleet can't do more;
            otherwise it was not offered more.
    """

    def __init__(self, longest_deadline_ns: int, objective_ns: int) -> None:
        self.rate = DecayingValue(PEAK_HALF_LIFE_DEADLINES * longest_deadline_ns)
        self.recent_rate = DecayingValue(int(objective_ns * RECENT_RATE_HALF_LIFE_OBJECTIVES))
        self.is_saturated = False
        self._objective_ns = objective_ns

    def record_answer(self, now: int, open_requests: int, queueing_ratio: float, limit: float) -> None:
        """Count an answer that met its latency objective.

        Requests are shed if the queueing ratio is above `limit`.
        """
        self.recent_rate.add(now)
        recent_rate = self.recent_rate.value
        if recent_rate <= self.rate.value / 2 and queueing_ratio <= limit:
            return  # the common case, kept fast
        # The standard deviation of a decaying rate if answers are independent.
        deviation = sqrt(recent_rate * RATE_NORMALIZATION_FACTOR / 2 / self.recent_rate.half_life_ns)
        confident_rate = recent_rate - CONFIDENCE_DEVIATIONS * deviation
        peak = self.rate.read(now)
        if confident_rate > peak:
            self.rate.value = confident_rate
            self.is_saturated = queueing_ratio > limit / 2
        # The recent rate also falls as a burst ends; it shows a slower fleet only with many open requests.
        elif queueing_ratio > limit and open_requests > peak * self._objective_ns * limit / 2:
            self.rate.value += SATURATED_SMOOTHING_FACTOR * (recent_rate - peak)
            self.is_saturated = True
