"""Runs lab scenarios with real processes, for the benchmarks."""

from __future__ import annotations

import asyncio
from pathlib import Path

from anisespool.lab.live import live_run
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import Scenario
from benchmarks.report import Report


def play(
    scenario: Scenario, seed: int, checkout: Path | None = None, *, control: bool = False
) -> live_run.LiveRunResult:
    """Run a scenario with real sidecars.

    Args:
        scenario: The scenario.
        seed: Seed of the clients' arrivals and of the faults.
        checkout: The root of another checkout whose sidecars to run; None for this one.
        control: Whether the sidecars' events are read from their control sockets.

    Raises:
        VoidError: The machine was too busy for the run to be valid.
    """
    return asyncio.run(live_run.play(scenario, seed, checkout, control=control))


def play_unless_void(
    report: Report,
    name: str,
    scenario: Scenario,
    seed: int,
    checkout: Path | None = None,
    *,
    control: bool = False,
) -> live_run.LiveRunResult | None:
    """Run a scenario like `play`, or return None for a void run, which counts as a missed objective."""
    try:
        return play(scenario, seed, checkout, control=control)
    except VoidError as error:
        report.check_objective(False, f"{name}: void: {error}")
        return None
