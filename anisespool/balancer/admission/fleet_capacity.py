"""What the endpoints can serve at a time, and what queues there already."""

from math import exp2
from typing import NamedTuple

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.slowdown import SlowdownEstimates

EXPLORATION_FACTOR = 2.0  # what was observed without queueing may be exceeded by as much at a time


class FleetCapacity(NamedTuple):
    """What the ready endpoints show."""

    concurrency: float
    """Requests that they serve at a time: by load reports, or a step beyond what was observed."""
    queued_by_others: float
    """Requests of other sidecars that queue there, by load reports."""


def fleet_capacity(
    ready: list[Endpoint], slowdowns: SlowdownEstimates, now: int, half_life_ns: int
) -> FleetCapacity:
    """Return the capacity of the endpoints as this sidecar would use them now.

    In a burst all answers queue: only a slowdown beyond that of the fastest quarter lowers the capacity.

    Args:
        ready: The endpoints that may be sent to.
        slowdowns: Their estimates.
        now: Monotonic ns.
        half_life_ns: With which reported queues decay.
    """
    by_endpoint = [slowdowns.slowdown(endpoint, now) for endpoint in ready]
    typical = max(1.0, sorted(by_endpoint)[len(by_endpoint) // 4]) if by_endpoint else 1.0
    concurrency = 0.0
    queued_by_others = 0.0
    for endpoint, slowdown in zip(ready, by_endpoint, strict=True):
        concurrency += _concurrency(endpoint, now) / max(1.0, slowdown / typical)
        by_others = max(0.0, endpoint.reported_queue - len(endpoint.in_flight))
        queued_by_others += by_others * exp2((endpoint.reported_at - now) / half_life_ns)
    return FleetCapacity(concurrency, queued_by_others)


def _concurrency(endpoint: Endpoint, now: int) -> float:
    """Return how many requests an endpoint serves at a time, less while it is warming up."""
    reported = endpoint.reported_concurrency
    observed = endpoint.observed_concurrency
    served = max(reported, observed) if reported else EXPLORATION_FACTOR * observed
    return served * (endpoint.slow_start_factor if now < endpoint.warm_at else 1.0)
