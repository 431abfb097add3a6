"""Commands that search for scenarios that break a rule, and replay the findings.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

import typer
from rich.progress import BarColumn, TextColumn

from anisespool.cli import output
from anisespool.cli.arguments import AsJson
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.lab.arguments import (
    OUR_POLICY,
    FindingsPath,
    MaxServiceLoss,
    PolicyName,
    ProcessCount,
    SearchedPolicyName,
    SearchSeconds,
    SearchSeed,
    check_policy,
)
from anisespool.cli.option_groups import expand_option_groups
from anisespool.cli.tables import Column, build_table

if TYPE_CHECKING:  # commands import the search when they run, so that `--help` does not load it
    from anisespool.lab.search.findings import Finding


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """Options of a search: its duration, its target, and the directory for findings."""

    seconds: SearchSeconds = 60.0
    seed: SearchSeed = 1
    policy: SearchedPolicyName = OUR_POLICY
    max_loss: MaxServiceLoss = 2.0
    processes: ProcessCount = 0
    folder: FindingsPath = Path("found")
    as_json: AsJson = False


@expand_option_groups
def search_faults(*, options: SearchOptions) -> None:
    """Search for scenarios that break a rule, shrink them and save them. Exit 1 if any were found."""
    from anisespool.lab.search.mutations import MUTATIONS

    if options.policy not in MUTATIONS:
        check_policy(options.policy)
    runs, findings = _search(options)
    options.folder.mkdir(parents=True, exist_ok=True)
    rows: list[_FindingRow] = []
    for finding in findings:
        row = _save(finding, options.folder)
        rows.append(row)
        if options.as_json:
            output.print_json({"what": row.what, "troubles": row.faults, "replay": row.replay})
    if not options.as_json:
        title = f"{runs} runs, {len(findings)} different findings"
        output.console.print(build_table(title, FINDING_COLUMNS, rows))
    if rows:
        raise typer.Exit(ExitStatus.FAILED)


def replay_found(files: list[Path], policy: PolicyName = "", as_json: AsJson = False) -> None:
    """Replay findings with the policy they were found with, or another. Exit 1 if a rule is broken."""
    broken_count = 0
    for path in files:
        broken_count += _replay(path, policy, as_json)
    if broken_count:
        raise typer.Exit(ExitStatus.FAILED)


class _FindingRow(NamedTuple):
    """A finding as the table shows it."""

    what: str
    faults: str
    seconds: float
    replay: str
    """Command that replays the finding."""


def _save(finding: Finding, folder: Path) -> _FindingRow:
    """Write a finding to its own file, and return its row."""
    path = folder / f"{finding.rule.replace(' ', '-')}-{finding.seed}.json"
    finding.save(path)
    faults = ", ".join(fault.kind for fault in finding.scenario.faults) or "none"
    return _FindingRow(finding.description, faults, finding.scenario.seconds, f"anisespool lab replay {path}")


FINDING_COLUMNS: list[Column[_FindingRow]] = [
    Column("what", lambda row: row.what),
    Column("faults", lambda row: row.faults),
    Column("seconds", lambda row: f"{row.seconds:.1f}"),
    Column("replay", lambda row: row.replay),
]


def _search(options: SearchOptions) -> tuple[int, list[Finding]]:
    """Search with a progress bar, and return the number of runs and the findings."""
    from anisespool.lab.search import parallel_search

    counts_column = TextColumn("{task.fields[counts]}")
    with output.transient_progress(BarColumn(), counts_column, quiet=options.as_json) as progress:
        task = progress.add_task("searching", total=options.seconds, counts="")

        def on_progress(elapsed_s: float, runs: int, findings: int) -> None:
            progress.update(task, completed=elapsed_s, counts=f"{runs} runs, {findings} findings")

        return parallel_search.search_in_parallel(
            options.policy,
            options.seed,
            options.seconds,
            options.max_loss,
            options.processes or None,
            on_progress,
        )


def _replay(path: Path, policy: str, as_json: bool) -> bool:
    """Replay the finding in a file, and return whether a rule was broken."""
    from anisespool.lab.model.world import World
    from anisespool.lab.search.findings import load_finding
    from anisespool.lab.search.mutations import policy_factory

    try:
        finding = load_finding(path)
    except (OSError, ValueError, KeyError) as error:
        raise CommandError(ExitStatus.USAGE_ERROR, f"{path}: {error}") from None
    world = World(finding.scenario, finding.seed, policy_factory(policy or finding.policy))
    metrics = world.run()
    if as_json:
        output.print_json({"file": str(path), "broken": world.broken} | metrics.figures())
    else:
        text = f"{path}: {world.broken or 'kept'} (service {metrics.service():.3f})"
        output.console.print(text, markup=False)
    return bool(world.broken)
