"""Commands that search for scenarios which break a rule, and replay those found.

Docstrings of commands are what `--help` shows.
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
    FindsPath,
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

if TYPE_CHECKING:  # the search is loaded by the commands, not by `--help`
    from anisespool.lab.search.findings import Finding


@dataclass(frozen=True, slots=True)
class SearchOptions:
    """How long is searched, for what, and where finds are saved."""

    seconds: SearchSeconds = 60.0
    seed: SearchSeed = 1
    policy: SearchedPolicyName = OUR_POLICY
    max_loss: MaxServiceLoss = 2.0
    processes: ProcessCount = 0
    folder: FindsPath = Path("found")
    as_json: AsJson = False


@expand_option_groups
def search_faults(*, options: SearchOptions) -> None:
    """Search for scenarios that break a rule, shrink them, save them. Exit 1 if there are any."""
    from anisespool.lab.search.mutations import MUTATIONS

    if options.policy not in MUTATIONS:
        check_policy(options.policy)
    runs, found = _search(options)
    options.folder.mkdir(parents=True, exist_ok=True)
    finds: list[_Find] = []
    for one in found:
        find = _save(one, options.folder)
        finds.append(find)
        if options.as_json:
            output.print_json({"what": find.what, "troubles": find.faults, "replay": find.replay})
    if not options.as_json:
        title = f"{runs} runs, {len(found)} different finds"
        output.console.print(build_table(title, FIND_COLUMNS, finds))
    if finds:
        raise typer.Exit(ExitStatus.FAILED)


def replay_found(files: list[Path], policy: PolicyName = "", as_json: AsJson = False) -> None:
    """Replay finds, with the policy that they were found with or another. Exit 1 if a rule is broken."""
    broken_count = 0
    for path in files:
        broken_count += _replay(path, policy, as_json)
    if broken_count:
        raise typer.Exit(ExitStatus.FAILED)


class _Find(NamedTuple):
    """A find as it is shown."""

    what: str
    faults: str
    seconds: float
    replay: str
    """The command that replays it."""


def _save(found: Finding, folder: Path) -> _Find:
    """Write a find to a file of its own."""
    path = folder / f"{found.rule.replace(' ', '-')}-{found.seed}.json"
    found.save(path)
    faults = ", ".join(fault.kind for fault in found.scenario.faults) or "none"
    return _Find(found.description, faults, found.scenario.seconds, f"anisespool lab replay {path}")


FIND_COLUMNS: list[Column[_Find]] = [
    Column("what", lambda find: find.what),
    Column("faults", lambda find: find.faults),
    Column("seconds", lambda find: f"{find.seconds:.1f}"),
    Column("replay", lambda find: find.replay),
]


def _search(options: SearchOptions) -> tuple[int, list[Finding]]:
    """Search behind a progress bar; return the number of runs, and what was found."""
    from anisespool.lab.search import parallel_search

    counts_column = TextColumn("{task.fields[counts]}")
    with output.transient_progress(BarColumn(), counts_column, quiet=options.as_json) as progress:
        task = progress.add_task("searching", total=options.seconds, counts="")

        def on_progress(elapsed_s: float, runs: int, found: int) -> None:
            progress.update(task, completed=elapsed_s, counts=f"{runs} runs, {found} finds")

        return parallel_search.search_in_parallel(
            options.policy,
            options.seed,
            options.seconds,
            options.max_loss,
            options.processes or None,
            on_progress,
        )


def _replay(path: Path, policy: str, as_json: bool) -> bool:
    """Replay one file; return whether a rule was broken."""
    from anisespool.lab.model.world import World
    from anisespool.lab.search.findings import load_finding
    from anisespool.lab.search.mutations import policy_factory

    try:
        found = load_finding(path)
    except (OSError, ValueError, KeyError) as error:
        raise CommandError(ExitStatus.USAGE_ERROR, f"{path}: {error}") from None
    world = World(found.scenario, found.seed, policy_factory(policy or found.policy))
    metrics = world.run()
    if as_json:
        output.print_json({"file": str(path), "broken": world.broken} | metrics.figures())
    else:
        text = f"{path}: {world.broken or 'kept'} (service {metrics.service():.3f})"
        output.console.print(text, markup=False)
    return bool(world.broken)
