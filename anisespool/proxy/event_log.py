"""Bounded log of the events that a sidecar observed, read over the control socket.

Readers merge the logs of many sidecars. Times are in ns on the machine's monotonic clock, which all processes
of a machine share and which changes of the wall clock do not affect. On the control socket an event is
`{"n", "at_ns", "what", ...}`; `n` counts from 1 in each process.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from typing import Any, ClassVar, NamedTuple, Protocol, TypedDict

import msgspec

JsonObject = dict[str, Any]  # the fields depend on the event

MAX_EVENTS = 1000  # limit on stored events; the oldest are dropped and counted
MAX_EVENTS_PER_PAGE = 500
PAUSE_CHECK_INTERVAL_S = 0.1
MIN_REPORTED_PAUSE_S = 0.1


class Event(Protocol):
    """Interface of an event: a `msgspec.Struct` whose fields have the same names as in the JSON.

    Subsystems that may not import this module (docs/architecture.md) define their own event classes.
    """

    what: ClassVar[str]
    """Name of the event in the JSON."""


class EndpointListChanged(msgspec.Struct, frozen=True):
    """The set of ready endpoints has changed."""

    what: ClassVar[str] = "list"
    revision: int
    ready: int
    """Number of ready endpoints."""
    view: str
    """Digest of the ready endpoints' ids, equal on all sidecars that have the same ready endpoints."""


class ConfigApplied(msgspec.Struct, frozen=True):
    """A configuration took effect."""

    what: ClassVar[str] = "applied"
    generation: int


class ShutdownRequested(msgspec.Struct, frozen=True):
    """A controller requested the graceful shutdown."""

    what: ClassVar[str] = "drain"


class OperatorDrainsChanged(msgspec.Struct, frozen=True):
    """The set of endpoints that the operator drains has changed to `ids`."""

    what: ClassVar[str] = "drained"
    ids: list[str]


class ProcessPaused(msgspec.Struct, frozen=True):
    """The event loop did not run for a while: the process was stopped or starved, or a task blocked it."""

    what: ClassVar[str] = "stalled"
    ms: int
    """How late the event loop ran a scheduled check."""


class RecordedEvent(NamedTuple):
    """An event in the log, with its number and time."""

    number: int
    at_ns: int
    event: Event

    def as_json(self) -> JsonObject:
        """Return the event as the control socket sends it."""
        fields: JsonObject = msgspec.to_builtins(self.event)
        return {"n": self.number, "at_ns": self.at_ns, "what": self.event.what} | fields


class EventPage(TypedDict):
    """Part of the log, as the control socket sends it."""

    events: list[JsonObject]
    """Events in the format of `RecordedEvent.as_json`."""
    dropped: int
    """Number of events after the requested number that have been dropped."""
    next: int
    """Event number to use in the request for the next page."""


class EventLog:
    """The latest `MAX_EVENTS` events."""

    def __init__(self, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Create an empty log. `clock` returns monotonic ns."""
        self._clock = clock
        self._events: deque[RecordedEvent] = deque(maxlen=MAX_EVENTS)
        self._count = 0

    def record(self, event: Event) -> None:
        """Append an event with the next number and the current time."""
        self._count += 1
        self._events.append(RecordedEvent(self._count, self._clock(), event))

    def after(self, number: int) -> EventPage:
        """Return at most `MAX_EVENTS_PER_PAGE` events after event `number`, the oldest first."""
        found = [event for event in self._events if event.number > number][:MAX_EVENTS_PER_PAGE]
        first = self._events[0].number if self._events else self._count + 1
        return {
            "events": [event.as_json() for event in found],
            "dropped": max(0, first - 1 - number),
            "next": found[-1].number if found else max(number, self._count),
        }


async def watch_pauses(event_log: EventLog) -> None:
    """Record each pause of the event loop over `MIN_REPORTED_PAUSE_S`. Runs until it is cancelled."""
    loop = asyncio.get_running_loop()
    while True:
        due_s = loop.time() + PAUSE_CHECK_INTERVAL_S
        await asyncio.sleep(PAUSE_CHECK_INTERVAL_S)
        late_s = loop.time() - due_s
        if late_s > MIN_REPORTED_PAUSE_S:
            event_log.record(ProcessPaused(round(late_s * 1000)))
