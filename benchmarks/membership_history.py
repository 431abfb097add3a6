"""Runs real sidecars with membership and evaluates the members' reports, for the benchmark `membership`."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from anisespool.lab.live.history import History, MemberEvent, join
from anisespool.lab.live.live_run import LiveRunResult
from anisespool.lab.scenario import from_raw
from anisespool.membership.view import format_ranges
from benchmarks import live
from benchmarks.report import Report

SEED = 1
ZONES = 5
WARMUP_S = 6
NEVER = float("inf")
BASE_SCENARIO: dict[str, Any] = {
    "warm_s": WARMUP_S,
    "talk": True,
    "traffic": {"per_s": 20},
    "endpoints": [{"zone": zone} for zone in range(ZONES)],
    "membership": {"delay_s": [0.05, 0.1]},
}


@dataclass(frozen=True, slots=True)
class MembershipRun:
    """A run, and the history of its members' reports."""

    live_run: LiveRunResult
    history: History


def play(report: Report, name: str, raw: dict[str, Any]) -> MembershipRun | None:
    """Run a scenario, or return None for a void run, which counts as a missed objective."""
    scenario = from_raw(BASE_SCENARIO | raw, "membership")
    live_run = live.play_unless_void(report, name, scenario, SEED, control=True)
    return MembershipRun(live_run, join(scenario, live_run)) if live_run else None


def seconds_until_agreed(
    history: History, from_s: float, to_s: float, members: set[int], alive: set[int]
) -> float:
    """Return seconds from `from_s` until all `members` see exactly `alive`; NEVER if not before `to_s`."""
    expected_view = format_ranges(alive)
    views = dict.fromkeys(members, "")
    last_change_s = from_s
    for event in history.events:
        if event.kind != "view" or event.member not in views or event.at_s >= to_s:
            continue
        agreed_before = views[event.member] == expected_view
        views[event.member] = event.fields["view"]
        if event.at_s > from_s and agreed_before != (views[event.member] == expected_view):
            last_change_s = event.at_s
    all_agree = all(view == expected_view for view in views.values())
    return last_change_s - from_s if all_agree else NEVER


def seconds_until_known(history: History, member: int, from_s: float, to_s: float) -> list[float]:
    """Return the sorted seconds from `from_s` until each other member reported the death of `member`."""
    first: dict[int, float] = {}
    for event in deaths(history):
        if event.fields["member"] == member and from_s <= event.at_s < to_s:
            first.setdefault(event.member, event.at_s - from_s)
    return sorted(first.values())


def deaths(history: History) -> Iterator[MemberEvent]:
    """Yield the reports of deaths."""
    return (event for event in history.events if event.kind == "dead")
