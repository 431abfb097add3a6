"""Records the outages that a run caused in one of its processes, and the events that it reported."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from anisespool.lab.scenario import SECOND

MAX_EVENTS = 20_000  # kept for one member, over all its processes
UNTIL_READY = 2**62  # the end of an outage that lasts until the process is ready again
RECOVERY_NS = SECOND // 2  # how long a process may be late after an outage


class OutageCause(StrEnum):
    """Why a process could not run."""

    KILLED = "killed"
    FROZEN = "frozen"
    STARVED = "starved"


class EventKind(StrEnum):
    """The kinds of reported events by which runs are judged. Processes report others too."""

    LIST = "list"
    VIEW = "view"
    DEAD = "dead"
    STALLED = "stalled"


@dataclass(slots=True)
class Outage:
    """A span in which a process could not run normally, monotonic ns."""

    begin: int
    end: int
    cause: OutageCause


@dataclass(frozen=True, slots=True)
class ReportedEvent:
    """An event that a process reported."""

    at: int  # monotonic ns
    kind: str
    fields: dict[str, Any]

    @classmethod
    def from_json(cls, raw: dict[str, Any]) -> ReportedEvent:
        """Build an event from the JSON of a control socket, or of a gossip process."""
        fields = {key: value for key, value in raw.items() if key not in ("at_ns", "what", "n")}
        return cls(raw["at_ns"], raw["what"], fields)


@dataclass
class ProcessAccount:
    """Outages and reported events of one member, over all its processes."""

    outages: list[Outage] = field(default_factory=list)
    events: list[ReportedEvent] = field(default_factory=list)
    dropped: int = 0  # events that did not fit
    crash: str = ""  # why it counts as crashed; empty: no crash

    def begin_outage(self, begin: int, cause: OutageCause, expected_end: int = UNTIL_READY) -> Outage:
        """Record an outage, and return it so that its end can be corrected."""
        outage = Outage(begin, expected_end, cause)
        self.outages.append(outage)
        return outage

    def end_outage(self, now: int) -> None:
        """End an outage that lasts until the process is ready again."""
        if self.outages and self.outages[-1].end == UNTIL_READY:
            self.outages[-1].end = now

    def add_events(self, events: list[ReportedEvent]) -> None:
        """Keep events up to MAX_EVENTS, and count the others as dropped."""
        capacity = MAX_EVENTS - len(self.events)
        self.events.extend(events[:capacity])
        self.dropped += max(0, len(events) - capacity)

    def had_outage(self, begin: int, end: int) -> bool:
        """Return whether an outage, or the recovery from one, overlaps the span."""
        return any(begin < outage.end + RECOVERY_NS and outage.begin < end for outage in self.outages)

    def had_outage_at(self, when: int) -> bool:
        """Return whether a request that arrived at that moment may have waited unread in an outage."""
        return any(outage.begin <= when < outage.end for outage in self.outages)

    def reported_stall(self, begin: int, end: int) -> bool:
        """Return whether it reported a stall, a time without CPU, that overlaps the span."""
        for event in self.events:
            if event.kind == EventKind.STALLED:
                stall_begin = event.at - int(event.fields["ms"] * 1e6)
                if begin < event.at and stall_begin < end:
                    return True
        return False
