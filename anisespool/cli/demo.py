"""`anisespool demo`: runs the demo fleet with progress, and prints the verdicts on the four rules."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from collections import Counter
from http import HTTPStatus
from itertools import starmap
from pathlib import Path
from typing import NamedTuple

from rich.console import Group
from rich.live import Live
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from anisespool.cli import output
from anisespool.cli.demo_fleet import DemoFleet
from anisespool.cli.tables import Column, build_table
from anisespool.fakes.rule_checker import Verdict

LAST_RESPONSES_S = 2  # added to the total of the progress bar, for responses after the last request
COUNT_INTERVAL_S = 0.1  # interval at which the shown counts are updated
REDRAWS_PER_S = 8  # of the progress bar on the terminal
CLIENT_OUTCOMES = ("served", "refused", "failed")  # values of ClientOutcome


class ClassCounts(NamedTuple):
    """Name of a request class, and the numbers of its responses by outcome."""

    request_class: str
    counts: Counter[str]


def run(seconds: float, as_json: bool) -> int:
    """Run the demo, and print its verdicts.

    Returns:
        0 if all four rules were kept and every command succeeded, otherwise 1.
    """
    with tempfile.TemporaryDirectory() as folder:
        fleet = DemoFleet(Path(folder))
        if as_json or not output.console.is_terminal:
            verdicts = asyncio.run(fleet.run(seconds, _print_stage))
        else:
            verdicts = asyncio.run(_run_with_progress(fleet, seconds))
    passed = all(verdict.kept for verdict in verdicts) and not fleet.problems
    if as_json:
        _print_json(fleet, verdicts, passed)
    else:
        output.console.print(_response_table(fleet), _rule_table(verdicts))
        for problem in fleet.problems:
            output.console.print(problem, style="red", markup=False)
    return int(not passed)


def _print_stage(title: str) -> None:
    print(title, file=sys.stderr)


async def _run_with_progress(fleet: DemoFleet, seconds: float) -> list[Verdict]:
    progress = Progress(TextColumn("{task.description:34}"), BarColumn(), TextColumn("{task.fields[counts]}"))
    task = progress.add_task("", total=seconds + LAST_RESPONSES_S, counts="")

    def report_stage(title: str) -> None:
        progress.update(task, description=title)

    started_s = time.monotonic()
    with Live(Group(progress), console=output.console, refresh_per_second=REDRAWS_PER_S):
        running = asyncio.ensure_future(fleet.run(seconds, report_stage))
        while not running.done():
            served = sum(request.status == HTTPStatus.OK for request in fleet.load.requests)
            counts = f"{len(fleet.load.requests)} requests, {served} served"
            progress.update(task, completed=time.monotonic() - started_s, counts=counts)
            await asyncio.sleep(COUNT_INTERVAL_S)
    return await running


def _print_json(fleet: DemoFleet, verdicts: list[Verdict], passed: bool) -> None:
    output.print_json(
        {
            "rules": [verdict._asdict() for verdict in verdicts],
            "troubles": fleet.problems,
            "classes": {name: dict(counts) for name, counts in fleet.load.outcomes_by_class().items()},
            "kept": passed,
        }
    )


def _response_table(fleet: DemoFleet) -> Table:
    return build_table(
        "Responses", RESPONSE_COLUMNS, starmap(ClassCounts, fleet.load.outcomes_by_class().items())
    )


def _rule_table(verdicts: list[Verdict]) -> Table:
    return build_table("Rules, as counted by the clients and the endpoints", RULE_COLUMNS, verdicts)


def _outcome_column(outcome: str) -> Column[ClassCounts]:
    return Column(outcome, lambda row: str(row.counts[outcome]), "right")


RESPONSE_COLUMNS: list[Column[ClassCounts]] = [
    Column("class", lambda row: row.request_class),
    *map(_outcome_column, CLIENT_OUTCOMES),
]
RULE_COLUMNS: list[Column[Verdict]] = [
    Column("rule", lambda verdict: verdict.rule),
    Column("kept", lambda verdict: "[green]yes" if verdict.kept else "[red]NO"),
    Column("figures", lambda verdict: verdict.figures),
]
