"""Attempts are held back after a delay of the event loop until the endpoint list is current."""

from __future__ import annotations

import asyncio
import time

import pytest

from anisespool.discovery import catch_up
from anisespool.discovery.catch_up import ListCatchUp
from anisespool.loop_delay import LoopDelay
from tests.support import SECOND


def late_loop() -> LoopDelay:
    return LoopDelay(time.monotonic_ns() - SECOND)


async def test_the_gate_is_open_while_the_event_loop_is_on_time() -> None:
    gate = ListCatchUp(LoopDelay(time.monotonic_ns()), lambda: True)
    assert gate.is_open()


async def test_the_gate_is_closed_after_a_delay_until_updates_are_read() -> None:
    unread = True
    gate = ListCatchUp(late_loop(), lambda: unread)
    assert not gate.is_open()
    waiting = asyncio.create_task(gate.wait_open())
    for _ in range(2 * catch_up.MIN_TURNS):
        await asyncio.sleep(0)
    assert not waiting.done()
    unread = False
    await waiting
    assert gate.is_open()  # the same delay closes it once


async def test_an_update_that_was_read_has_some_turns_to_be_applied() -> None:
    gate = ListCatchUp(late_loop(), lambda: False)
    assert not gate.is_open()
    for _ in range(catch_up.MIN_TURNS):
        assert not gate.is_open()
        await asyncio.sleep(0)
    await gate.wait_open()


async def test_a_discovery_service_that_never_stops_sending_holds_attempts_back_for_a_bounded_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(catch_up, "MAX_CATCH_UP_S", 0.01)
    gate = ListCatchUp(late_loop(), lambda: True)
    assert not gate.is_open()
    await gate.wait_open()
