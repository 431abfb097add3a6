"""Records what the endpoints of a run received, and when their own process did not run."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

MAX_ARRIVALS = 400_000  # later arrivals are counted but not kept
MAX_NOTES = 10_000
MAX_STALLS = 1000
STALL_NS = 100_000_000  # shorter stalls of the endpoints' process are not kept


class Arrival(NamedTuple):
    """A complete request that reached an endpoint. Times are monotonic ns."""

    received_at: int  # the earliest moment at which it can have arrived
    sidecar: int
    endpoint: int  # index, from 0
    zone: int
    client_request: int
    attempt: int  # the client's attempt, from 1
    started_at: int  # when the client started this attempt
    deadline: int  # when the client gives up this attempt
    delivered_at: int  # when the faulty network delivers it; 0: never
    drain_deadline: int  # after it the sidecar may send nothing new to this endpoint; 0: no drain


class FaultNote(NamedTuple):
    """A fault of the scenario and the moment at which it was applied."""

    at: int
    text: str


class Stall(NamedTuple):
    """A span in which the endpoints' process did not run."""

    ended_at: int
    length_ns: int


@dataclass
class ArrivalLog:
    """Bounded lists of arrivals, faults and stalls, and a count of all arrivals."""

    arrival_count: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    fault_notes: list[FaultNote] = field(default_factory=list)
    stalls: list[Stall] = field(default_factory=list)
    longest_stall_ns: int = 0
    _last_heartbeat: int = 0

    def heartbeat(self, now: int, lateness_ns: int) -> None:
        """Record that the event loop runs, and how much later than planned."""
        self._last_heartbeat = now
        self.longest_stall_ns = max(self.longest_stall_ns, lateness_ns)
        if lateness_ns > STALL_NS and len(self.stalls) < MAX_STALLS:
            self.stalls.append(Stall(now, lateness_ns))

    def earliest_arrival(self, now: int) -> int:
        """Return the earliest moment at which data that is read at `now` can have arrived.

        Each turn of the event loop reads sockets before it runs timers. Data that is read now had therefore
        not arrived when the turn of the last heartbeat began.
        """
        return min(now, self._last_heartbeat or now)

    def add(self, arrival: Arrival) -> None:
        """Count an arrival, and keep it unless the list is full."""
        self.arrival_count += 1
        if len(self.arrivals) < MAX_ARRIVALS:
            self.arrivals.append(arrival)

    def add_fault_note(self, now: int, text: str) -> None:
        """Record a fault unless the list is full."""
        if len(self.fault_notes) < MAX_NOTES:
            self.fault_notes.append(FaultNote(now, text))
