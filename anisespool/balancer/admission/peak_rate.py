"""The peak rate of answers in time: what the fleet was shown to do for this sidecar."""

from __future__ import annotations

from math import sqrt

from anisespool.balancer.estimates.decaying_value import RATE_NORMALIZATION_FACTOR, DecayingValue

PEAK_HALF_LIFE_DEADLINES = 20
RECENT_RATE_HALF_LIFE_OBJECTIVES = 0.25  # of the rate whose peak counts
CONFIDENCE_DEVIATIONS = 1.0  # standard deviations taken off a rate: a few answers close together are no peak
SATURATED_SMOOTHING_FACTOR = 0.02  # of the peak, while answers queue


class PeakRate:
    """The peak of the recent rate of answers, with decay.

    Attributes:
        rate: The peak, in answers per ns.
        recent_rate: The rate now.
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
            open_requests: Other requests that are open now.
            queueing_ratio: As last updated.
            limit: Queueing ratio above which requests are shed.
        """
        self.recent_rate.add(now)
        rate = self.recent_rate.value
        if rate <= self.rate.value / 2 and queueing_ratio <= limit:
            return  # the ordinary case, at no cost
        deviation = sqrt(rate * RATE_NORMALIZATION_FACTOR / 2 / self.recent_rate.half_life_ns)
        confident_rate = rate - CONFIDENCE_DEVIATIONS * deviation
        peak = self.rate.read(now)
        if confident_rate > peak:
            self.rate.value = confident_rate
            self.is_saturated = queueing_ratio > limit / 2
        # As a burst ends answers get fewer, and that shows no lower limit: enough requests have to be open.
        elif queueing_ratio > limit and open_requests > peak * self._objective_ns * limit / 2:
            self.rate.value += SATURATED_SMOOTHING_FACTOR * (rate - peak)
            self.is_saturated = True
