"""The virtual clock and its scheduled events. Events of one moment are handled in the order of scheduling."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

MAX_EVENTS = 20_000_000  # limit of pending events: a run that exceeds it would not end


class ClockError(RuntimeError):
    """More than MAX_EVENTS are pending."""


class Clock:
    """A virtual clock that calls functions at their time.

    Attributes:
        now: The current time, ns.
    """

    __slots__ = ("_heap", "_order", "events_handled", "now")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.events_handled = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules `callback(*arguments)` at `when`, ns, or now if `when` has passed."""
        heappush(self._heap, (when if when > self.now else self.now, next(self._order), callback, arguments))

    def after(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Schedules `callback(*arguments)` after `delay` ns."""
        heappush(self._heap, (self.now + delay, next(self._order), callback, arguments))

    def run(self, until: int) -> None:
        """Handles all events up to and including `until`.

        Raises:
            ClockError: More than MAX_EVENTS are pending.
        """
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, callback, arguments = heappop(heap)
            self.events_handled += 1
            callback(*arguments)
            if len(heap) > MAX_EVENTS:
                raise ClockError(f"more than {MAX_EVENTS} events are pending")
        self.now = max(self.now, until)

    @property
    def events_pending(self) -> int:
        """Number of pending events."""
        return len(self._heap)
