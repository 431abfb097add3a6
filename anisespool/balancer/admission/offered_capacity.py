"""Capacity for open requests, derived from the rate of answers that met their latency objectives."""

from __future__ import annotations

from math import exp2, sqrt

from anisespool.balancer.estimates.decaying_value import DecayingValue

BURST_ALLOWANCE_REQUESTS = 4.0  # extra open requests, as a rate with a short half-life may miss some


class OfferedCapacity:
    """The capacity that the ordinary load has shown; the fleet may be able to do more.

    Attributes:
        answer_rate: Rate of answers that met their objectives, per ns.
    """

    def __init__(self, objective_ns: int) -> None:
        self.answer_rate = DecayingValue(objective_ns)
        self._objective_ns = objective_ns

    def rate(self, now: int, observed_ns: int) -> float:
        """Return the answer rate, scaled up until it has converged.

        `observed_ns` is the time since this sidecar received its first endpoint list.
        """
        observed_share = 1 - exp2(-max(observed_ns, 1) / self.answer_rate.half_life_ns)
        return self.answer_rate.read(now) / observed_share

    def capacity(self, rate: float, limit: float) -> float:
        """Return how many requests may be open: Little's law, a standard deviation, and a burst allowance.

        `limit` is the share of the latency objective that answers may take.
        """
        requests = rate * self._objective_ns * limit
        return requests + sqrt(requests) + BURST_ALLOWANCE_REQUESTS
