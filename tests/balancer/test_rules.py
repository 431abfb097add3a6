"""Random event sequences, checked against the four rules by anisespool/lab/model/checker.py."""

from __future__ import annotations

import random
from heapq import heappop, heappush
from itertools import count
from typing import Any

from hypothesis import HealthCheck, given, settings, strategies

from anisespool.balancer import interface as api
from anisespool.balancer.balancer import Balancer
from anisespool.balancer.interface import AttemptStatus, EndpointState
from anisespool.lab.model.checker import Checker
from tests.support import MS, SECOND, raw_settings

TICK = 5 * MS
STATUSES = list(AttemptStatus)


class RandomEventDriver:
    """Passes random valid events to a balancer and a checker: requests, outcomes, endpoint lists, timers."""

    def __init__(self, seed: int, cfg: api.Settings, length_ns: int) -> None:
        self.rng = random.Random(seed)
        self.cfg = cfg
        self.checker = Checker(cfg)
        self.balancer = Balancer(cfg, seed)
        self.now = self.rng.choice((10 * SECOND, 10**15))
        self.end = self.now + length_ns
        self.sequence = count()
        self.queue: list[tuple[int, int, str, Any]] = []
        self.request_ids = count(1)
        self.in_flight: dict[tuple[int, int], api.Send] = {}
        self.outcome_mix = self.rng.choice(("ok", "errors", "silent", "mixed"))

    def schedule(self, at: int, kind: str, data: Any = None) -> None:
        """Queue an event for the first tick from `at` on."""
        heappush(self.queue, (-(-at // TICK) * TICK, next(self.sequence), kind, data))

    def run(self) -> Checker:
        self.deliver(api.EndpointListUpdate(1, api.EndpointListKind.CACHED, tuple(self.random_listings())))
        self.schedule(self.now + TICK, "arrival")
        self.schedule(self.now + SECOND, "endpoint_list")
        self.schedule(self.now + SECOND, "gossip")
        while self.queue:
            at, _, kind, data = heappop(self.queue)
            if at > self.end + 10 * SECOND and not self.in_flight and kind == "timer":
                break
            self.now = max(self.now, at)
            self.checker.check_all_answered(self.now)
            getattr(self, "on_" + kind)(data)
        self.checker.check_all_answered(self.now + 60 * SECOND)
        assert not self.balancer.pending, "finished requests are still pending"
        assert not self.balancer.ordering.queues, "ordering keys without requests still have queues"
        return self.checker

    def random_listings(self) -> list[api.EndpointListing]:
        rng = self.rng
        started = (0, self.now, self.now - SECOND)
        return [
            api.EndpointListing(
                n * 7919,
                rng.choice((0.0, 1.0, 4.0)),
                n % 3,
                rng.randrange(2),
                n % 2,
                rng.choice((0, 1, 1, 1, 2)),
                rng.choice(started),
            )
            for n in rng.sample(range(1, 9), rng.randrange(0, 8))
        ]

    def deliver(self, event: api.Event) -> None:
        self.checker.observe(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.checker.check(self.now, actions)
        for action in actions:
            if isinstance(action, api.Send):
                self.on_send(action)
            elif isinstance(action, api.SetTimer):
                self.schedule(self.now + max(action.delay_ns, TICK), "timer", action.token)
            elif isinstance(action, api.Cancel):
                self.schedule(self.now + TICK, "cancelled", (action.request, action.attempt))

    def on_send(self, send: api.Send) -> None:
        record = self.checker.requests[send.request]
        attempt = len(record.attempts) - 1
        self.in_flight[send.request, attempt] = send
        limit = min(self.now + send.timeout_ns, record.deadline) if send.timeout_ns else record.deadline
        self.schedule(limit, "outcome", (send.request, attempt, AttemptStatus.TIMEOUT))
        status = self.random_status()
        if status is not None:
            delay_ns = self.rng.choice((1, 30, 200, 900)) * MS
            if self.now + delay_ns < limit:
                self.schedule(self.now + delay_ns, "outcome", (send.request, attempt, status))

    def random_status(self) -> AttemptStatus | None:
        if self.outcome_mix == "ok":
            return AttemptStatus.OK
        if self.outcome_mix == "silent":
            return None
        weights = (5, 1, 2, 0, 2, 2, 0, 0) if self.outcome_mix == "errors" else (2, 4, 1, 0, 1, 1, 0, 0)
        return self.rng.choices(STATUSES, weights)[0]

    def on_arrival(self, _: Any) -> None:
        if self.now >= self.end:
            return
        rng = self.rng
        remaining_ns = rng.choice((0, TICK, 300 * MS, 2 * SECOND))
        hint = rng.choice((None, 0, 30 * MS, 2**63))
        class_index = rng.randrange(len(self.cfg.classes))
        request = api.RequestArrived(
            next(self.request_ids), class_index, remaining_ns, hint, rng.choice((0, 5, 2**64 - 1))
        )
        self.schedule(self.now + rng.choice((TICK, 20 * MS, 400 * MS)), "arrival")
        self.deliver(request)
        record = self.checker.requests[request.request]
        if rng.random() < 0.1:
            self.schedule(self.now + 50 * MS, "disconnect", request.request)
        self.schedule(record.deadline + TICK, "deadline", request.request)

    def on_disconnect(self, request: int) -> None:
        if not self.checker.requests[request].answered:
            self.deliver(api.ClientDisconnected(request))

    def on_deadline(self, request: int) -> None:
        record = self.checker.requests[request]
        assert record.answered or any(c.open for c in record.attempts), (
            "rule 1: neither answered nor in flight at its deadline"
        )

    def on_cancelled(self, attempt: tuple[int, int]) -> None:
        self.on_outcome((*attempt, AttemptStatus.CANCELLED))

    def on_outcome(self, data: tuple[int, int, AttemptStatus]) -> None:
        request, attempt, status = data
        send = self.in_flight.pop((request, attempt), None)
        if send is None:
            return
        finished = self.checker.requests[request].answered or status is AttemptStatus.OK
        latency = self.now - self.checker.requests[request].attempts[attempt].sent_at
        load = self.rng.choice(((), (0.0,), (9.0,), (float("nan"),), (float("inf"),), (-1.0,)))
        self.deliver(api.AttemptOutcome(request, send.endpoint, attempt, latency, status, finished, load))

    def on_endpoint_list(self, _: Any) -> None:
        kind = self.rng.choice(
            (api.EndpointListKind.DELTA, api.EndpointListKind.FULL, api.EndpointListKind.FAILED)
        )
        listings = () if kind is api.EndpointListKind.FAILED else tuple(self.random_listings())
        if kind is not api.EndpointListKind.DELTA:
            listings = tuple(row for row in listings if row.state != EndpointState.GONE)
        if self.now < self.end:
            self.schedule(self.now + self.rng.choice((TICK, SECOND)), "endpoint_list")
        self.deliver(api.EndpointListUpdate(2, kind, listings))

    def on_gossip(self, _: Any) -> None:
        rng = self.rng
        slowdown, queue = rng.choice((0.1, 1.0, 50.0)), rng.choice((0.0, 9.0))
        observations = [
            api.EndpointObservation(n * 7919, slowdown, queue, rng.randrange(SECOND)) for n in range(1, 9)
        ]
        if self.now < self.end and self.cfg.may_gossip:
            self.schedule(self.now + rng.choice((TICK, SECOND)), "gossip")
            self.deliver(api.GossipReceived(1, rng.random(), tuple(observations)))

    def on_timer(self, token: int) -> None:
        self.deliver(api.TimerExpired(token))


@settings(max_examples=150, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(
    seed=strategies.integers(0, 2**32),
    dedup_scope=strategies.sampled_from(["all", "zone", "cell"]),
    may_hedge=strategies.booleans(),
    may_cancel=strategies.booleans(),
    max_attempts=strategies.integers(1, 5),
    dedup_window_ns=strategies.sampled_from([50 * MS, 400 * MS, 5 * SECOND]),
    late_weight=strategies.sampled_from([0.0, 0.3]),
    may_gossip=strategies.booleans(),
    in_order=strategies.sampled_from([(), (2,), (0, 1, 2)]),
    settle_ns=strategies.sampled_from([0, 100 * MS, SECOND]),
)
def test_the_rules_hold_for_any_valid_events(
    seed: int,
    dedup_scope: str,
    may_hedge: bool,
    may_cancel: bool,
    max_attempts: int,
    dedup_window_ns: int,
    late_weight: float,
    may_gossip: bool,
    in_order: tuple[int, ...],
    settle_ns: int,
) -> None:
    raw = raw_settings(
        allowed__may_duplicate=may_hedge,
        allowed__cancel=may_cancel,
        allowed__attempts_cap=max_attempts,
        allowed__peers=may_gossip,
        guarantees__order_settle_ns=settle_ns,
    )
    raw["request-classes"][1].update({"dedup-scope": dedup_scope, "dedup-window-ns": dedup_window_ns})
    for request_class in raw["request-classes"]:
        request_class["late-worth"] = late_weight
    for index in in_order:
        raw["request-classes"][index]["in-order"] = True
    checker = RandomEventDriver(seed, api.Settings.from_dict(raw), 8 * SECOND).run()
    assert checker.requests
