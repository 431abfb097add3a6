"""The history of a run, joined from the records of endpoints, network, processes and clients.

All of them run on one machine and share its monotonic clock. Times here are seconds of the scenario's own
time. A history can be written as lines of JSON, and drawn.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.budget_server import SLOT_NS as BUDGET_SLOT_NS
from anisespool.lab.live.datagram_network import SLOT_NS as DELIVERY_SLOT_NS
from anisespool.lab.live.datagram_network import DeliverySlot
from anisespool.lab.live.process_account import Outage
from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.scenario import SECOND, Fault, Link, Scenario, Statement

DELIVERY_SLOT_S = DELIVERY_SLOT_NS / SECOND
LINK_FAULTS = ("loss", "delay_ms", "spread_ms", "duplicate", "reorder", "corrupt", "rate_kb_s")


class MemberEvent(NamedTuple):
    """An event that a member reported."""

    at_s: float
    member: int
    kind: str
    fields: dict[str, Any]


class FaultSpan(NamedTuple):
    """A fault of the scenario, with its begin and end."""

    begin_s: float
    end_s: float
    description: str


class ServedSecond(NamedTuple):
    """The requests of one second, and those served in time, weighted by priority."""

    in_time: float
    requested: float


class BudgetUse(NamedTuple):
    """The most units of the budget that were reserved at once in a slot."""

    at_s: float
    units: float


@dataclass
class History:
    """The record of a run by which statements are judged.

    Attributes:
        scenario: the scenario that was run.
        events: events that members reported, in order of time.
        arrivals: requests as they reached endpoints.
        begin: begin of the scenario's own time, monotonic ns.
        outages: lists of outages, one for each member.
        delivery_slots: slots in which the network delivered a datagram from one member to another.
        budget_use: peaks of the shared budget, timed by the budget server.
        served: one entry for each second.
    """

    scenario: Scenario
    events: list[MemberEvent] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    begin: int = 0
    outages: list[list[Outage]] = field(default_factory=list)
    delivery_slots: set[DeliverySlot] = field(default_factory=set)
    budget_use: list[BudgetUse] = field(default_factory=list)
    served: list[ServedSecond] = field(default_factory=list)

    def second(self, at: int) -> float:
        """Convert a moment in monotonic ns to a second of the scenario's own time."""
        return (at - self.begin) / SECOND

    def had_outage(self, member: int, from_s: float, to_s: float) -> bool:
        """Return whether a member was killed, frozen or starved at some time in the span."""
        return any(
            self.second(outage.begin) < to_s and from_s < self.second(outage.end)
            for outage in self.outages[member]
        )

    def had_delivery(self, member: int, from_s: float, to_s: float) -> bool:
        """Return whether the network delivered a datagram of the member in the span."""
        slots = range(self._delivery_slot(from_s), self._delivery_slot(to_s) + 1)
        return any(DeliverySlot(slot, member) in self.delivery_slots for slot in slots)

    def _delivery_slot(self, second: float) -> int:
        return int((self.begin + second * SECOND) // DELIVERY_SLOT_NS)

    def faults(self) -> list[FaultSpan]:
        """Return the faults of the scenario, in order."""
        spans = [_fault_span(fault) for fault in self.scenario.faults]
        spans += [_link_span(link) for link in self.scenario.links]
        return sorted(spans)

    def span(self, statement: Statement) -> tuple[float, float]:
        """Return begin and end of the span that a statement is about, in seconds."""
        end = self.scenario.seconds if statement.to_s is None else statement.to_s
        return statement.from_s, end

    def json_lines(self) -> Iterator[dict[str, Any]]:
        """Yield faults, outages and events as JSON objects, in that order and not by time."""
        for fault in self.faults():
            yield {"at_s": fault.begin_s, "until_s": fault.end_s, "fault": fault.description}
        for member, outages in enumerate(self.outages):
            for outage in outages:
                yield {
                    "at_s": round(self.second(outage.begin), 3),
                    "until_s": round(min(self.scenario.seconds, self.second(outage.end)), 3),
                    "member": member,
                    "silent": outage.cause,
                }
        for event in self.events:
            line = {"at_s": round(event.at_s, 3), "member": event.member, "what": event.kind}
            yield line | event.fields

    def write(self, path: Path) -> None:
        """Write `json_lines` to a file, in order of time."""
        lines = sorted(self.json_lines(), key=lambda line: float(line["at_s"]))
        path.write_text("".join(json.dumps(line) + "\n" for line in lines))


def _fault_span(fault: Fault) -> FaultSpan:
    zone = f" zone {fault.zone}" if fault.zone is not None else ""
    return FaultSpan(fault.at_s, fault.at_s + fault.for_s, f"{fault.kind}{zone}")


def _link_span(link: Link) -> FaultSpan:
    arrow = "<->" if link.both else "->"
    flapping = ", flapping" if link.flap_s else ""
    text = f"{_link_fault(link)} {link.from_} {arrow} {link.to}{flapping}"
    return FaultSpan(link.at_s, link.at_s + link.for_s, text)


def _link_fault(link: Link) -> str:
    """Name the link's cut, or else its first fault."""
    if link.cut:
        return f"cut ({link.cut})"
    return next((key for key in LINK_FAULTS if getattr(link, key)), "link")


def join(scenario: Scenario, result: LiveRunResult) -> History:
    """Build the history of a run from its result."""
    history = History(scenario, arrivals=result.arrivals, begin=result.begin)
    for member, account in enumerate(result.accounts):
        history.outages.append(account.outages)
        history.events += [
            MemberEvent(history.second(event.at), member, event.kind, event.fields)
            for event in account.events
        ]
    history.events.sort(key=lambda event: event.at_s)
    history.delivery_slots = set(result.backend.heard)
    history.budget_use = [
        BudgetUse(history.second(peak.slot * BUDGET_SLOT_NS), peak.units)
        for peak in result.backend.budget_peaks
    ]
    history.served = [ServedSecond(*sums) for sums in result.metrics.by_second()]
    return history
