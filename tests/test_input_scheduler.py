"""The event loop is shared between connections whose input takes long to handle."""

from __future__ import annotations

import asyncio

import pytest

from anisespool import input_scheduler
from anisespool.input_scheduler import TURN_NS, InputScheduler

STEP_NS = TURN_NS // 2


class ManualClock:
    """Replaces the scheduler's clock, so that only the handlers' steps take time."""

    def __init__(self) -> None:
        self.now_ns = 1

    def monotonic_ns(self) -> int:
        return self.now_ns


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    manual_clock = ManualClock()
    monkeypatch.setattr(input_scheduler, "time", manual_clock)
    return manual_clock


class SlowHandler:
    """A connection whose input takes a number of steps of half a turn each."""

    def __init__(self, clock: ManualClock, steps: int) -> None:
        self.steps = steps
        self._clock = clock

    def handle_input(self) -> bool:
        self._clock.now_ns += STEP_NS
        self.steps -= 1
        return self.steps > 0


class QuickHandler:
    """A connection with a short input."""

    def __init__(self) -> None:
        self.is_handled = False

    def handle_input(self) -> bool:
        self.is_handled = True
        return False


async def test_long_input_is_handled_in_turns_of_limited_time(clock: ManualClock) -> None:
    """One read with thousands of requests was handled at once, while all other clients waited."""
    scheduler = InputScheduler()
    handlers = [SlowHandler(clock, steps=3) for _ in range(4)]
    for handler in handlers:
        scheduler.submit(handler, is_short=False)
    assert [handler.steps for handler in handlers] == [2, 2, 3, 3]
    assert scheduler.is_busy
    turns = 0
    while any(handler.steps for handler in handlers):
        turns += 1
        await asyncio.sleep(0)
    assert turns >= 3  # ten steps, at most three in a turn


async def test_short_input_is_handled_at_once_while_long_input_waits(clock: ManualClock) -> None:
    scheduler = InputScheduler()
    for _ in range(8):
        scheduler.submit(SlowHandler(clock, steps=3), is_short=False)
    quick = QuickHandler()
    scheduler.submit(quick, is_short=True)
    assert quick.is_handled


async def test_input_that_waits_is_not_starved_by_new_input(clock: ManualClock) -> None:
    scheduler = InputScheduler()
    waiting = SlowHandler(clock, steps=3)
    scheduler.submit(waiting, is_short=False)
    for _ in range(3):
        for _ in range(3):
            scheduler.submit(SlowHandler(clock, steps=1), is_short=False)
        await asyncio.sleep(0)
    assert waiting.steps == 0
