"""Holds back attempts after a delay of the event loop, until the endpoint list is as current as can be known.

A change of the list counts as known once discovery has sent it. A late event loop may handle requests and
outcomes before a change that has arrived with them, and would send to an endpoint whose drain is long known.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from anisespool.loop_delay import LoopDelay

MIN_TURNS = 3  # turns of the event loop from the arrival of a change to its application: read, wake up, apply
MAX_CATCH_UP_S = 0.1  # limit, as discovery may go on sending


class ListCatchUp:
    """A gate for attempts (`SendGate`) that is closed while updates of the endpoint list may lie unread."""

    def __init__(self, loop_delay: LoopDelay, has_unread_updates: Callable[[], bool]) -> None:
        """Create an open gate.

        Args:
            loop_delay: The delay of the event loop.
            has_unread_updates: Returns whether discovery has sent more than was read.
        """
        self._loop_delay = loop_delay
        self._has_unread_updates = has_unread_updates
        self._caught_up_since = 0  # start of the delay after which the gate was last closed, monotonic ns
        self._task: asyncio.Task[None] | None = None

    def is_open(self) -> bool:
        """Return whether attempts may begin; closes the gate, once for each delay of the event loop."""
        if self._task:
            return False
        now = time.monotonic_ns()
        if not self._loop_delay.is_overdue(now):
            return True
        delayed_since = self._loop_delay.earliest_event_at(now)
        if delayed_since == self._caught_up_since:
            return True
        self._caught_up_since = delayed_since
        self._task = asyncio.get_running_loop().create_task(self._catch_up())
        return False

    async def wait_open(self) -> None:
        """Wait until attempts may begin."""
        while not self.is_open():
            if self._task:
                await asyncio.shield(self._task)

    async def _catch_up(self) -> None:
        """Wait until the updates that have arrived are applied."""
        end_s = time.monotonic() + MAX_CATCH_UP_S
        turns = 0
        while turns < MIN_TURNS or self._has_unread_updates() and time.monotonic() < end_s:
            turns += 1
            await asyncio.sleep(0)
        self._task = None
