"""Runs several sets of real processes concurrently, and repeats alone those that the machine disturbed.

"Alone" holds for all workers of a test run: they share one lock, the file of this module. First runs hold it
shared, a replay exclusively.
"""

from __future__ import annotations

import asyncio
import fcntl
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TypeVar

from anisespool.lab.model.metrics import VoidError

MAX_REPLAYS = 4
"""Maximum number of repetitions of one run."""
RUNS_LOCK_FILE = Path(__file__)
"""File that all workers of a test run lock while they play."""

Result = TypeVar("Result")


async def play_all(plays: Sequence[Callable[[], Awaitable[Result]]], at_once: int) -> list[Result]:
    """Play all runs, `at_once` of them at a time, and return their results in order.

    All runs share this process's event loop. Starting the processes of one blocks it for up to 150 ms (longer
    on a slower machine), and the clients of the other runs send late meanwhile. Such a run is void: it gives
    no verdict on the program. It is played again after the others, with no other run at the same time, in
    this process or in another worker of the test run.

    Raises:
        VoidError: A run was void each time, including its last replay.
    """
    gate = asyncio.Semaphore(at_once)

    async def play_in_turn(play: Callable[[], Awaitable[Result]]) -> Result:
        async with gate:
            return await play()

    async with _runs_lock(fcntl.LOCK_SH):
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
            async with _runs_lock(fcntl.LOCK_EX):
                outcome = await play()
        except VoidError as error:
            outcome = error
    if isinstance(outcome, BaseException):
        raise outcome
    return outcome


@asynccontextmanager
async def _runs_lock(mode: int) -> AsyncIterator[None]:
    """Hold the lock on runs of real processes, shared (`LOCK_SH`) or exclusively (`LOCK_EX`)."""
    with RUNS_LOCK_FILE.open("rb") as file:  # noqa: ASYNC230 - a local file, opened once a run
        await asyncio.to_thread(fcntl.flock, file, mode)
        yield
