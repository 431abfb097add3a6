"""Arguments and options of the lab's commands, as types of their parameters, and functions that check some.

An option gives its name here if the parameter is named differently.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import typer

from anisespool.cli.arguments import AsJson
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.lab import experiments, scenario
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.scenario import ScenarioError

# Figures of a run that every table shows, by their names in the metrics.
MAIN_FIGURES = ("service", "in_time", "late", "refused", "failed")
RIGHT_ALIGNED_FIGURES = ("refused", "failed")  # figures with right-aligned columns
NO_OVERRIDES: list[str] = []  # default of parameters; never modified
OUR_POLICY = "ours"

# Options of several commands.

ScenarioName = Annotated[str, typer.Argument(help="A scenario of the library (`lab list`), or a file.")]
SeedCount = Annotated[
    int, typer.Option("--seeds", min=1, max=10_000, help="Number of seeds, counted from 1.")
]
PolicyName = Annotated[str, typer.Option("--policy", help="One of " + ", ".join(POLICIES))]
Overrides = Annotated[
    list[str],
    typer.Option("--set", "-s", help="KEY=VALUE in place of the scenario's value: traffic.per_s=500"),
]
ResultsPath = Annotated[
    Path | None,
    typer.Option("--results", help="File for the results, from which an interrupted sweep is continued."),
]
ProcessCount = Annotated[
    int, typer.Option("--processes", "-j", min=0, help="Processes that run scenarios; 0: one per core.")
]


@dataclass(frozen=True, slots=True)
class BatchOptions:
    """Options of `run`, `sweep` and `compare`: how the simulations are run and shown."""

    overrides: Overrides = field(default_factory=list)
    processes: ProcessCount = 0
    results_path: ResultsPath = None
    as_json: AsJson = False


# Sweeps and comparisons of simulations.

SweptValues = Annotated[
    list[str], typer.Option("--over", help="KEY=V1,V2,...; with several, all combinations are run.")
]
ComparedPolicyName = Annotated[str, typer.Option("--with", help="Policy to compare with ours.")]
ComparedOverrides = Annotated[
    list[str],
    typer.Option(
        "--against", help="KEY=VALUE: compare ours with itself under this override, not with another policy."
    ),
]

# Runs with real processes.

LiveSeed = Annotated[int, typer.Option("--seed", help="Seed of the requests and their send times.")]
SidecarCount = Annotated[
    int, typer.Option("--sidecars", min=0, help="Number of sidecars; 0: as in the scenario.")
]
FleetSeed = Annotated[int, typer.Option("--seed", help="Seed of requests, faults and lost messages.")]
Mutation = Annotated[
    str, typer.Option("--spoilt", help="Deliberate defect in the program, to check that the run detects it.")
]
HistoryPath = Annotated[
    Path | None, typer.Option("--history", help="File for the joined event history, as JSON lines.")
]
PicturePath = Annotated[Path | None, typer.Option("--picture", help="File for the timeline, as SVG.")]

# Reports of runs.

ReportPath = Annotated[Path, typer.Option("--file", help="File for the report: self-contained HTML.")]
SecondRunName = Annotated[
    str, typer.Option("--with", help="Second run, drawn over the first: a policy, or `reality`.")
]
SecondRunOverrides = Annotated[
    list[str],
    typer.Option("--against", help="KEY=VALUE for a second run of the same policy, drawn over the first."),
]
ReportSeed = Annotated[int, typer.Option("--seed", help="Seed of both runs.")]

# Search for scenarios that break a rule.

SearchSeconds = Annotated[
    float, typer.Option("--seconds", min=1, help="Seconds to search in each process, not counting shrinking.")
]
SearchSeed = Annotated[
    int, typer.Option("--seed", help="Seed of the scenarios; how many are run depends on the machine.")
]
SearchedPolicyName = Annotated[
    str, typer.Option("--policy", help="Policy, or mutation (ours with a deliberate defect).")
]
MaxServiceLoss = Annotated[
    float,
    typer.Option(
        "--loss",
        help="Share of service lost against an ideal policy that counts as a finding; over 1: none.",
    ),
]
FindingsPath = Annotated[Path, typer.Option("--folder", help="Directory for the findings.")]

# Exploration of a protocol.

ProtocolName = Annotated[str, typer.Argument(help="Protocol to explore: generations or waves.")]
MemberCount = Annotated[int, typer.Option("--members", min=1, max=4, help="Number of members.")]
MaxLost = Annotated[int, typer.Option("--lost", min=0, max=3, help="Maximum number of lost messages.")]
MaxDuplicated = Annotated[
    int, typer.Option("--doubled", min=0, max=3, help="Maximum number of duplicated messages.")
]
MaxRestarts = Annotated[int, typer.Option("--restarts", min=0, max=3, help="Maximum number of restarts.")]
MaxStates = Annotated[int, typer.Option("--most", min=1, max=5_000_000, help="Maximum number of states.")]


def load_scenario(name: str, overrides: list[str]) -> tuple[str, scenario.Scenario]:
    """Load a scenario with overrides applied.

    Returns:
        A title made of the overrides, and the scenario.

    Raises:
        CommandError: The scenario does not exist, or a key or value is invalid.
    """
    try:
        return experiments.with_overrides(scenario.load(name), overrides, name)
    except ScenarioError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, str(error)) from None


def check_policy(name: str) -> str:
    """Return the name if a policy has it, otherwise raise a CommandError."""
    if name not in POLICIES:
        raise CommandError(ExitStatus.USAGE_ERROR, f"no policy {name!r}, there are {', '.join(POLICIES)}")
    return name
