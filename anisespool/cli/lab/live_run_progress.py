"""Runs a scenario with real processes, shows progress bars, and turns errors into exit statuses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from rich.progress import BarColumn, TimeRemainingColumn

from anisespool.cli import output
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.lab.live import live_run
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import Scenario, ScenarioError

ResultT = TypeVar("ResultT")
UPDATE_INTERVAL_S = 0.25  # between updates of the progress bar


def run_with_progress(
    title: str, scenario: Scenario, seed: int, quiet: bool, control: bool = False, mutation: str = ""
) -> live_run.LiveRunResult:
    """Run the scenario with real processes.

    Args:
        title: Name of the scenario in errors.
        scenario: Scenario to run.
        seed: Seed of everything random.
        quiet: Whether to show no progress bars.
        control: Whether sidecars report events through their control sockets.
        mutation: Name of a deliberate defect in the program; empty for none.

    Raises:
        CommandError: The scenario exceeds the limits of real processes, the run is void, or a process failed.
    """
    try:
        live_run.check_limits(scenario, title)
        return _run(scenario, seed, quiet, control, mutation)
    except ScenarioError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, str(error)) from None
    except VoidError as error:
        raise CommandError(ExitStatus.FAILED, f"void: {error}") from None
    except ExceptionGroup as group:
        text = f"real processes: {group.exceptions[0] or 'not ready in time'}"
        raise CommandError(ExitStatus.FAILED, text) from None
    except (OSError, RuntimeError, TimeoutError) as error:
        text = str(error) or "a sidecar was not ready in time"
        raise CommandError(ExitStatus.FAILED, f"real processes: {text}; fewer sidecars may work") from None


def _run(scenario: Scenario, seed: int, quiet: bool, control: bool, mutation: str) -> live_run.LiveRunResult:
    with output.transient_progress(BarColumn(), TimeRemainingColumn(), quiet=quiet) as progress:
        start_task = progress.add_task("starting", total=scenario.sidecars)
        run_task = progress.add_task("real processes", total=scenario.warm_s + scenario.seconds)

        def on_started(stage: str, count: int) -> None:
            progress.update(start_task, completed=count)

        def on_interval() -> None:
            if progress.tasks[0].finished:
                progress.advance(run_task, UPDATE_INTERVAL_S)

        run = live_run.play(scenario, seed, control=control, mutation=mutation, progress=on_started)
        return asyncio.run(_run_with_interval(run, on_interval))


async def _run_with_interval(work: Coroutine[Any, Any, ResultT], on_interval: Callable[[], None]) -> ResultT:
    """Await `work`, and call `on_interval` every UPDATE_INTERVAL_S meanwhile."""
    task = asyncio.get_running_loop().create_task(work)
    while not task.done():
        await asyncio.wait([task], timeout=UPDATE_INTERVAL_S)
        on_interval()
    return task.result()
