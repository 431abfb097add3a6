"""What one sidecar observed: a bounded list of events, read over the control socket.

A reader joins the lists of many sidecars. Times are the machine's monotonic clock in ns: the processes of one
machine share it, and it is not affected by changes of the wall clock. Over the control socket an event is
`{"n", "at_ns", "what", ...}`; `n` counts from 1 in each process.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple, Protocol, TypedDict

import msgspec

JsonObject = dict[str, Any]  # fields differ from event to event

MAX_EVENTS = 1000  # kept; the oldest are dropped, and counted
MAX_EVENTS_PER_PAGE = 500
PAUSE_CHECK_INTERVAL_S = 0.1
MIN_REPORTED_PAUSE_S = 0.1


class Event(Protocol):
    """A `msgspec.Struct` with the name of an event. Field names are those of the JSON.

    Subsystems that may not import this module (docs/architecture.md) have event classes of their own.
    """

    what: ClassVar[str]
    """Name of the event in the JSON."""


class EndpointListChanged(msgspec.Struct, frozen=True):
    """The set of ready endpoints is another one."""

    what: ClassVar[str] = "list"
    revision: int
    ready: int
    view: str
    """Digest of the ready endpoints' ids: equal where two sidecars see the same."""


class ConfigApplied(msgspec.Struct, frozen=True):
    """A configuration is in force."""

    what: ClassVar[str] = "applied"
    generation: int


class ShutdownRequested(msgspec.Struct, frozen=True):
    """A controller requested the graceful shutdown."""

    what: ClassVar[str] = "drain"


class OperatorDrainsChanged(msgspec.Struct, frozen=True):
    """The operator drains exactly these endpoints now."""

    what: ClassVar[str] = "drained"
    ids: list[str]


class ProcessPaused(msgspec.Struct, frozen=True):
    """The process did not run for a while: it was stopped, starved, or busy with one thing for too long."""

    what: ClassVar[str] = "stalled"
    ms: int


class RecordedEvent(NamedTuple):
    """An event in the log."""

    number: int
    at_ns: int
    event: Event

    def as_json(self) -> JsonObject:
        """The event as the control socket sends it."""
        fields: JsonObject = msgspec.to_builtins(self.event)
        return {"n": self.number, "at_ns": self.at_ns, "what": self.event.what} | fields


class EventPage(TypedDict):
    """Part of the log, as the control socket sends it."""

    events: list[JsonObject]
    """Each a `RecordedEvent` as JSON."""
    dropped: int
    """Events after the requested number that are no longer kept."""
    next: int
    """Number to request the events that follow with."""


class EventLog:
    """The last `MAX_EVENTS` events."""

    def __init__(self, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Create an empty log. `clock` gives monotonic ns."""
        self._clock = clock
        self._events: deque[RecordedEvent] = deque(maxlen=MAX_EVENTS)
        self._count = 0

    def record(self, event: Event) -> None:
        """Append an event, with the next number and the time."""
        self._count += 1
        self._events.append(RecordedEvent(self._count, self._clock(), event))

    def after(self, number: int) -> EventPage:
        """The events after that number, the oldest first, `MAX_EVENTS_PER_PAGE` at most."""
        found = [event for event in self._events if event.number > number][:MAX_EVENTS_PER_PAGE]
        first = self._events[0].number if self._events else self._count + 1
        return {
            "events": [event.as_json() for event in found],
            "dropped": max(0, first - 1 - number),
            "next": found[-1].number if found else max(number, self._count),
        }


async def watch_pauses(event_log: EventLog) -> None:
    """Record each time that this process was kept from running. Runs until it is cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + PAUSE_CHECK_INTERVAL_S
        await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
        late_s = loop.time() - due_s
        if late_s > MIN_REPORTED_PAUSE_S:
            event_log.record(ProcessPaused(round(late_s * 1000)))
