"""The decision module as a whole: events, log lines, determinism, bounds on state and cost."""

from __future__ import annotations

import os
import random
import re
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.balancer import Balancer
from anisespool.balancer.interface import AttemptStatus, EndpointListKind, EndpointState
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    settings,
    timers,
)

ROOT = Path(__file__).parent.parent.parent


def test_stale_and_unknown_events_do_nothing() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request())
    sidecar.outcome(send)
    assert sidecar.outcome(send) == []
    assert sidecar.outcome(api.Send(77, 1)) == []
    assert sidecar.handle(api.ClientDisconnected(send.request)) == []
    assert sidecar.handle(api.TimerExpired(4_000_000)) == []
    assert sidecar.handle(api.HealthCheckResult(99, AttemptStatus.OK, 5, (1.0,))) == []
    assert sidecar.handle(api.GossipReceived(3, 0.2, (api.EndpointObservation(99, 1.0, 0.0, 0),))) == []


def test_polled_discovery_subscribes_and_resubscribes_after_a_failure() -> None:
    balancer = Balancer(settings(discovery="ask"), 1)
    assert api.WatchEndpointList(True) in balancer.handle(
        SECOND, api.EndpointListUpdate(1, EndpointListKind.CACHED, (listed(1),))
    )
    [timer] = timers(balancer.handle(2 * SECOND, api.EndpointListUpdate(1, EndpointListKind.FAILED)))
    assert timer.delay_ns < 10 * SECOND
    actions = balancer.handle(2 * SECOND + timer.delay_ns, api.TimerExpired(timer.token))
    assert actions == [api.WatchEndpointList(True)]
    assert set(balancer.endpoints.by_id) == {1}


@pytest.mark.parametrize("allowed", [True, False])
def test_load_reports_are_pulled_only_where_health_checks_are_allowed(allowed: bool) -> None:
    balancer = Balancer(settings(allowed__probes=allowed, report__how="pull"), 1)
    started = timers(
        balancer.handle(SECOND, api.EndpointListUpdate(1, EndpointListKind.CACHED, (listed(1),)))
    )
    assert len(started) == allowed
    for timer in started:
        actions = balancer.handle(SECOND + timer.delay_ns, api.TimerExpired(timer.token))
        assert api.SendHealthCheck(1) in actions
        balancer.handle(2 * SECOND, api.HealthCheckResult(1, AttemptStatus.OK, MS, (6.0,)))
        assert balancer.endpoints.by_id[1].reported_queue == 6.0


@pytest.mark.parametrize("hint", [0, 1, 2**64 - 1])
def test_extreme_but_valid_values_do_not_raise(hint: int) -> None:
    sidecar = Sidecar([listed(1, weight=0.0), listed(2, weight=float("inf")), listed(3, weight=-1.0)])
    for left in (0, 1, 2**63):
        for send in sends(sidecar.request(left_ns=left, work_hint_ns=hint, key=2**64 - 1)):
            sidecar.outcome(send, load=(float("nan"),), latency_ns=0)
    sidecar.now += 10**17
    sidecar.request(work_hint_ns=hint)


def test_an_event_is_logged_once_per_longest_deadline() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    lines: list[str] = []
    for _ in range(200):
        sidecar.last_request += 1
        actions = sidecar.handle(api.RequestArrived(sidecar.last_request, 2, 2 * SECOND))
        for send in sends(actions):
            event = api.AttemptOutcome(send.request, send.endpoint, 0, MS, AttemptStatus.ERROR, False)
            actions += sidecar.handle(event)
        lines += [a.text for a in actions if isinstance(a, api.Log)]
        sidecar.now += 20 * MS
    assert 1 <= len(lines) <= 3
    assert re.fullmatch(r"endpoint_failing number=\d+ status=error slowdown=\d+\.\d", lines[0])


def random_run(seed: int) -> list[api.Action]:
    """Return a balancer's actions for 300 requests with random classes, keys and outcomes."""
    rng = random.Random(seed)
    sidecar = Sidecar([listed(n * 101, zone=n % 2) for n in range(1, 8)], seed=seed)
    actions_taken: list[Any] = []
    for _ in range(300):
        actions = sidecar.request(rng.randrange(3), key=rng.randrange(1 << 60))
        actions_taken += actions
        sidecar.now += rng.randrange(40) * MS
        for send in sends(actions):
            actions_taken += sidecar.outcome(
                send, rng.choice((AttemptStatus.OK, AttemptStatus.OK, AttemptStatus.ERROR))
            )
    return actions_taken


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    code = (
        "from tests.balancer.test_balancer import random_run; "
        "print(hash(tuple(map(repr, random_run(3)))) and random_run(3))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", code],
            capture_output=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
        ).stdout
        for hash_seed in ("0", "1", "77")
    }
    assert len(outputs) == 1
    assert outputs == {(repr(random_run(3)) + "\n").encode()}


def test_two_balancers_in_one_process_share_no_state() -> None:
    expected = random_run(5)
    sidecar = Sidecar([listed(1)])
    sidecar.serve(10)
    assert random_run(5) == expected


def test_state_stays_bounded() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    for number in range(3000):
        remaining, attempt = sidecar.request(key=number), 0
        while remaining:
            action = remaining.pop(0)
            if isinstance(action, api.SetTimer):
                remaining += sidecar.handle(api.TimerExpired(action.token))
            elif isinstance(action, api.Send):
                status = AttemptStatus.OK if number % 5 else AttemptStatus.RESET
                remaining += sidecar.outcome(action, status, attempt=attempt)
                attempt += 1
        sidecar.now += 10 * MS
        sidecar.update_endpoints([listed(1000 + number), listed(1000 + number - 5, state=EndpointState.GONE)])
    assert len(sidecar.balancer.endpoints.by_id) < 20
    assert len(sidecar.balancer.pending) < 20
    assert len(sidecar.balancer.timers) < 50


def test_work_per_request_is_linear_in_the_number_of_warming_endpoints() -> None:
    """After a scale-out to five times the size, most endpoints are warming up."""

    def count_calls(size: int) -> int:
        sidecar = Sidecar([listed(n, started_ns=100 * SECOND) for n in range(size)])
        calls = 0

        def count(frame: Any, event: str, arg: Any) -> None:
            nonlocal calls
            calls += 1

        sys.setprofile(count)
        try:
            for _ in range(20):
                sidecar.request()
        finally:
            sys.setprofile(None)
        return calls

    assert count_calls(400) < 6 * count_calls(100)


def test_a_fleet_of_hundreds_of_endpoints_serves_all_requests() -> None:
    sidecar = Sidecar([listed(n) for n in range(500)])
    assert len(sidecar.serve(50)) == 50
