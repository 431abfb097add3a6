"""How many requests may be open by the rate of answers in time alone?"""

from __future__ import annotations

from math import exp2, sqrt

from anisespool.balancer.estimates.decaying_value import DecayingValue

BURST_ALLOWANCE_REQUESTS = 4.0  # open requests that a short half-life may have missed


class OfferedCapacity:
    """The capacity that the ordinary load has shown, whatever the fleet could do besides.

    Attributes:
        answer_rate: Answers in time, per ns.
    """

    def __init__(self, objective_ns: int) -> None:
        self.answer_rate = DecayingValue(objective_ns)
        self._objective_ns = objective_ns

    def rate(self, now: int, observed_ns: int) -> float:
        """Return the answer rate, corrected for having been observed for `observed_ns` only."""
        observed_share = 1 - exp2(-max(observed_ns, 1) / self.answer_rate.half_life_ns)
        return self.answer_rate.read(now) / observed_share

    def capacity(self, rate: float, limit: float) -> float:
        """Return the open requests by Little's law, a standard deviation, and an allowance for bursts.

        Args:
            rate: Of answers, per ns.
            limit: Share of the latency objective that answers may take.
        """
        requests = rate * self._objective_ns * limit
        return requests + sqrt(requests) + BURST_ALLOWANCE_REQUESTS
