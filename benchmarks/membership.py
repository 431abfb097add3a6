"""Membership among real sidecars: failures and how soon they are known, false deaths, and the cost.

Fleets of 50 and 200 processes. Times run from what the benchmark did until what members reported, on the
machine's one clock. Objectives: a kill known to 99 % of the others within 3 s, many at once within 5 s, both
sides of a partition agree within 6 s and all within 5 s after it, a restart known within 2 s; those of
`membership_false_deaths` and `membership_cost`.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from anisespool.lab.live.history import History
from anisespool.lab.live.live_run import LiveRunResult
from benchmarks.membership_cost import measure_cost
from benchmarks.membership_false_deaths import measure_false_deaths
from benchmarks.membership_history import NEVER, WARMUP_S, play, seconds_until_agreed, seconds_until_known
from benchmarks.report import Report
from benchmarks.runner import Benchmark

COOLDOWN_S = 2  # of processes, after the scenario's end
SIZES = (50, 200)
VICTIMS = (3, 7, 11)  # killed one after another
CUT_ZONE = 1
MAX_KILLED_AT_ONCE = 60
KILLED_SHARE_TENTHS = 3  # of a smaller fleet
STEP_S = 8.0  # between two faults
DOWN_S = 4.5  # until a killed one is started again
FOREVER_S = 999
FIRST_KILL_S = 1.0
CUT_S = FIRST_KILL_S + len(VICTIMS) * STEP_S
ALL_KILLED_S = CUT_S + 2 * STEP_S
END_S = ALL_KILLED_S + STEP_S

MAX_KILL_P99_S = 3.0
MAX_KILLED_AT_ONCE_S = 5.0
MAX_PARTITION_S = 6.0
MAX_HEAL_S = 5.0
MAX_RESTART_S = 2.0


def _killed_at_once(size: int) -> int:
    return min(MAX_KILLED_AT_ONCE, size * KILLED_SHARE_TENTHS // 10)


def _raw_failures(size: int) -> dict[str, Any]:
    """Return a scenario: one killed and back three times, a zone cut off, many killed at once."""
    faults: list[dict[str, Any]] = [
        {"kind": "down", "sidecars": [victim], "at_s": FIRST_KILL_S + number * STEP_S, "for_s": DOWN_S}
        for number, victim in enumerate(VICTIMS)
    ]
    last = list(range(size - _killed_at_once(size), size))
    faults.append({"kind": "down", "sidecars": last, "at_s": ALL_KILLED_S, "for_s": FOREVER_S})
    partition = {
        "at_s": CUT_S,
        "for_s": STEP_S,
        "from": f"zone:{CUT_ZONE}",
        "to": f"!zone:{CUT_ZONE}",
        "both": True,
        "cut": "silent",
        "carries": "talk",
    }
    return {"sidecars": size, "seconds": END_S, "troubles": faults, "links": [partition]}


@dataclass
class Detection:
    """Seconds until the failures of a run were known.

    Attributes:
        kills: Of the single kills, each by each other member, sorted; NEVER where it did not know.
        restarts: Of each restart after a kill, by all.
        partition: Until both sides of the partition agreed among themselves.
        heal: After the partition, until all agreed.
        killed_at_once: Until those left agreed after many were killed.
    """

    kills: list[float] = field(default_factory=list)
    restarts: list[float] = field(default_factory=list)
    partition: float = NEVER
    heal: float = NEVER
    killed_at_once: float = NEVER

    def kill_quantile(self, quantile: float) -> float:
        """Return a quantile of `kills`."""
        return self.kills[min(len(self.kills) - 1, int(quantile * len(self.kills)))]


def _detect(history: History, size: int) -> Detection:
    everyone = set(range(size))
    cut_off = {number for number in everyone if history.scenario.sidecar_zones()[number] == CUT_ZONE}
    left = set(range(size - _killed_at_once(size)))
    heal_s = CUT_S + STEP_S
    found = Detection()
    for number, victim in enumerate(VICTIMS):
        _detect_kill(found, history, size, victim, FIRST_KILL_S + (number + 1) * STEP_S)
    found.kills.sort()
    found.partition = max(
        seconds_until_agreed(history, CUT_S, heal_s, side, side) for side in (cut_off, everyone - cut_off)
    )
    found.heal = seconds_until_agreed(history, heal_s, ALL_KILLED_S, everyone, everyone)
    found.killed_at_once = seconds_until_agreed(history, ALL_KILLED_S, END_S, left, left)
    return found


def _detect_kill(found: Detection, history: History, size: int, victim: int, next_fault_s: float) -> None:
    """Add when the death of `victim` and its restart were known."""
    everyone = set(range(size))
    down = history.outages[victim][0]
    killed_s = history.second(down.begin)
    known = seconds_until_known(history, victim, killed_s, killed_s + DOWN_S)
    found.kills += known + [NEVER] * (size - 1 - len(known))
    restarted_s = history.second(down.end)
    found.restarts.append(seconds_until_agreed(history, restarted_s, next_fault_s, everyone, everyone))


def _measure_failures(report: Report, size: int) -> None:
    run = play(report, str(size), _raw_failures(size))
    if run is None:
        return
    found = _detect(run.history, size)
    _add_row(report, size, found, run.played)
    _check_detection(report, size, found)
    report.check_objective(not run.played.broken, f"{size}: {run.played.broken}")


def _add_row(report: Report, size: int, found: Detection, played: LiveRunResult) -> None:
    member_seconds = size * (END_S + WARMUP_S + COOLDOWN_S)
    datagrams = played.backend.datagrams
    report.add_row(
        size,
        found.kill_quantile(0.5),
        found.kill_quantile(0.99),
        found.kill_quantile(1.0),
        max(found.restarts),
        found.partition,
        found.heal,
        _killed_at_once(size),
        found.killed_at_once,
        sum(datagrams.sent) / member_seconds,
        sum(datagrams.bytes) / member_seconds,
        played.late_ms(),
        played.backend.longest_stall_ns / 1e6,
    )


def _check_detection(report: Report, size: int, found: Detection) -> None:
    for what, seconds, allowed in (
        ("a kill known to 99 %", found.kill_quantile(0.99), MAX_KILL_P99_S),
        (f"{_killed_at_once(size)} killed at once", found.killed_at_once, MAX_KILLED_AT_ONCE_S),
        ("a partition's sides agree", found.partition, MAX_PARTITION_S),
        ("all agree after it", found.heal, MAX_HEAL_S),
        ("a restart known", max(found.restarts), MAX_RESTART_S),
    ):
        text = f"{size}: {what} after {seconds:.2f} s, {allowed:g} wanted"
        report.check_objective(seconds <= allowed, text)


def _measure(report: Report) -> None:
    for size in SIZES:
        _measure_failures(report, size)
    measure_false_deaths(report)
    measure_cost(report)


BENCHMARK = Benchmark(
    "Membership among real sidecars",
    (
        "members",
        "kill s p50",
        "p99",
        "max",
        "back s",
        "apart s",
        "healed s",
        "at once",
        "known s",
        "datagrams/s each",
        "bytes/s each",
        "sent late ms",
        "network late ms",
    ),
    _measure,
)
