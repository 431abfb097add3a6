"""Void runs are repeated alone; results and other errors are passed on unchanged."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from anisespool.lab.model.metrics import VoidError
from tests.harness import void_runs
from tests.harness.void_runs import MAX_REPLAYS, play_all

OTHER_RUNS_S = 0.2
HOLD_SHARED_LOCK = """
import fcntl, sys
file = open(sys.argv[1], "rb")
fcntl.flock(file, fcntl.LOCK_SH)
print("held", flush=True)
sys.stdin.read()
"""


@pytest.fixture(autouse=True)
def lock_file(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A lock of each test's own, which the real runs of other workers do not hold."""
    path = tmp_path / "lock"
    path.touch()
    monkeypatch.setattr(void_runs, "RUNS_LOCK_FILE", path)
    return path


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


def test_a_void_run_is_not_repeated_beside_the_first_runs_of_another_process(lock_file: Path) -> None:
    """In CI, runs "played again alone" were void four times in a row beside those of other workers."""
    other = subprocess.Popen(
        [sys.executable, "-c", HOLD_SHARED_LOCK, str(lock_file)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    events: list[str] = []

    def end_other_runs() -> None:
        events.append("other runs ended")
        other.communicate()

    async def play() -> str:
        events.append("played")
        if events == ["played"]:
            asyncio.get_running_loop().call_later(OTHER_RUNS_S, end_other_runs)
            raise VoidError("late")
        return "a"

    assert other.stdout
    assert other.stdout.readline() == b"held\n"
    assert asyncio.run(play_all([play], at_once=1)) == ["a"]
    assert events == ["played", "other runs ended", "played"]


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
