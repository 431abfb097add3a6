"""Plays the run of a seed."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

from tests.soak.plan import draw
from tests.soak.run import Run, RunResult


def play(seed: int) -> RunResult:
    """Play the run of a seed.

    A run that is broken though its own event loop was late is played again, twice at the most.
    """
    for _ in range(3):
        with tempfile.TemporaryDirectory() as folder:
            result = asyncio.run(Run(draw(seed), Path(folder)).play())
        if not (result.is_broken and result.is_void):
            break
    return result


def exit_on_sigterm() -> None:
    """Let a run that is broken off end its sidecars, whose discovery ports others would be given."""
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
