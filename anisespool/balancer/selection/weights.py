"""Selects the endpoint of an attempt by a random choice, weighted by load, slowdown and cost.

The weight of an eligible endpoint i is 1 / w_i. Its divisor is w_i = (L_i + 1) * x_i, where L_i is the
effective load (estimates/load.py) and x_i the slowdown (estimates/slowdown.py). See docs/design.md.
"""

from random import Random
from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.estimates import Estimates
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.selection.key_affinity import affine_endpoint, affinity_factor
from anisespool.balancer.selection.slow_start import SlowStart

CROSS_ZONE_COST_OBJECTIVES = 20.0  # latency, in objectives, that a cost of 1 (a request's value) counts as
HANDSHAKE_COST_OBJECTIVES = 100.0  # the same; higher, as an open connection shows that the endpoint answers
MIN_DIVISOR_REQUESTS = 1e-9  # avoids a division by zero


class Weights(NamedTuple):
    """The weights of one random choice."""

    by_candidate: list[float]
    no_send: float
    """Weight of sending to none of the candidates now."""


class CostFactors(NamedTuple):
    """Factors on the divisor w_i of a weight."""

    cross_zone: float
    """Factor for an endpoint in another zone."""
    handshake: float
    """Factor for an endpoint without an idle connection."""


NO_COSTS = CostFactors(1.0, 1.0)


class EndpointSelector:
    """Selects the endpoint of each attempt."""

    def __init__(self, settings: api.Settings, estimates: Estimates, random: Random) -> None:
        self._settings = settings
        self._estimates = estimates
        self._random = random
        self._has_costs = bool(settings.cross_zone_cost or settings.handshake_cost)
        self.slow_start = SlowStart(settings)

    def choose(
        self, request: PendingRequest, candidates: list[Endpoint], expected_latency_ns: float, now: int
    ) -> Endpoint | None:
        """Return a random candidate by weight, or None if the choice is to send to none now.

        There has to be at least one candidate.
        """
        weights = self.weights(request, candidates, expected_latency_ns, now)
        return self._random.choices([*candidates, None], [*weights.by_candidate, weights.no_send])[0]

    def weights(
        self, request: PendingRequest, candidates: list[Endpoint], expected_latency_ns: float, now: int
    ) -> Weights:
        """Return the candidates' weights, reduced by the costs in the settings and capped by slow start."""
        settings = self._settings
        loads = self._estimates.loads
        slowdowns = self._estimates.slowdowns
        class_index = request.event.class_index
        costs = NO_COSTS
        if self._has_costs:
            costs = self._cost_factors(request.request_class.target_ns, expected_latency_ns)
        affine = affine_endpoint(settings, request.event.key, candidates)
        affinity = affinity_factor(len(candidates))
        weights = []
        some_warming_up = False
        for endpoint in candidates:  # written without helpers, as it runs for each candidate of each attempt
            slowdown = slowdowns.slowdown(endpoint, now, class_index)
            divisor = (loads.effective_load(endpoint, now) + 1) * slowdown
            if now < endpoint.warm_at:
                divisor /= self.slow_start.update_factor(endpoint, now)
                some_warming_up = True
            elif not endpoint.idle_connections:
                # Warming endpoints are exempt: they have no connection, and would never get one.
                divisor *= costs.handshake
            if endpoint.zone != settings.zone:
                divisor *= costs.cross_zone
            if endpoint is affine:
                divisor /= affinity
            weights.append(1 / max(divisor, MIN_DIVISOR_REQUESTS))
        if not some_warming_up:
            return Weights(weights, 0.0)
        # Capping changes `weights` and returns the weight of not sending.
        return Weights(weights, self.slow_start.cap_in_place(candidates, weights, now, expected_latency_ns))

    def _cost_factors(self, target_ns: int, expected_latency_ns: float) -> CostFactors:
        """Return the factors for the costs in the settings; longer latencies make them smaller."""
        settings = self._settings
        recent_latency_ns = expected_latency_ns * self._estimates.slowdowns.fleet_slowdown()
        cross_zone = settings.cross_zone_cost * CROSS_ZONE_COST_OBJECTIVES * target_ns / recent_latency_ns
        handshake = settings.handshake_cost * HANDSHAKE_COST_OBJECTIVES * target_ns / recent_latency_ns
        return CostFactors(1 + cross_zone, 1 + handshake)
