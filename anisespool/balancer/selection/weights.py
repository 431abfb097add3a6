"""Which eligible endpoint gets the attempt? A random choice, weighted by load, slowdown and cost.

w_i = (L_i + 1) * x_i for each eligible endpoint i, with L_i its effective load (estimates/load.py) and x_i
its slowdown (estimates/slowdown.py); its weight is 1 / w_i (docs/design.md).
"""

from random import Random
from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.estimates import Estimates
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.selection.key_affinity import affine_endpoint, affinity_factor
from anisespool.balancer.selection.slow_start import SlowStart

CROSS_ZONE_COST_OBJECTIVES = 20.0  # for a cost of one request's value
HANDSHAKE_COST_OBJECTIVES = 100.0  # the same; more, as endpoints with open connections have answered well
MIN_DIVISOR_LATENCIES = 1e-9


class Weights(NamedTuple):
    """Weights of a random choice."""

    by_candidate: list[float]
    no_send: float
    """Of sending to none of the candidates now."""


class CostFactors(NamedTuple):
    """By which w_i is multiplied."""

    cross_zone: float
    """At an endpoint of another zone."""
    handshake: float
    """At an endpoint without an idle connection."""


NO_COSTS = CostFactors(1.0, 1.0)


class EndpointSelector:
    """Chooses the endpoint of an attempt."""

    def __init__(self, settings: api.Settings, estimates: Estimates, random: Random) -> None:
        self._settings = settings
        self._estimates = estimates
        self._random = random
        self._has_costs = bool(settings.cross_zone_cost or settings.handshake_cost)
        self.slow_start = SlowStart(settings)

    def choose(
        self, request: PendingRequest, candidates: list[Endpoint], expected_latency_ns: float, now: int
    ) -> Endpoint | None:
        """Return one of the candidates, at random by their weights; None: none may be sent to now.

        Args:
            request: To be sent.
            candidates: Eligible endpoints, at least one.
            expected_latency_ns: Typical latency of the request.
            now: Monotonic ns.
        """
        weights = self.weights(request, candidates, expected_latency_ns, now)
        return self._random.choices([*candidates, None], [*weights.by_candidate, weights.no_send])[0]

    def weights(
        self, request: PendingRequest, candidates: list[Endpoint], expected_latency_ns: float, now: int
    ) -> Weights:
        """Return the candidates' weights, lowered by the costs that the settings name."""
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
        for endpoint in candidates:  # inline: this runs for each candidate of each attempt
            slowdown = slowdowns.slowdown(endpoint, now, class_index)
            divisor = (loads.effective_load(endpoint, now) + 1) * slowdown
            if now < endpoint.warm_at:
                divisor /= self.slow_start.update_factor(endpoint, now)
                some_warming_up = True
            elif not endpoint.idle_connections:
                # Not for one that just started: it has no connection, and would never get one.
                divisor *= costs.handshake
            if endpoint.zone != settings.zone:
                divisor *= costs.cross_zone
            if endpoint is affine:
                divisor /= affinity
            weights.append(1 / max(divisor, MIN_DIVISOR_LATENCIES))
        if not some_warming_up:
            return Weights(weights, 0.0)
        return Weights(weights, self.slow_start.cap_weights(candidates, weights, now, expected_latency_ns))

    def _cost_factors(self, target_ns: int, expected_latency_ns: float) -> CostFactors:
        """Return the factors of the settings' costs: the longer the latencies, the less they count."""
        settings = self._settings
        recent_latency_ns = expected_latency_ns * self._estimates.slowdowns.fleet_slowdown()
        cross_zone = settings.cross_zone_cost * CROSS_ZONE_COST_OBJECTIVES * target_ns / recent_latency_ns
        handshake = settings.handshake_cost * HANDSHAKE_COST_OBJECTIVES * target_ns / recent_latency_ns
        return CostFactors(1 + cross_zone, 1 + handshake)
