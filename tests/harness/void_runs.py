"""Runs several sets of real processes concurrently, and repeats alone those that the machine disturbed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from anisespool.lab.model.metrics import VoidError

MAX_REPLAYS = 4
"""Maximum number of repetitions of one run."""

Result = TypeVar("Result")


async def play_all(plays: Sequence[Callable[[], Awaitable[Result]]], at_once: int) -> list[Result]:
    """Play all runs, `at_once` of them at a time, and return their results in order.

    All runs share this process's event loop. Starting the processes of one blocks it for up to 150 ms (longer
    on a slower machine), and the clients of the other runs send late meanwhile. Such a run is void: it gives
    no verdict on the program. It is played again after the others, with no other run at the same time.

    Raises:
        VoidError: A run was void each time, including its last replay.
    """
    gate = asyncio.Semaphore(at_once)

    async def play_in_turn(play: Callable[[], Awaitable[Result]]) -> Result:
        async with gate:
            return await play()

    # An error of one run does not cancel the others, which may be starting or ending their processes.
    outcomes = await asyncio.gather(*map(play_in_turn, plays), return_exceptions=True)
    return [await _replay_while_void(play, first) for play, first in zip(plays, outcomes, strict=True)]


async def play_undisturbed(play: Callable[[], Awaitable[Result]]) -> Result:
    """Play one run with no other at the same time, and return its result; a void run is played again.

    Raises:
        VoidError: The run was void each time.
    """
    (result,) = await play_all([play], at_once=1)
    return result


async def _replay_while_void(
    play: Callable[[], Awaitable[Result]], outcome: Result | BaseException
) -> Result:
    for replay in range(1, MAX_REPLAYS + 1):
        if not isinstance(outcome, VoidError):
            break
        print(f"void, played again alone ({replay} of {MAX_REPLAYS}): {outcome}")
        try:
            outcome = await play()
        except VoidError as error:
            outcome = error
    if isinstance(outcome, BaseException):
        raise outcome
    return outcome
