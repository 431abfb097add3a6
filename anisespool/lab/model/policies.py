"""Simple policies without admission control, for comparison with the real decision module."""

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

EWMA_WEIGHT = 0.3  # weight of the latest latency in the smoothed one


class OpenRequest(NamedTuple):
    """A request without its final response. The deadline is in ns."""

    event: api.RequestArrived
    attempts: int
    deadline: int


class SimplePolicy:
    """Sends each attempt to the endpoint that `choose` returns, and retries if that is harmless.

    Attributes:
        ready: Ids of the ready endpoints, sorted.
        in_flight: Number of open attempts, by endpoint.
        open: Requests without a final response, by id.
        latency_ewma: Smoothed latency of successful attempts, by endpoint, ns.
        now: The current time, ns.
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
        """Returns a ready endpoint."""
        raise NotImplementedError

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Returns the actions that follow from an event, as the real module does."""
        self.now = now
        if isinstance(event, api.RequestArrived):
            self.open[event.request] = OpenRequest(event, 0, now + event.remaining_ns)
            return self._send(event.request)
        if isinstance(event, api.AttemptOutcome):
            return self._handle_outcome(event)
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
        request_state = self.open[request]
        if not self.ready:
            del self.open[request]
            return [api.Reject(request)]
        endpoint = self.choose()
        self.in_flight[endpoint] = self.in_flight.get(endpoint, 0) + 1
        self.open[request] = request_state._replace(attempts=request_state.attempts + 1)
        return [api.Send(request, endpoint)]

    def _handle_outcome(self, event: api.AttemptOutcome) -> list[api.Action]:
        self.in_flight[event.endpoint] -= 1
        if event.status is AttemptStatus.OK:
            previous = self.latency_ewma.get(event.endpoint, float(event.latency_ns))
            self.latency_ewma[event.endpoint] = previous + EWMA_WEIGHT * (event.latency_ns - previous)
        request_state = self.open.get(event.request)
        if event.finished or request_state is None:
            self.open.pop(event.request, None)
            return []
        request_class = self.settings.classes[request_state.event.class_index]
        idempotent = request_class.idempotency is Idempotency.IDEMPOTENT
        harmless = idempotent or event.status in NOT_EXECUTED
        if (
            harmless
            and request_state.attempts < self.settings.max_attempts
            and self.now < request_state.deadline
        ):
            return self._send(event.request)
        del self.open[event.request]
        return [api.Reject(event.request) if harmless else api.Fail(event.request)]


class RandomPick(SimplePolicy):
    """Chooses a random endpoint."""

    def choose(self) -> int:
        """Returns a ready endpoint."""
        return self.random.choice(self.ready)


class RoundRobin(SimplePolicy):
    """Chooses the endpoints in turn."""

    turn = 0

    def choose(self) -> int:
        """Returns a ready endpoint."""
        self.turn += 1
        return self.ready[self.turn % len(self.ready)]


class LeastOutstanding(SimplePolicy):
    """Chooses the endpoint with the fewest open attempts of this sidecar."""

    def choose(self) -> int:
        """Returns a ready endpoint."""
        return min(
            self.ready,
            key=lambda endpoint: (self.in_flight.get(endpoint, 0), self.random.random()),
        )


class TwoChoicesByEwma(SimplePolicy):
    """Chooses, of two random endpoints, the one with the lower smoothed latency times open attempts."""

    def choose(self) -> int:
        """Returns a ready endpoint."""
        pair = self.random.choice(self.ready), self.random.choice(self.ready)
        return min(pair, key=self._cost)

    def _cost(self, endpoint: int) -> float:
        return self.latency_ewma.get(endpoint, 0.0) * (self.in_flight.get(endpoint, 0) + 1)


class TwoChoicesByQueue(SimplePolicy):
    """Chooses, of two random endpoints, the one with fewer requests, by counts that no real sidecar has.

    Queueing theory has results for this policy, with which tests compare the simulation.
    """

    def choose(self) -> int:
        """Returns a ready endpoint."""
        pair = self.random.choice(self.ready), self.random.choice(self.ready)
        return min(pair, key=self._requests_at)

    def _requests_at(self, endpoint_id: int) -> int:
        endpoint = self.world.endpoints[endpoint_id - 1]
        return endpoint.busy_cores + len(endpoint.waiting)


class EarliestFinish(SimplePolicy):
    """Chooses the endpoint expected to finish the request first, by state that no real sidecar has."""

    def choose(self) -> int:
        """Returns a ready endpoint."""
        return min(self.ready, key=lambda endpoint_id: (self._finish_time(endpoint_id), endpoint_id))

    def _finish_time(self, endpoint_id: int) -> float:
        endpoint = self.world.endpoints[endpoint_id - 1]
        if endpoint.faults.dead or endpoint.faults.vanished:
            return float("inf")
        requests = endpoint.busy_cores + len(endpoint.waiting) + 1
        return max(1.0, requests / endpoint.spec.cores) / endpoint.core_speed(self.now)


POLICIES: dict[str, Callable[[Settings, int, World], Any]] = {
    "ours": make_balancer,
    "random": RandomPick,
    "round-robin": RoundRobin,
    "least-open": LeastOutstanding,
    "two-ewma": TwoChoicesByEwma,
    "two-queue": TwoChoicesByQueue,
    "sees-all": EarliestFinish,
}
