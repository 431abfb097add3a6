"""Peak rate of answers in time: the highest throughput that this sidecar has observed."""

from __future__ import annotations

from math import sqrt

from anisespool.balancer.estimates.decaying_value import RATE_NORMALIZATION_FACTOR, DecayingValue

PEAK_HALF_LIFE_DEADLINES = 20
RECENT_RATE_HALF_LIFE_OBJECTIVES = 0.25  # applies to the rate whose peak is kept
CONFIDENCE_DEVIATIONS = 1.0  # standard deviations subtracted: a few answers close together are no peak
SATURATED_SMOOTHING_FACTOR = 0.02  # applies to the peak while answers queue


class PeakRate:
    """The peak of the recent rate of answers, with decay.

    Attributes:
        rate: Peak rate, in answers per ns.
        recent_rate: Recent rate, in answers per ns.
        is_saturated: Whether answers queued when the peak was reached. If so, the fleet can't do more;
            otherwise it was not offered more.
    """

    def __init__(self, longest_deadline_ns: int, objective_ns: int) -> None:
        self.rate = DecayingValue(PEAK_HALF_LIFE_DEADLINES * longest_deadline_ns)
        self.recent_rate = DecayingValue(int(objective_ns * RECENT_RATE_HALF_LIFE_OBJECTIVES))
        self.is_saturated = False
        self._objective_ns = objective_ns

    def record_answer(self, now: int, open_requests: int, queueing_ratio: float, limit: float) -> None:
        """Count an answer in time.

        Args:
            now: Monotonic ns.
            open_requests: Requests that are open now.
            queueing_ratio: Queueing ratio as last updated.
            limit: Queueing ratio above which requests are shed.
        """
        self.recent_rate.add(now)
        rate = self.recent_rate.value
        if rate <= self.rate.value / 2 and queueing_ratio <= limit:
            return  # the common case, kept fast
        deviation = sqrt(rate * RATE_NORMALIZATION_FACTOR / 2 / self.recent_rate.half_life_ns)
        confident_rate = rate - CONFIDENCE_DEVIATIONS * deviation
        peak = self.rate.read(now)
        if confident_rate > peak:
            self.rate.value = confident_rate
            self.is_saturated = queueing_ratio > limit / 2
        # The rate also falls as a burst ends: only with enough requests open does it show a lower limit.
        elif queueing_ratio > limit and open_requests > peak * self._objective_ns * limit / 2:
            self.rate.value += SATURATED_SMOOTHING_FACTOR * (rate - peak)
            self.is_saturated = True
