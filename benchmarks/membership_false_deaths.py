"""Counts members that were reported dead but were alive, for the benchmark `membership`.

A death is false if the member was neither killed nor stopped for long. Objectives: no false death at up to
10 % loss and pauses of up to 2 s; at 30 % loss each one is corrected within 2 s.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from anisespool.lab.live.history import History, MemberEvent
from benchmarks.membership_history import NEVER, deaths, play
from benchmarks.report import Cell, Report

FLEET_SIZE = 50
MEMBERS_PER_PAUSED = 20
"""One member in this many is paused at a time."""
PAUSE_INTERVAL_S = 3
MAX_CORRECTION_S = 2.0


@dataclass(frozen=True, slots=True)
class LossCase:
    """The loss and pauses under which false deaths are counted.

    With `none_allowed`, the objective is no false death.
    """

    loss_share: float
    has_pauses: bool
    seconds: float
    none_allowed: bool


LOSS_CASES = (
    LossCase(loss_share=0.0, has_pauses=True, seconds=75.0, none_allowed=True),
    LossCase(loss_share=0.1, has_pauses=True, seconds=75.0, none_allowed=True),
    LossCase(loss_share=0.3, has_pauses=False, seconds=30.0, none_allowed=False),
)


@dataclass(frozen=True, slots=True)
class FalseDeaths:
    """False deaths of a run.

    Attributes:
        reports: Number of reports, over all reporting members.
        members: Number of members that were reported dead.
        longest_s: Longest time in seconds until a report was corrected; NEVER if one was not.
    """

    reports: int
    members: int
    longest_s: float


def _pauses(size: int, seconds: float) -> list[dict[str, Any]]:
    """Return faults that stop a twentieth of the members for 0.4 to 2 s, every three seconds."""
    count = max(1, size // MEMBERS_PER_PAUSED)
    faults = []
    for number in range(int(seconds // PAUSE_INTERVAL_S)):
        members = {(number * count + offset) * 7 % size for offset in range(count)}
        duration_s = 0.4 + 1.6 * ((number * 37) % 10) / 9  # Short and long ones mixed.
        at_s = 1.0 + PAUSE_INTERVAL_S * number
        faults.append({"kind": "freeze", "sidecars": sorted(members), "at_s": at_s, "for_s": duration_s})
    return faults


def _count_false_deaths(report: Report, case: LossCase) -> FalseDeaths | None:
    size = FLEET_SIZE
    link = {"at_s": 0, "for_s": case.seconds, "carries": "talk", "loss": case.loss_share}
    raw = {
        "sidecars": size,
        "seconds": case.seconds,
        "troubles": _pauses(size, case.seconds) if case.has_pauses else [],
        "links": [link] if case.loss_share else [],
    }
    run = play(report, f"loss {case.loss_share}", raw)
    if run is None:
        return None
    reported = list(deaths(run.history))
    return FalseDeaths(
        reports=len(reported),
        members=len({death.fields["member"] for death in reported}),
        longest_s=max((_seconds_until_corrected(run.history, death) for death in reported), default=0.0),
    )


def _seconds_until_corrected(history: History, death: MemberEvent) -> float:
    """Return the seconds until the member that reported a death saw that member alive again."""
    for event in history.events:
        is_same = event.member == death.member and event.fields.get("member") == death.fields["member"]
        if is_same and event.at_s > death.at_s and event.kind in ("back", "joined"):
            return event.at_s - death.at_s
    return NEVER


def measure_false_deaths(report: Report) -> None:
    """Report false deaths under loss and pauses."""
    rows: list[tuple[Cell, ...]] = []
    for case in LOSS_CASES:
        found = _count_false_deaths(report, case)
        if found is None:
            continue
        rows.append(_false_deaths_row(case, found))
        _check_false_deaths(report, case, found)
    report.add_table(
        "False deaths, 50 members, a twentieth paused at a time for up to 2 s",
        ("loss", "pauses", "hours", "told", "members", "taken back s"),
        *rows,
    )


def _false_deaths_row(case: LossCase, found: FalseDeaths) -> tuple[Cell, ...]:
    return (
        f"{100 * case.loss_share:.0f} %",
        "yes" if case.has_pauses else "no",
        f"{FLEET_SIZE * case.seconds / 3600:.2f}",
        str(found.reports),
        str(found.members),
        f"{found.longest_s:.2f}" if found.reports else "-",
    )


def _check_false_deaths(report: Report, case: LossCase, found: FalseDeaths) -> None:
    if case.none_allowed:
        text = f"{found.reports} false deaths of {found.members} members at {case.loss_share:.0%} loss"
        report.check_objective(found.reports == 0, text)
    else:
        text = f"a false death at {case.loss_share:.0%} loss corrected after {found.longest_s:.2f} s"
        report.check_objective(found.longest_s <= MAX_CORRECTION_S, text)
