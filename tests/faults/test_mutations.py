"""Runs with several processes and faults between them detect deliberate breaks of the program.

Each mutation runs in the same scenario as the unchanged program, which must keep every rule and statement.
The tests assert verdicts, which are the same every time, and not figures.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any

import pytest

from anisespool.fakes import gossip_process
from anisespool.lab.live import live_run, statements
from anisespool.lab.live.history import History, join
from anisespool.lab.live.live_run import LiveRunResult
from anisespool.lab.live.mutated_sidecar import MUTATIONS
from anisespool.lab.scenario import Scenario, from_raw
from tests.harness.void_runs import play_all

SEED = 4
AT_ONCE = 4
SIDECAR_SCENARIO: dict[str, Any] = {
    "seconds": 7,
    "warm_s": 1,
    "sidecars": 8,
    "rules": {"cold_s": 6.0},
    "clients": {"tries": 2},
    "endpoints": [{"count": 4, "cores": 3}, {"count": 4, "cores": 3, "zone": 1}],
    "classes": [
        {"name": "look", "effect": "repeatable", "work_ms": 20, "deadline_ms": 500, "target_ms": 400},
        {"name": "send-one", "work_ms": 30, "work": "exponential", "deadline_ms": 800},
    ],
    "traffic": {"per_s": 160},
    "membership": {"delay_s": [0.05, 0.2]},
    "links": [{"at_s": 0.3, "for_s": 0.8, "from": "endpoints", "to": "sidecars", "cut": "reset"}],
    "troubles": [
        {"kind": "drain", "endpoints": [0], "at_s": 1.5, "for_s": 1.5},
        {"kind": "kill", "endpoints": [5], "at_s": 1.6, "for_s": 0.5},
        {"kind": "freeze", "sidecars": [0, 1], "at_s": 3.6, "for_s": 1.6},
    ],
    "statements": [{"says": "views-agree", "from_s": 6.2}, {"says": "served", "share": 0.9, "from_s": 6}],
}
GOSSIP_SCENARIO: dict[str, Any] = {
    "plays": "talkers",
    "seconds": 13,
    "warm_s": 2,
    "sidecars": 9,
    "budget": 90,
    "endpoints": [{"zone": zone} for zone in range(3)],
    "links": [
        {"at_s": 0, "for_s": 2.4, "from": "sidecar:0", "to": "sidecar:1", "cut": "silent"},
        {"at_s": 3, "for_s": 2.5, "from": "zone:1", "to": "!zone:1", "both": True, "cut": "silent"},
    ],
    "troubles": [
        {"kind": "freeze", "sidecars": [3], "at_s": 7, "for_s": 2.2},
        {"kind": "down", "sidecars": [5], "at_s": 7, "for_s": 9},
    ],
    "statements": [
        {"says": "none-dead-that-answers", "to_s": 3},
        {"says": "at-most", "limit": 90},
        {"says": "none-dead-that-answers", "from_s": 6.5},
        {"says": "gone-known", "from_s": 10},
    ],
}
UNCHANGED_SIDECAR = "sound"
UNCHANGED_GOSSIP = "sound talk"
EXPECTED_VIOLATIONS = {  # the rule or statement that must detect each mutation
    "resends-unsafe": r"rule 2: wish \d+ ran twice",
    "refuses-risky": r"rule 2: wish \d+ (was refused, and had run|ran twice)",  # the client retries it
    "ignores-drains": r"rule 3: \d+ requests",
    "keeps-first-list": r"rule 3: \d+ requests",
    "sends-what-was-given-up": r"rule 1: wish \d+ was sent on \d+ ms after its client gave up",
    "answers-with-anothers": r"rule 1: wish \d+ was answered with another's body",
    "forgets-some": r"rule 1: wish \d+ was not answered in time",
    "dies-of-a-reset": r"crash: n\d ended by itself, with 3",
    "presses-the-cold": r"rule 4: endpoint 6 was pushed over",
    "hears-only-itself": r"none-dead-that-answers from 0 to 3 s",
    "keeps-the-dead": r"gone-known from 10 to 13 s",
    "splits-by-view": r"at-most from 0 to 13 s",
    "trusts-its-clock": r"none-dead-that-answers from 6.5 to 13 s",
    UNCHANGED_SIDECAR: r"^$",
    UNCHANGED_GOSSIP: r"^$",
}


@dataclass(frozen=True)
class JudgedRun:
    """The result and history of a run, and the rules and statements that it broke."""

    result: LiveRunResult
    history: History
    violations: str


def test_every_mutation_has_an_expected_violation() -> None:
    assert {*MUTATIONS, *gossip_process.MUTATIONS[1:], UNCHANGED_GOSSIP} == set(EXPECTED_VIOLATIONS)


@pytest.fixture(scope="module")
def runs() -> Mapping[str, JudgedRun]:
    """All runs by the name of their mutation, a few at a time."""
    print(f"seed {SEED}")
    scenarios = [scenario_of(name) for name in EXPECTED_VIOLATIONS]
    plays = [
        partial(
            live_run.play,
            scenario,
            SEED,
            control=True,
            mutation="" if name == UNCHANGED_GOSSIP else name,
        )
        for name, scenario in zip(EXPECTED_VIOLATIONS, scenarios, strict=True)
    ]
    results = asyncio.run(play_all(plays, AT_ONCE))
    judged = map(judge, scenarios, results)
    return dict(zip(EXPECTED_VIOLATIONS, judged, strict=True))


def scenario_of(mutation: str) -> Scenario:
    """The scenario for the kind of process that supports the mutation."""
    if mutation in gossip_process.MUTATIONS or mutation == UNCHANGED_GOSSIP:
        return from_raw(GOSSIP_SCENARIO, "gossip")
    return from_raw(SIDECAR_SCENARIO, "sidecars")


def judge(scenario: Scenario, result: LiveRunResult) -> JudgedRun:
    history = join(scenario, result)
    verdicts = statements.judge(history)
    broken = [f"{verdict.statement}: {verdict.figure}" for verdict in verdicts if not verdict.holds]
    return JudgedRun(result, history, "; ".join(result.violations + broken))


@pytest.mark.parametrize("name", sorted(EXPECTED_VIOLATIONS))
def test_mutations_are_detected_and_the_unchanged_program_breaks_nothing(
    name: str, runs: Mapping[str, JudgedRun]
) -> None:
    violations = runs[name].violations
    assert re.search(EXPECTED_VIOLATIONS[name], violations), violations or "no violation"


def test_the_unchanged_sidecars_had_requests_and_reported_that_they_were_frozen(
    runs: Mapping[str, JudgedRun],
) -> None:
    run = runs[UNCHANGED_SIDECAR]
    assert sum(run.result.metrics.requested.values()) > 900
    assert len(run.history.arrivals) > 900
    assert {event.kind for event in run.history.events} >= {"list", "stalled"}
    assert {event.member for event in run.history.events if event.kind == "stalled"} >= {0, 1}


def test_the_unchanged_gossip_processes_lost_datagrams_to_cuts_and_declared_the_killed_member_dead(
    runs: Mapping[str, JudgedRun],
) -> None:
    run = runs[UNCHANGED_GOSSIP]
    assert run.result.backend.datagrams.delivered > 3000
    assert run.result.backend.links.cut > 100
    assert max(use.units for use in run.history.budget_use) > 60
    deaths = [event for event in run.history.events if event.kind == "dead"]
    assert any(death.fields["member"] == 5 for death in deaths)
