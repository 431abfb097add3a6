"""Policies to compare with the real module: the same interface, simple, and without admission control."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.interface import (
    NOT_EXECUTED,
    AttemptStatus,
    EndpointListKind,
    EndpointState,
    Idempotency,
    Settings,
)
from anisespool.lab.model.world import World, make_balancer

EWMA_WEIGHT = 0.3  # of the latest latency


class OpenRequest(NamedTuple):
    """A request without its final response."""

    event: api.RequestArrived
    attempts: int
    deadline: int  # ns


class SimplePolicy:
    """Sends by `choose`, and retries where that is harmless.

    Attributes:
        ready: Endpoints in the list that are ready, in order.
        in_flight: Open attempts, by endpoint.
        open: Requests without a final response, by id.
        latency_ewma: Of successful attempts, ns, by endpoint.
        now: The present moment, ns.
    """

    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.world = world
        self.ready: list[int] = []
        self.in_flight: dict[int, int] = {}
        self.open: dict[int, OpenRequest] = {}
        self.latency_ewma: dict[int, float] = {}
        self.now = 0

    def choose(self) -> int:
        """One of the ready endpoints."""
        raise NotImplementedError

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Decides what to do after an event, as the real module does."""
        self.now = now
        if isinstance(event, api.RequestArrived):
            self.open[event.request] = OpenRequest(event, 0, now + event.remaining_ns)
            return self._send(event.request)
        if isinstance(event, api.AttemptOutcome):
            return self._ended(event)
        if isinstance(event, api.EndpointListUpdate):
            self._update_endpoints(event)
        return []

    def _update_endpoints(self, update: api.EndpointListUpdate) -> None:
        ready = set(self.ready) if update.kind is EndpointListKind.DELTA else set()
        for listing in update.entries:
            if listing.state == EndpointState.READY:
                ready.add(listing.endpoint)
            else:
                ready.discard(listing.endpoint)
        self.ready = sorted(ready)

    def _send(self, request: int) -> list[api.Action]:
        known = self.open[request]
        if not self.ready:
            del self.open[request]
            return [api.Reject(request)]
        endpoint = self.choose()
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.open[request] = known._replace(attempts=known.attempts + 1)
        return [api.Send(request, endpoint)]

    def _ended(self, event: api.AttemptOutcome) -> list[api.Action]:
        self.in_flight[event.endpoint] -= 1
        if event.status is AttemptStatus.OK:
            before = self.latency_ewma.get(event.endpoint, float(event.latency_ns))
            self.latency_ewma[event.endpoint] = before + EWMA_WEIGHT * (event.latency_ns - before)
        known = self.open.get(event.request)
        if event.finished or known is None:
            self.open.pop(event.request, None)
            return []
        request_class = self.settings.classes[known.event.class_index]
        idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        harmless = idempotent or event.status in NOT_EXECUTED
        if harmless and known.attempts < self.settings.max_attempts and self.now < known.deadline:
            return self._send(event.request)
        del self.open[event.request]
        return [api.Reject(event.request) if harmless else api.Fail(event.request)]


class RandomPick(SimplePolicy):
    """Any endpoint, at random."""

    def choose(self) -> int:
        """One of the ready endpoints."""
        return self.random.choice(self.ready)


class RoundRobin(SimplePolicy):
    """One endpoint after the other."""

    turn = 0

    def choose(self) -> int:
        """One of the ready endpoints."""
        self.turn += 1
        return self.ready[self.turn % len(self.ready)]


class LeastOpen(SimplePolicy):
    """The endpoint with the fewest open attempts of this sidecar."""

    def choose(self) -> int:
        """One of the ready endpoints."""
        return min(
            self.ready,
            key=lambda endpoint: (self.in_flight.get(endpoint, 0), self.random.random()),
        )


class TwoByEwma(SimplePolicy):
    """Of two at random, the one with the lower mean latency times open attempts."""

    def choose(self) -> int:
        """One of the ready endpoints."""
        pair = self.random.choice(self.ready), self.random.choice(self.ready)
        return min(pair, key=self._cost)

    def _cost(self, endpoint: int) -> float:
        return self.latency_ewma.get(endpoint, 0.0) * (self.in_flight.get(endpoint, 0) + 1)


class TwoByQueue(SimplePolicy):
    """Of two at random, the one with fewer requests. It sees the endpoints themselves: for theory alone."""

    def choose(self) -> int:
        """One of the ready endpoints."""
        pair = self.random.choice(self.ready), self.random.choice(self.ready)
        return min(pair, key=self._requests_at)

    def _requests_at(self, number: int) -> int:
        endpoint = self.world.endpoints[number - 1]
        return endpoint.busy_cores + len(endpoint.waiting)


class SeesAll(SimplePolicy):
    """Where the request would be finished first, by what no sidecar can see."""

    def choose(self) -> int:
        """One of the ready endpoints."""
        return min(self.ready, key=lambda number: (self._wait(number), number))

    def _wait(self, number: int) -> float:
        endpoint = self.world.endpoints[number - 1]
        if endpoint.faults.dead or endpoint.faults.vanished:
            return float("inf")
        requests = endpoint.busy_cores + len(endpoint.waiting) + 1
        return max(1.0, requests / endpoint.spec.cores) / endpoint.core_speed(self.now)


POLICIES: dict[str, Callable[[Settings, int, World], Any]] = {
    "ours": make_balancer,
    "random": RandomPick,
    "round-robin": RoundRobin,
    "least-open": LeastOpen,
    "two-ewma": TwoByEwma,
    "two-queue": TwoByQueue,
    "sees-all": SeesAll,
}
