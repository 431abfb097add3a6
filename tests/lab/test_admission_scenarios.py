"""Admission in the simulation: bursts, steps, overload, slow, warming up and failing endpoints, recovery."""

from __future__ import annotations

from collections import Counter
from typing import Any

import pytest

from anisespool.lab.model.world import World
from anisespool.lab.scenario import from_raw

QUIET = 0  # index of the class of the steady traffic
BURST = 1  # index of the class of bursts
HOUR_S = 3600
NON_IDEMPOTENT_ONLY = [{"name": "send-one"}]


class AdmissionRun:
    """A run that breaks no rule. Ten endpoints of three cores execute 600 requests of 20 ms in 400 ms."""

    def __init__(self, seed: int = 1, sidecars: int = 1, per_s: float = 10.0, **changes: Any) -> None:
        print(f"seed {seed}")  # shown when a test fails
        raw = {
            "warm_s": 10.0,
            "seconds": 4.0,
            "sidecars": sidecars,
            "traffic": {"per_s": per_s},
            "classes": [{"name": "quiet", "effect": "repeatable"}, {"name": "burst", "share": 1e-9}],
            "membership": {"weights": "none"},
        }
        world = World(from_raw(raw | changes, "admission"), seed)
        self.metrics = world.run()
        assert not world.broken

    def outcomes(self, class_index: int = BURST, start: int = 0, end: int = 10**9) -> Counter[str]:
        """Outcomes of a class's requests that arrived in a span of seconds; "all" is their number."""
        found = Counter[str]()
        for second, window in self.metrics.windows.items():
            if not start <= second < end:
                continue
            for (of_class, outcome), count in window.items():
                if of_class == class_index:
                    found.update({outcome: count, "all": count})
        return found


def burst(count: int, at_s: float = 0.5) -> dict[str, Any]:
    return {"at_s": at_s, "count": count, "cls": BURST}


def fault(kind: str, at_s: float, **more: Any) -> dict[str, Any]:
    return {"kind": kind, "at_s": at_s} | more


@pytest.mark.parametrize("size", [8, 16, 32, 64, 128])
@pytest.mark.parametrize("slow", [0, 1])
def test_a_burst_to_an_idle_fleet_is_served(size: int, slow: int) -> None:
    groups = [{"count": 10 - slow}, *[{"count": 1, "speed": 0.2}] * slow]
    found = AdmissionRun(bursts=[burst(size)], endpoints=groups).outcomes()
    assert found["all"] == size
    assert found["refused"] <= 0.02 * size
    assert found["late"] + found["failed"] <= (0.06 * size if slow else 0)  # on the slow endpoint


@pytest.mark.parametrize(("sidecars", "size"), [(1, 64), (1, 128), (5, 100)])
def test_the_first_burst_after_a_start_is_served(sidecars: int, size: int) -> None:
    found = AdmissionRun(sidecars=sidecars, per_s=0.0, bursts=[burst(size)]).outcomes()
    assert found["in_time"] == size


@pytest.mark.parametrize("sidecars", [1, 5])
def test_a_burst_after_an_idle_hour_is_served(sidecars: int) -> None:
    idle = fault("traffic", 0, for_s=HOUR_S, size=1e-9)
    run = AdmissionRun(
        sidecars=sidecars, seconds=HOUR_S + 5, troubles=[idle], bursts=[burst(128, HOUR_S + 1)]
    )
    found = run.outcomes()
    assert found["refused"] <= 0.02 * 128
    assert not found["late"]


def test_a_burst_beyond_capacity_is_rejected_in_part_and_nothing_is_late() -> None:
    run = AdmissionRun(seconds=16, bursts=[burst(2000), burst(128, 12.5)])
    beyond = run.outcomes(end=10)
    assert beyond["in_time"] > 300
    assert beyond["late"] + beyond["failed"] < 10
    recovered = run.outcomes(start=10)
    assert recovered["refused"] <= 13
    assert not recovered["late"]


def test_few_requests_are_late_when_five_sidecars_get_a_burst_together() -> None:
    found = AdmissionRun(sidecars=5, bursts=[burst(1000)]).outcomes()
    assert found["late"] < 50
    assert found["in_time"] > 250


@pytest.mark.parametrize("sidecars", [1, 5])
def test_a_burst_overloads_no_endpoint_while_a_third_of_the_fleet_warms_up(sidecars: int) -> None:
    """Work of three times its current capacity in 1.5 s would overload an endpoint, which then stays down."""
    faults = [fault("restart", 0, endpoints=[0, 1, 2]), fault("traffic", 4, for_s=5, size=90)]
    found = AdmissionRun(sidecars=sidecars, seconds=10, bursts=[burst(96, 1.5)], troubles=faults).outcomes()
    assert found["late"] + found["failed"] <= 0.05 * 96


def test_a_step_within_capacity_is_served_soon() -> None:
    step = fault("traffic", 0, for_s=6, size=90)  # 900 per second, with a capacity of 1,500
    run = AdmissionRun(sidecars=3, seconds=6, troubles=[step])
    first = run.outcomes(QUIET, 0, 1)
    assert first["refused"] <= 0.02 * first["all"]
    later = run.outcomes(QUIET, 1)
    assert later["in_time"] >= 0.99 * later["all"] > 4000


@pytest.mark.parametrize("load_factor", [1.1, 1.4, 2.0])
def test_long_overload_keeps_goodput_and_recovers(load_factor: float) -> None:
    """The requests are not idempotent, and the simulation checks that none is executed twice."""
    faults = [fault("traffic", 0, for_s=6, size=load_factor * 150), fault("traffic", 8, for_s=5, size=30)]
    run = AdmissionRun(sidecars=3, seconds=13, classes=NON_IDEMPOTENT_ONLY, troubles=faults)
    overloaded = run.outcomes(QUIET, 1, 6)
    assert overloaded["in_time"] >= 0.85 * 1500 * 5
    assert overloaded["late"] + overloaded["failed"] <= 0.02 * overloaded["all"]
    recovered = run.outcomes(QUIET, 8)
    assert recovered["in_time"] >= 0.99 * recovered["all"] > 1000  # from 2 s after the overload


def test_admission_follows_a_fleet_that_slows_to_a_third() -> None:
    slow = fault("slow", 1, for_s=9, size=3, part=1)  # leaves a capacity of 500 per second
    high = fault("traffic", 0, for_s=4, size=120)
    later = AdmissionRun(seconds=6, classes=NON_IDEMPOTENT_ONLY, troubles=[high, slow]).outcomes(QUIET, 2, 4)
    assert later["late"] + later["failed"] < 0.08 * later["all"]
    assert later["in_time"] > 0.7 * 500 * 2


def test_a_burst_is_served_when_load_reports_never_change() -> None:
    found = AdmissionRun(reports={"every_ms": [1e9, 1e9]}, bursts=[burst(128)]).outcomes()
    assert found["refused"] <= 13
    assert not found["late"]


def test_endpoints_that_fail_fast_do_not_count_as_capacity() -> None:
    failing = fault("fail", 0, for_s=5, part=1, size=1.0)
    run = AdmissionRun(seconds=15, per_s=200.0, classes=NON_IDEMPOTENT_ONLY, troubles=[failing])
    assert not run.outcomes(QUIET, 0, 5)["in_time"]
    recovered = run.outcomes(QUIET, 7)
    assert recovered["in_time"] >= 0.98 * recovered["all"] > 1000


def test_most_retries_after_a_retry_after_are_served() -> None:
    retries = Counter[bool]()
    for seed in range(1, 5):
        run = AdmissionRun(
            seed,
            seconds=12,
            classes=[{"name": "safe", "effect": "repeatable"}],
            bursts=[{"at_s": 0.5, "count": 700, "every_s": 4.0}],
            clients={"tries": 2},
        )
        retries += run.metrics.retry_after_outcomes
    assert sum(retries.values()) > 400
    assert retries[True] >= 0.8 * sum(retries.values())
