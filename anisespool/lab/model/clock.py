"""Virtual time: an event heap. Events of one moment happen in the order in which they were scheduled."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count
from typing import Any

MAX_EVENTS = 20_000_000  # scheduled at one time: a scenario that exceeds this has no bound of its own


class ClockError(RuntimeError):
    """More events are scheduled than a run that ends can need."""


class Clock:
    """A virtual clock that calls functions at their time.

    Attributes:
        now: The present moment, ns.
        handled: Events so far.
    """

    __slots__ = ("_heap", "_order", "events_handled", "now")

    def __init__(self, now: int = 0) -> None:
        self.now = now
        self.events_handled = 0
        self._heap: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = count()

    def at(self, when: int, what: Callable[..., None], *words: Any) -> None:
        """Schedules `what(*words)` for a moment; after the current event, if that has passed."""
        heappush(self._heap, (when if when > self.now else self.now, next(self._order), what, words))

    def after(self, delay: int, what: Callable[..., None], *words: Any) -> None:
        """Schedules `what(*words)` after a delay, ns."""
        heappush(self._heap, (self.now + delay, next(self._order), what, words))

    def run(self, until: int) -> None:
        """Plays all events up to and including that moment.

        Raises:
            ClockError: Over MAX_EVENTS are scheduled.
        """
        heap = self._heap
        while heap and heap[0][0] <= until:
            self.now, _, what, words = heappop(heap)
            self.events_handled += 1
            what(*words)
            if len(heap) > MAX_EVENTS:
                raise ClockError(f"over {MAX_EVENTS} events wait")
        self.now = max(self.now, until)

    @property
    def events_pending(self) -> int:
        """Events still scheduled."""
        return len(self._heap)
