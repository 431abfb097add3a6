"""Measures membership among real sidecars: how fast failures are detected, false deaths, and the cost.

Fleets have 50 and 200 processes. A time runs from the fault that the benchmark injects to the members'
reports, by the machine's one clock. Objectives: 99 % of the others report a kill within 3 s. The survivors
agree within 5 s after many are killed at once. Each side of a partition agrees within 6 s, and all members
within 5 s after its end. All agree within 2 s after a restart. Further objectives are those of
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

COOLDOWN_S = 2
"""Time that processes run after the scenario."""
SIZES = (50, 200)
KILLED_MEMBERS = (3, 7, 11)
"""Members killed one after another."""
CUT_ZONE = 1
MAX_KILLED_AT_ONCE = 60
KILLED_TENTHS = 3
"""Tenths of the fleet killed at once, up to MAX_KILLED_AT_ONCE."""
FAULT_INTERVAL_S = 8.0
OUTAGE_S = 4.5
"""Time from a kill to the restart."""
BEYOND_END_S = 999
FIRST_KILL_AT_S = 1.0
PARTITION_AT_S = FIRST_KILL_AT_S + len(KILLED_MEMBERS) * FAULT_INTERVAL_S
MASS_KILL_AT_S = PARTITION_AT_S + 2 * FAULT_INTERVAL_S
END_AT_S = MASS_KILL_AT_S + FAULT_INTERVAL_S

MAX_KILL_P99_S = 3.0
MAX_KILLED_AT_ONCE_S = 5.0
MAX_PARTITION_S = 6.0
MAX_HEAL_S = 5.0
MAX_RESTART_S = 2.0


def _count_killed_at_once(size: int) -> int:
    return min(MAX_KILLED_AT_ONCE, size * KILLED_TENTHS // 10)


def _raw_failures(size: int) -> dict[str, Any]:
    """Return a scenario: three kills with restarts, a zone cut off, many members killed at once."""
    faults: list[dict[str, Any]] = [
        {
            "kind": "down",
            "sidecars": [killed],
            "at_s": FIRST_KILL_AT_S + number * FAULT_INTERVAL_S,
            "for_s": OUTAGE_S,
        }
        for number, killed in enumerate(KILLED_MEMBERS)
    ]
    mass_killed = list(range(size - _count_killed_at_once(size), size))
    faults.append({"kind": "down", "sidecars": mass_killed, "at_s": MASS_KILL_AT_S, "for_s": BEYOND_END_S})
    partition = {
        "at_s": PARTITION_AT_S,
        "for_s": FAULT_INTERVAL_S,
        "from": f"zone:{CUT_ZONE}",
        "to": f"!zone:{CUT_ZONE}",
        "both": True,
        "cut": "silent",
        "carries": "talk",
    }
    return {"sidecars": size, "seconds": END_AT_S, "troubles": faults, "links": [partition]}


@dataclass
class Detection:
    """Seconds until the faults of a run were detected.

    Attributes:
        kills: Sorted times from each single kill to each other member's report; NEVER without a report.
        restarts: Time from each restart until all members agreed.
        partition: Time from the partition until the members of each side agreed.
        heal: Time from the partition's end until all members agreed.
        killed_at_once: Time from the kill of many members until the survivors agreed.
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
    cut_off_members = {number for number in everyone if history.scenario.sidecar_zones()[number] == CUT_ZONE}
    survivors = set(range(size - _count_killed_at_once(size)))
    heal_s = PARTITION_AT_S + FAULT_INTERVAL_S
    found = Detection()
    for number, killed in enumerate(KILLED_MEMBERS):
        _detect_kill(found, history, size, killed, FIRST_KILL_AT_S + (number + 1) * FAULT_INTERVAL_S)
    found.kills.sort()
    found.partition = max(
        seconds_until_agreed(history, PARTITION_AT_S, heal_s, side, side)
        for side in (cut_off_members, everyone - cut_off_members)
    )
    found.heal = seconds_until_agreed(history, heal_s, MASS_KILL_AT_S, everyone, everyone)
    found.killed_at_once = seconds_until_agreed(history, MASS_KILL_AT_S, END_AT_S, survivors, survivors)
    return found


def _detect_kill(found: Detection, history: History, size: int, killed: int, next_fault_s: float) -> None:
    """Add to `found` when the death of `killed` and its restart were detected."""
    everyone = set(range(size))
    outage = history.outages[killed][0]
    killed_s = history.second(outage.begin)
    detected_s = seconds_until_known(history, killed, killed_s, killed_s + OUTAGE_S)
    found.kills += detected_s + [NEVER] * (size - 1 - len(detected_s))
    restarted_s = history.second(outage.end)
    found.restarts.append(seconds_until_agreed(history, restarted_s, next_fault_s, everyone, everyone))


def _measure_failures(report: Report, size: int) -> None:
    run = play(report, str(size), _raw_failures(size))
    if run is None:
        return
    found = _detect(run.history, size)
    _add_row(report, size, found, run.live_run)
    _check_detection(report, size, found)
    report.check_objective(not run.live_run.broken, f"{size}: {run.live_run.broken}")


def _add_row(report: Report, size: int, found: Detection, live_run: LiveRunResult) -> None:
    member_seconds = size * (END_AT_S + WARMUP_S + COOLDOWN_S)
    datagrams = live_run.backend.datagrams
    report.add_row(
        size,
        found.kill_quantile(0.5),
        found.kill_quantile(0.99),
        found.kill_quantile(1.0),
        max(found.restarts),
        found.partition,
        found.heal,
        _count_killed_at_once(size),
        found.killed_at_once,
        sum(datagrams.sent) / member_seconds,
        sum(datagrams.bytes) / member_seconds,
        live_run.late_ms(),
        live_run.backend.longest_stall_ns / 1e6,
    )


def _check_detection(report: Report, size: int, found: Detection) -> None:
    for event, seconds, allowed in (
        ("kill detected by 99 %", found.kill_quantile(0.99), MAX_KILL_P99_S),
        (
            f"{_count_killed_at_once(size)} killed at once, survivors agree",
            found.killed_at_once,
            MAX_KILLED_AT_ONCE_S,
        ),
        ("both sides of the partition agree", found.partition, MAX_PARTITION_S),
        ("all agree after the partition", found.heal, MAX_HEAL_S),
        ("restart known to all", max(found.restarts), MAX_RESTART_S),
    ):
        text = f"{size}: {event} after {seconds:.2f} s, at most {allowed:g} wanted"
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
