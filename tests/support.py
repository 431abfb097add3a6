"""Settings and a scripted sidecar for the tests; all values are made up."""

from __future__ import annotations

import copy
from typing import Any

from anisespool.balancer import interface as api
from anisespool.balancer.balancer import Balancer
from anisespool.balancer.deadlines import Deadlines
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.interface import Settings
from anisespool.balancer.request import PendingRequest

MS = 1_000_000
SECOND = 1_000 * MS


def raw_settings(**changes: Any) -> dict[str, Any]:
    """Return a settings object as in the platform's JSON; the change `a__b=v` sets key `b` inside `a`."""
    raw: dict[str, Any] = {
        "allowed": {
            "attempts-cap": 3,
            "cancel": True,
            "connect-timeout-ns": 100 * MS,
            "may-duplicate": True,
            "max-retry-after-ns": SECOND,
            "retry-after": True,
            "peers": False,
            "probes": False,
            "keepalive-ns": 10 * SECOND,
            "streams-per-conn": 1,
        },
        "fleet-size": 2,
        "guarantees": {
            "answer-slack-ns": 20 * MS,
            "ask-within-ns": 10 * SECOND,
            "cold-ns": 10 * SECOND,
            "drain-grace-ns": 200 * MS,
            "fall-multiple": 2.5,
            "fall-ns": SECOND,
            "start-capacity": 0.25,
        },
        "report": {"columns": ["queue"], "how": "piggyback"},
        "request-classes": [
            {"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "repeatable", "worth": 1.0},
            {
                "target-ns": 700 * MS,
                "deadline-ns": 2 * SECOND,
                "effect": "by_key",
                "worth": 2.0,
                "dedup-scope": "zone",
                "dedup-window-ns": SECOND,
            },
            {"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "worth": 5.0},
        ],
        "resolution-ns": 5 * MS,
        "zone": 0,
    }
    for path, value in changes.items():
        *parents, key = [part.replace("_", "-") for part in path.split("__")]
        section = raw
        for parent in parents:
            section = section.setdefault(parent, {})
        section[key] = value
    return copy.deepcopy(raw)


def settings(**changes: Any) -> Settings:
    return Settings.from_dict(raw_settings(**changes))


def listed(
    endpoint: int,
    *,
    weight: float = 1.0,
    cell: int = 0,
    machine_type: int = 0,
    zone: int = 0,
    state: int = api.EndpointState.READY,
    started_ns: int = 0,
) -> api.EndpointListing:
    """Return an entry of the endpoint list, ready and warm by default."""
    return api.EndpointListing(endpoint, weight, cell, machine_type, zone, state, started_ns)


class Sidecar:
    """A balancer and its endpoints; the test passes in the events and advances the time."""

    def __init__(self, listings: list[api.EndpointListing], seed: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), seed)
        self.now = 100 * SECOND
        self.update_endpoints(listings, api.EndpointListKind.CACHED)
        self.last_request = 0

    def update_endpoints(
        self, listings: list[api.EndpointListing], kind: api.EndpointListKind = api.EndpointListKind.DELTA
    ) -> list[api.Action]:
        return self.handle(api.EndpointListUpdate(1, kind, tuple(listings)))

    def handle(self, event: api.Event) -> list[api.Action]:
        return self.balancer.handle(self.now, event)

    def endpoint(self, number: int) -> Endpoint:
        return self.balancer.endpoints.by_id[number]

    def request(self, cls: int = 0, left_ns: int = 2 * SECOND, **fields: Any) -> list[api.Action]:
        """Pass the next request, of the class with index `cls`."""
        self.last_request += 1
        event = api.RequestArrived(self.last_request, cls, left_ns, **fields)
        return without_logs(self.balancer.handle(self.now, event))

    def outcome(
        self,
        send: api.Send,
        status: api.AttemptStatus = api.AttemptStatus.OK,
        *,
        attempt: int = 0,
        latency_ns: int = 50 * MS,
        finished: bool | None = None,
        load: tuple[float, ...] = (0.0,),
    ) -> list[api.Action]:
        """Pass an attempt's outcome to the balancer."""
        done = status is api.AttemptStatus.OK if finished is None else finished
        event = api.AttemptOutcome(send.request, send.endpoint, attempt, latency_ns, status, done, load)
        return without_logs(self.balancer.handle(self.now, event))

    def serve(self, count: int, latency_ns: int = 50 * MS, cls: int = 0) -> list[int]:
        """Serve requests one after another; return the endpoints selected."""
        chosen = []
        for _ in range(count):
            for send in sends(self.request(cls)):
                chosen.append(send.endpoint)
                self.now += latency_ns
                self.outcome(send, latency_ns=latency_ns)
        return chosen


def without_logs(actions: list[api.Action]) -> list[api.Action]:
    """Return the actions other than log lines."""
    return [a for a in actions if not isinstance(a, api.Log)]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def finals(actions: list[api.Action]) -> list[api.Action]:
    """Return the final answers among the actions."""
    return [a for a in actions if isinstance(a, api.Reject | api.Fail)]


def timers(actions: list[api.Action]) -> list[api.SetTimer]:
    """Return the timers set by the actions."""
    return [a for a in actions if isinstance(a, api.SetTimer)]


def pending_request(sidecar: Sidecar) -> PendingRequest:
    """Return a request of the first class that arrives at `sidecar` now."""
    event = api.RequestArrived(10**6, 0, 2 * SECOND)
    request_class = sidecar.balancer.settings.classes[0]
    deadlines = Deadlines(event, request_class, 0, sidecar.now)
    return PendingRequest(event, request_class, deadlines, sidecar.now, 0)


def share(chosen: list[int], endpoint: int) -> float:
    return chosen.count(endpoint) / len(chosen)
