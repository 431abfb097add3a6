"""Void runs are repeated alone; results and other errors are passed on unchanged."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from anisespool.lab.model.metrics import VoidError
from tests.harness.void_runs import MAX_REPLAYS, play_all


class ScriptedRuns:
    """Runs with predefined outcomes that record how many of them run at a time."""

    def __init__(self) -> None:
        self.playing = 0
        self.concurrent: list[int] = []  # number of other runs in progress at the start of each run

    def run(self, *outcomes: str | Exception) -> Callable[[], Awaitable[str]]:
        remaining = list(outcomes)

        async def play() -> str:
            self.concurrent.append(self.playing)
            self.playing += 1
            await asyncio.sleep(0)
            self.playing -= 1
            outcome = remaining.pop(0)
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        return play


def test_results_keep_their_order_and_concurrency_is_limited() -> None:
    runs = ScriptedRuns()
    plays = [runs.run(name) for name in "abcde"]
    assert asyncio.run(play_all(plays, at_once=2)) == list("abcde")
    assert max(runs.concurrent) == 1


def test_a_void_run_is_repeated_alone() -> None:
    runs = ScriptedRuns()
    plays = [
        runs.run(VoidError("late"), VoidError("late"), "a"),
        runs.run("b"),
        runs.run(VoidError("late"), "c"),
    ]
    assert asyncio.run(play_all(plays, at_once=3)) == ["a", "b", "c"]
    assert runs.concurrent == [0, 1, 2, 0, 0, 0]


def test_a_run_that_is_void_every_time_raises_its_last_error() -> None:
    runs = ScriptedRuns()
    plays = [runs.run(*[VoidError(f"late {number}") for number in range(MAX_REPLAYS + 1)])]
    with pytest.raises(VoidError, match=f"late {MAX_REPLAYS}"):
        asyncio.run(play_all(plays, at_once=1))
    assert len(runs.concurrent) == MAX_REPLAYS + 1


def test_other_errors_are_raised_and_cancel_no_other_run() -> None:
    runs = ScriptedRuns()
    plays = [runs.run(RuntimeError("broken"), "never"), runs.run("b")]
    with pytest.raises(RuntimeError, match="broken"):
        asyncio.run(play_all(plays, at_once=2))
    assert len(runs.concurrent) == 2
    assert runs.playing == 0
