"""Capacity for open requests from the rate of answers that met their latency objectives."""

from __future__ import annotations

from math import exp2, sqrt

from anisespool.balancer.estimates.decaying_value import DecayingValue

BURST_ALLOWANCE_REQUESTS = 4.0  # open requests that a rate with a short half-life may miss


class OfferedCapacity:
    """The capacity that the ordinary load has shown; the fleet may be able to do more.

    Attributes:
        answer_rate: Rate of answers that met their objectives, per ns.
    """

    def __init__(self, objective_ns: int) -> None:
        self.answer_rate = DecayingValue(objective_ns)
        self._objective_ns = objective_ns

    def rate(self, now: int, observed_ns: int) -> float:
        """Return the answer rate, scaled up while `observed_ns` is too short for the rate to converge."""
        observed_share = 1 - exp2(-max(observed_ns, 1) / self.answer_rate.half_life_ns)
        return self.answer_rate.read(now) / observed_share

    def capacity(self, rate: float, limit: float) -> float:
        """Return how many requests may be open: Little's law, a standard deviation, and a burst allowance.

        Answers may take the share `limit` of the latency objective.
        """
        requests = rate * self._objective_ns * limit
        return requests + sqrt(requests) + BURST_ALLOWANCE_REQUESTS
