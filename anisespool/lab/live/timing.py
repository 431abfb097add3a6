"""The times of a run on the machine's monotonic clock, and bounded waits."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable
from contextlib import suppress
from typing import Any, NamedTuple

from anisespool.lab.model.backend import span_ns
from anisespool.lab.scenario import SECOND, Scenario

END_TIMEOUT_S = 10.0  # time in which all processes of a run must end


class RunSpan(NamedTuple):
    """The begin and end of one run, in monotonic ns."""

    first: int
    """The run's first moment: its warm-up begins."""

    begin: int
    """Begin of the scenario's own time, after the warm-up."""

    end: int
    """End of the scenario's own time."""

    @classmethod
    def of(cls, scenario: Scenario, first: int) -> RunSpan:
        """Return the span of a run of `scenario` whose first moment is `first`."""
        begin, end = span_ns(scenario, first)
        return cls(first, begin, end)

    def at(self, second: float) -> int:
        """Convert a second of the scenario's own time to monotonic ns."""
        return self.begin + int(second * SECOND)


async def sleep_until(when: int) -> None:
    """Sleep until `when` (monotonic ns); return at once if that has passed."""
    await asyncio.sleep(max(0, when - time.monotonic_ns()) / 1e9)


async def wait_bounded(ending: Awaitable[Any]) -> None:
    """Await the end of processes for at most END_TIMEOUT_S.

    In a run that was cancelled half-way, the wait for a process has been observed to never return. The run's
    supervisor kills processes that are left.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(END_TIMEOUT_S):
            await ending
