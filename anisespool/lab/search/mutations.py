"""Mutations of the decision module: deliberate defects, each of which the search has to find.

A mutation wraps the real module. It alters the events that the module receives or the actions that it
returns.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisespool.balancer import Balancer
from anisespool.balancer import interface as api
from anisespool.balancer.interface import (
    NOT_EXECUTED,
    AttemptStatus,
    EndpointListKind,
    EndpointState,
    Settings,
)
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.model.world import World

HEDGED_REQUEST_INTERVAL = 40  # one in this many requests is hedged


class Mutation:
    """The real module without a defect; subclasses override `alter_event` or `alter_actions`.

    Attributes:
        attempted_endpoints: Endpoints to which a request was sent, in order, by request.
    """

    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        self.balancer = Balancer(settings, seed)
        self.attempted_endpoints: dict[int, list[int]] = {}

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event as the decision module does."""
        altered = self.alter_event(event)
        actions = self.balancer.handle(now, altered) if altered is not None else []
        for action in actions:
            if isinstance(action, api.Send):
                self.attempted_endpoints.setdefault(action.request, []).append(action.endpoint)
        return self.alter_actions(event, list(actions))

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Return the event to pass to the module in place of `event`, or None to drop it."""
        return event

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Return the actions to carry out in place of the module's."""
        return actions


class RetriesNonIdempotent(Mutation):
    """After a reset, a request that is not idempotent is retried instead of failed."""

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Turn each `Fail` after a reset into another attempt at the same endpoint."""
        if not isinstance(event, api.AttemptOutcome) or event.status is not AttemptStatus.RESET:
            return actions
        return [
            api.Send(action.request, self.attempted_endpoints[action.request][-1])
            if isinstance(action, api.Fail)
            else action
            for action in actions
        ]


class RejectsPossiblyExecuted(Mutation):
    """A request that may have been executed is rejected, as if a retry were harmless."""

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Turn each `Fail` into a `Reject`."""
        return [api.Reject(action.request) if isinstance(action, api.Fail) else action for action in actions]


class IgnoresDraining(Mutation):
    """Draining endpoints are treated as ready."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """List draining endpoints as ready."""
        if not isinstance(event, api.EndpointListUpdate):
            return event
        entries = tuple(
            entry._replace(state=EndpointState.READY) if entry.state == EndpointState.DRAINING else entry
            for entry in event.entries
        )
        return event._replace(entries=entries)


class IgnoresRemovedEndpoints(Mutation):
    """Endpoints that a delta removes remain in the list."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Drop the entries by which a delta removes endpoints."""
        if isinstance(event, api.EndpointListUpdate) and event.kind is EndpointListKind.DELTA:
            entries = tuple(entry for entry in event.entries if entry.state != EndpointState.GONE)
            return event._replace(entries=entries)
        return event


class TreatsFullListAsDelta(Mutation):
    """A full list removes no endpoints: requests are still sent to endpoints that it lacks."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Turn full lists into deltas."""
        if isinstance(event, api.EndpointListUpdate) and event.kind is EndpointListKind.FULL:
            return event._replace(kind=EndpointListKind.DELTA)
        return event


class NoSlowStart(Mutation):
    """No endpoint is treated as warming up."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Set the start time of every endpoint to 0, long ago."""
        if isinstance(event, api.EndpointListUpdate):
            return event._replace(entries=tuple(entry._replace(started_ns=0) for entry in event.entries))
        return event


class PrefersNewestEndpoint(Mutation):
    """The attempts of every second event go to the endpoint that started last."""

    def __init__(self, settings: Settings, seed: int, world: World) -> None:
        super().__init__(settings, seed, world)
        self.newest_endpoint = 0
        self.newest_started_ns = 0
        self.event_count = 0

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Record the endpoint that started last."""
        if isinstance(event, api.EndpointListUpdate):
            for entry in event.entries:
                if entry.started_ns > self.newest_started_ns and entry.state == EndpointState.READY:
                    self.newest_endpoint = entry.endpoint
                    self.newest_started_ns = entry.started_ns
        return event

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Redirect the attempts of every second event."""
        self.event_count += 1
        if not self.newest_endpoint or self.event_count % 2:
            return actions
        return [
            action._replace(endpoint=self.newest_endpoint) if isinstance(action, api.Send) else action
            for action in actions
        ]


class RejectsTwice(Mutation):
    """Every rejected request is rejected twice."""

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Repeat each `Reject`."""
        return actions + [action for action in actions if isinstance(action, api.Reject)]


class DropsTimers(Mutation):
    """Timers never expire: a request that waits for an endpoint is forgotten."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Drop `TimerExpired`."""
        return None if isinstance(event, api.TimerExpired) else event


class DropsTimeouts(Mutation):
    """The module receives no event when an attempt times out."""

    def alter_event(self, event: api.Event) -> api.Event | None:
        """Drop the outcomes of attempts that timed out."""
        timed_out = isinstance(event, api.AttemptOutcome) and event.status is AttemptStatus.TIMEOUT
        return None if timed_out else event


class ExceedsMaxAttempts(Mutation):
    """Requests are retried beyond the maximum number of attempts."""

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Turn each final response to an attempt that was not executed into another attempt."""
        if not isinstance(event, api.AttemptOutcome) or event.finished or event.status not in NOT_EXECUTED:
            return actions
        retry = api.Send(event.request, event.endpoint)
        return [retry if isinstance(action, api.Reject | api.Fail) else action for action in actions]


class HedgesRequests(Mutation):
    """Some requests are hedged: a second attempt starts while the first is in flight."""

    def alter_actions(self, event: api.Event, actions: list[api.Action]) -> list[api.Action]:
        """Repeat the first attempt of every fortieth request."""
        hedged = [action for action in actions if isinstance(action, api.Send) and self._is_hedged(action)]
        return actions + hedged

    def _is_hedged(self, send: api.Send) -> bool:
        is_first_attempt = len(self.attempted_endpoints[send.request]) == 1
        return is_first_attempt and send.request % HEDGED_REQUEST_INTERVAL == 0


# The keys are the mutations' names on the command line and in saved findings.
MUTATIONS: dict[str, Callable[[Settings, int, World], Any]] = {
    "resends-unsafe": RetriesNonIdempotent,
    "refuses-risky": RejectsPossiblyExecuted,
    "ignores-drains": IgnoresDraining,
    "ignores-gone": IgnoresRemovedEndpoints,
    "ignores-absence": TreatsFullListAsDelta,
    "no-cold-cap": NoSlowStart,
    "loves-the-new": PrefersNewestEndpoint,
    "answers-twice": RejectsTwice,
    "loses-timers": DropsTimers,
    "loses-timeouts": DropsTimeouts,
    "never-stops": ExceedsMaxAttempts,
    "sends-copies": HedgesRequests,
}


def policy_factory(name: str) -> Callable[[Settings, int, World], Any]:
    """Return the factory of a policy or mutation.

    Raises:
        KeyError: There is no policy or mutation with that name.
    """
    return POLICIES.get(name) or MUTATIONS[name]
