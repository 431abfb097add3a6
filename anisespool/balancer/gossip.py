"""Gossip to other sidecars: its schedule, recipients and content.

In a large fleet, a single sidecar gets too few samples of any endpoint.
"""

from __future__ import annotations

from heapq import nlargest
from random import Random

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint

GOSSIP_FANOUT_INSTANCES = 4  # sidecars that each round of gossip is sent to


class GossipSender:
    """Makes gossip messages: each has the queueing ratio, the first one also observations of endpoints."""

    def __init__(self, settings: api.Settings, interval_ns: int, random: Random) -> None:
        self._is_enabled = settings.may_gossip and settings.fleet_size > 1
        self._own_index = settings.self_index
        self._fleet_size = settings.fleet_size
        self._interval_ns = interval_ns
        self._random = random
        self._sent_at = 0

    def is_due(self, now: int) -> bool:
        """Return whether gossip is allowed and the interval has passed."""
        return self._is_enabled and now - self._sent_at >= self._interval_ns

    def messages(self, ready: list[Endpoint], queueing_ratio: float, now: int) -> list[api.SendGossip]:
        """Return messages to random sidecars, with the most recently sampled endpoints; start an interval."""
        self._sent_at = now
        peers = [self._random_peer() for _ in range(GOSSIP_FANOUT_INSTANCES)]
        recent = nlargest(api.MAX_OBSERVED_ENDPOINTS, ready, key=lambda e: e.slowdown_at)
        observations = tuple(_observation(e, now) for e in recent if e.slowdown_at)
        first = api.SendGossip(peers[0], queueing_ratio, observations)
        return [first, *(api.SendGossip(peer, queueing_ratio) for peer in peers[1:])]

    def _random_peer(self) -> int:
        return (self._own_index + self._random.randrange(1, self._fleet_size)) % self._fleet_size


def _observation(endpoint: Endpoint, now: int) -> api.EndpointObservation:
    age_ns = now - endpoint.slowdown_at
    return api.EndpointObservation(endpoint.id, endpoint.slowdown, endpoint.reported_queue, age_ns)
