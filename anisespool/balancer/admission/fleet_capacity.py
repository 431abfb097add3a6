"""Concurrency of the ready endpoints, and other sidecars' requests queued there."""

from math import exp2
from typing import NamedTuple

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.slowdown import SlowdownEstimates

EXPLORATION_FACTOR = 2.0  # multiple to try of a concurrency or rate that was reached without queueing


class FleetCapacity(NamedTuple):
    """Capacity and queues of the ready endpoints."""

    concurrency: float
    """Requests served at a time: by load reports, or EXPLORATION_FACTOR times what was observed."""
    queued_by_others: float
    """Requests of other sidecars that queue there, from load reports."""


def fleet_capacity(
    ready: list[Endpoint], slowdowns: SlowdownEstimates, now: int, half_life_ns: int
) -> FleetCapacity:
    """Return the ready endpoints' capacity and queues.

    A burst slows down all endpoints, so only a slowdown above the lower quartile lowers the concurrency.
    Reported queues decay with `half_life_ns`.
    """
    ready_slowdowns = [slowdowns.slowdown(endpoint, now) for endpoint in ready]
    lower_quartile = max(1.0, sorted(ready_slowdowns)[len(ready_slowdowns) // 4]) if ready_slowdowns else 1.0
    concurrency = 0.0
    queued_by_others = 0.0
    for endpoint, slowdown in zip(ready, ready_slowdowns, strict=True):
        concurrency += _concurrency(endpoint, now) / max(1.0, slowdown / lower_quartile)
        queued_here = max(0.0, endpoint.reported_queue - len(endpoint.in_flight))
        queued_by_others += queued_here * exp2((endpoint.reported_at - now) / half_life_ns)
    return FleetCapacity(concurrency, queued_by_others)


def _concurrency(endpoint: Endpoint, now: int) -> float:
    """Return how many requests an endpoint serves at a time; fewer while it is warming up."""
    reported = endpoint.reported_concurrency
    observed = endpoint.observed_concurrency
    warm_concurrency = max(reported, observed) if reported else EXPLORATION_FACTOR * observed
    return warm_concurrency * (endpoint.slow_start_factor if now < endpoint.warm_at else 1.0)
