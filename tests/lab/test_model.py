"""The simulation: agreement with queueing theory, reproducible runs, counts, experiments and the search."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from itertools import repeat
from math import factorial
from pathlib import Path
from typing import Any

import pytest

from anisespool.lab import scenario
from anisespool.lab.experiments import Case, paired_difference, run_cases
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.model.random_streams import RandomStreams
from anisespool.lab.model.watch_delay import WatchDelay
from anisespool.lab.model.world import World
from anisespool.lab.results import Result, ResultStore
from anisespool.lab.scenario import SECOND, Scenario, from_raw
from anisespool.lab.search.findings import load_finding
from anisespool.lab.search.mutations import MUTATIONS
from anisespool.lab.search.search import search
from anisespool.lab.search.shrinking import shrink

SEEDS = (1, 2, 3, 4)
T_QUANTILE = 3.18  # Student's t for a 95 % interval from four seeds
FOUND = scenario.LIBRARY.parent / "found"
FAULT_KINDS = (
    "slow",
    "fail",
    "pause",
    "neighbour",
    "kill",
    "vanish",
    "restart",
    "drain",
    "delay",
    "reset",
    "traffic",
    "stale",
    "wipe",
    "sidecar",
)
FAULT_SIZES = {"fail": 0.5, "neighbour": 0.5}


def queueing_system(
    load: float, cores: int = 1, count: int = 1, work: str = "exponential", seconds: float = 400
) -> Scenario:
    """A scenario without network delays and queue limits, and with deadlines that no request reaches."""
    request_class = {"name": "x", "work_ms": 20, "work": work, "target_ms": 9e5, "deadline_ms": 9e5}
    return from_raw(
        {
            "seconds": seconds,
            "warm_s": 20,
            "network": {"same_ms": 0, "handshake_trips": 0},
            "traffic": {"per_s": load * cores * count * 50},
            "endpoints": [{"count": count, "cores": cores, "waiting": 100_000}],
            "classes": [request_class],
        },
        "queue",
    )


def mean_time_in_system(system: Scenario, seed: int, policy: str) -> float:
    """Mean time in system in one run, in mean service times."""
    world = World(system, seed, POLICIES[policy])
    metrics = world.run()
    assert not world.broken
    return float(metrics.latency[0].get_mean_value()) / 20_000


def time_in_system(
    system: Scenario, policy: str = "random", seeds: tuple[int, ...] = SEEDS
) -> tuple[float, float]:
    """Mean time in system over the seeds, in mean service times, and the half-width of its interval."""
    with ProcessPoolExecutor(len(seeds)) as pool:
        means = list(pool.map(mean_time_in_system, repeat(system), seeds, repeat(policy)))
    mean = sum(means) / len(means)
    variance = sum((m - mean) ** 2 for m in means) / (len(means) - 1)
    return mean, T_QUANTILE * (variance / len(means)) ** 0.5


def erlang_c(servers: int, load: float) -> float:
    """Probability that a request has to wait in M/M/c."""
    offered = servers * load
    terms = [offered**n / factorial(n) for n in range(servers)]
    last = offered**servers / factorial(servers) / (1 - load)
    return last / (sum(terms) + last)


@pytest.mark.parametrize("load", [0.5, 0.8, 0.95])
@pytest.mark.parametrize("kind", ["M/M/1", "M/D/1", "M/M/3"])
def test_time_in_system_agrees_with_theory(kind: str, load: float) -> None:
    servers = 3 if kind == "M/M/3" else 1
    wait = erlang_c(servers, load) / (servers * (1 - load))
    work = "exponential"
    if kind == "M/D/1":
        wait = load / (2 * (1 - load))
        work = "alike"
    seconds = 1500 / servers if load > 0.9 else 300
    measured, half_width = time_in_system(queueing_system(load, servers, work=work, seconds=seconds))
    # The 3 % allow for the uncertainty of an interval that is estimated from only four seeds.
    assert abs(measured - (1 + wait)) < half_width + 0.03 * (1 + wait), (measured, 1 + wait, half_width)


def test_two_choices_and_random_choice_agree_with_theory() -> None:
    system = queueing_system(0.9, count=60, seconds=12)
    two_choices, _ = time_in_system(system, "two-queue", (1, 2))
    fixed_point = sum(0.9 ** (2**n - 2) for n in range(1, 12))  # Mitzenmacher 1996, d = 2
    assert two_choices == pytest.approx(fixed_point, rel=0.06)
    random_choice, _ = time_in_system(system, "random", (1, 2))
    assert random_choice == pytest.approx(10, rel=0.25)
    assert two_choices < random_choice / 3


def with_all_faults(**changes: Any) -> Scenario:
    """A small fleet with a fault of each of FAULT_KINDS. They overlap, as one begins every half second."""
    faults = [
        {"kind": kind, "at_s": 0.5 * number, "for_s": 1, "part": 0.2, "size": FAULT_SIZES.get(kind, 3)}
        for number, kind in enumerate(FAULT_KINDS)
    ]
    raw = {
        "seconds": 9,
        "warm_s": 1,
        "sidecars": 3,
        "clients": {"tries": 3},
        "traffic": {"per_s": 300},
        "classes": [
            {"name": "a", "effect": "repeatable"},
            {"name": "b"},
            {"name": "c", "effect": "by_key"},
        ],
        "network": {"spread": 0.5},
        "troubles": faults,
    }
    return from_raw(raw | changes, "all faults")


@pytest.mark.parametrize("policy", ["ours", "random"])
def test_overlapping_faults_break_no_rule_and_counts_balance(policy: str) -> None:
    world = World(with_all_faults(), 3, POLICIES[policy])
    metrics = world.run()
    assert world.broken == "" or policy == "random"  # random choice overloads endpoints that warm up
    assert sum(metrics.requested.values()) > 2000


def digest_in_new_process(hash_seed: str) -> str:
    code = (
        "import sys; sys.path.insert(0, '.'); from tests.lab.test_model import with_all_faults; "
        "from anisespool.lab.model.world import World; "
        "world = World(with_all_faults(), 5, logged=True); world.run(); print(world.digest)"
    )
    environment = os.environ | {"PYTHONHASHSEED": hash_seed}
    command = [sys.executable, "-c", code]
    finished = subprocess.run(command, env=environment, capture_output=True, text=True, check=True)
    return finished.stdout.strip()


def test_same_seed_gives_same_log_under_another_hash_seed() -> None:
    digests = {digest_in_new_process(hash_seed) for hash_seed in ("1", "77")}
    assert len(digests) == 1
    same = World(with_all_faults(), 5, logged=True)
    same.run()
    assert digests == {same.digest}
    other = World(with_all_faults(), 6, logged=True)
    other.run()
    assert other.digest not in digests


def test_two_policies_get_the_same_arrivals() -> None:
    requested = []
    for policy in ("ours", "least-open"):
        world = World(with_all_faults(clients={"tries": 1}), 2, POLICIES[policy])
        requested.append(dict(world.run().requested))
    assert requested[0] == requested[1]


def test_counts_that_do_not_balance_void_the_run() -> None:
    world = World(with_all_faults(troubles=[]), 1)
    world.metrics.request_opened(world.clock.now)
    with pytest.raises(VoidError, match="requests sent"):
        world.run()


def test_events_of_one_moment_keep_their_order() -> None:
    clock = Clock()
    handled: list[int] = []
    for number in range(100_000):
        clock.at(5, handled.append, number)
    clock.run(5)
    assert handled == list(range(100_000))
    assert clock.events_pending == 0


@pytest.fixture
def watch_delay() -> WatchDelay:
    """The watch of one sidecar, on which each change takes a second times `delay_factor`."""
    made = with_all_faults(sidecars=1, membership={"delay_s": [1.0, 1.0]})
    return WatchDelay(made, RandomStreams(1).named("membership"))


def test_changes_of_the_endpoint_list_arrive_in_order(watch_delay: WatchDelay) -> None:
    """If a start overtook the drain before it, the drain would apply last and keep the endpoint unused."""
    watch_delay.delay_factor = 40.0
    (slow,) = watch_delay.schedule_change(0)
    watch_delay.delay_factor = 1.0
    (fast,) = watch_delay.schedule_change(0)
    assert slow.at == fast.at == 40 * SECOND
    assert watch_delay.receive_change(0, slow.revision)
    assert watch_delay.receive_change(0, fast.revision)


def test_a_complete_list_contains_the_changes_before_it(watch_delay: WatchDelay) -> None:
    (late,) = watch_delay.schedule_change(0)
    assert watch_delay.record_complete_list() > late.revision
    assert not watch_delay.receive_change(0, late.revision)


@pytest.fixture
def cases() -> list[Case]:
    short = with_all_faults(seconds=1, troubles=[])
    return [Case("x", short, policy, seed) for policy in ("ours", "random") for seed in SEEDS]


@pytest.fixture
def results(tmp_path: Path, cases: list[Case]) -> Iterator[ResultStore]:
    """Reopened store of a sweep that ended after it had stored three runs."""
    interrupted = ResultStore(tmp_path / "r.db")
    run_cases(cases[:3], interrupted, 1)
    interrupted.close()
    resumed = ResultStore(tmp_path / "r.db")
    yield resumed
    resumed.close()


def test_a_sweep_resumes_after_its_stored_runs(cases: list[Case], results: ResultStore) -> None:
    reported: list[Result] = []
    resumed = run_cases(cases, results, 2, reported.append)
    assert len(resumed) == len(reported) == 8
    assert [result.seed for result in resumed] == [*SEEDS, *SEEDS]
    assert resumed == run_cases(cases, results, 1)


@pytest.mark.parametrize(
    ("first", "second", "significant"),
    [
        ([1.0, 5.0, 9.0], [1.1, 5.1, 9.1], True),
        ([1.0, 5.0, 9.0], [1.1, 4.8, 9.1], False),
        ([1.0], [2.0], False),
    ],
)
def test_a_paired_difference_is_significant_if_it_is_consistent(
    first: list[float], second: list[float], significant: bool
) -> None:
    assert paired_difference("x", first, second).is_significant is significant


@pytest.mark.parametrize("name", sorted(MUTATIONS))
def test_the_search_finds_and_shrinks_each_mutation(name: str) -> None:
    """The limit is in runs, several times as many as a search makes in a minute, and not in time."""
    for runs, found in enumerate(search(name, 1, 1e9, clock=lambda: 0.0)):
        if found:
            break
        assert runs < 200
    assert found
    small = shrink(found, 120)
    assert small.rule == found.rule
    assert len(small.scenario.faults) <= 5
    world = World(small.scenario, small.seed, MUTATIONS[name])
    world.run()
    assert world.broken == small.description  # the replay breaks the rule with the same text


def test_a_finding_is_saved_and_loaded(tmp_path: Path) -> None:
    found = next(found for found in search("refuses-risky", 1, 1e9, clock=lambda: 0.0) if found)
    found.save(tmp_path / "find.json")
    assert load_finding(tmp_path / "find.json") == found


def test_findings_are_stored_for_ci_to_replay() -> None:
    assert len(list(FOUND.glob("*.json"))) >= 5


@pytest.mark.parametrize("path", sorted(FOUND.glob("*.json")), ids=lambda path: path.stem)
def test_a_stored_finding_breaks_no_rule_any_more(path: Path) -> None:
    found = load_finding(path)
    world = World(found.scenario, found.seed)
    world.run()
    assert not world.broken
