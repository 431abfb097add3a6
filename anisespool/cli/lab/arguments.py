"""Arguments and options of the lab's commands, as types for their parameters, and how some are read.

An option whose parameter has another name than the command line gives it states its name here.
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

# Figures of a run that every table shows, as the metrics name them.
MAIN_FIGURES = ("service", "in_time", "late", "refused", "failed")
RIGHT_ALIGNED_FIGURES = ("refused", "failed")  # in tables
NO_OVERRIDES: list[str] = []  # a default, never changed
OUR_POLICY = "ours"

# Of several commands ------------------------------------------------------------------------------

ScenarioName = Annotated[str, typer.Argument(help="A scenario of the library (`lab list`), or a file.")]
SeedCount = Annotated[int, typer.Option("--seeds", min=1, max=10_000, help="How many seeds, counted from 1.")]
PolicyName = Annotated[str, typer.Option("--policy", help="One of " + ", ".join(POLICIES))]
Overrides = Annotated[
    list[str], typer.Option("--set", "-s", help="KEY=VALUE in place of the scenario's: traffic.per_s=500")
]
ResultsPath = Annotated[
    Path | None,
    typer.Option("--results", help="File for the results; an interrupted sweep continues from it."),
]
ProcessCount = Annotated[
    int, typer.Option("--processes", "-j", min=0, help="Processes that run scenarios; 0: one a core.")
]


@dataclass(frozen=True, slots=True)
class BatchOptions:
    """How many runs of the model are made and shown: options of `run`, `sweep` and `compare`."""

    overrides: Overrides = field(default_factory=list)
    processes: ProcessCount = 0
    results_path: ResultsPath = None
    as_json: AsJson = False


# Sweeps and comparisons ---------------------------------------------------------------------------

SweptValues = Annotated[
    list[str], typer.Option("--over", help="KEY=V1,V2,...; several are combined with each other.")
]
ComparedPolicyName = Annotated[str, typer.Option("--with", help="The policy that ours is compared with.")]
ComparedOverrides = Annotated[
    list[str],
    typer.Option("--against", help="KEY=VALUE for a second run of ours, in place of another policy."),
]

# Real processes -----------------------------------------------------------------------------------

LiveSeed = Annotated[int, typer.Option("--seed", help="Decides which requests are sent, and when.")]
SidecarCount = Annotated[int, typer.Option("--sidecars", min=0, help="In place of the scenario's.")]
FleetSeed = Annotated[int, typer.Option("--seed", help="Decides requests, faults and lost messages.")]
Mutation = Annotated[
    str, typer.Option("--spoilt", help="A deliberate fault in the program, to check that the run finds it.")
]
HistoryPath = Annotated[
    Path | None, typer.Option("--history", help="File for the joined history of events: JSON lines.")
]
PicturePath = Annotated[Path | None, typer.Option("--picture", help="File for the timeline: SVG.")]

# Reports ------------------------------------------------------------------------------------------

ReportPath = Annotated[Path, typer.Option("--file", help="File for the page: HTML that loads nothing else.")]
SecondRunName = Annotated[str, typer.Option("--with", help="A policy, or `reality`, drawn over it.")]
SecondRunOverrides = Annotated[
    list[str], typer.Option("--against", help="KEY=VALUE for a second run of ours, drawn over it.")
]
ReportSeed = Annotated[int, typer.Option("--seed", help="Seed of both runs.")]

# Search -------------------------------------------------------------------------------------------

SearchSeconds = Annotated[float, typer.Option("--seconds", min=1, help="How long to search, on each core.")]
SearchSeed = Annotated[
    int, typer.Option("--seed", help="Decides the scenarios; how many are run depends on the machine.")
]
SearchedPolicyName = Annotated[
    str, typer.Option("--policy", help="A policy, or one with a deliberate fault.")
]
MaxServiceLoss = Annotated[
    float,
    typer.Option(
        "--loss", help="Share of service lost against an ideal policy that counts as a find; over 1: none."
    ),
]
FindsPath = Annotated[Path, typer.Option("--folder", help="Directory for the finds.")]

# Exploration --------------------------------------------------------------------------------------

ProtocolName = Annotated[str, typer.Argument(help="generations or waves")]
MemberCount = Annotated[int, typer.Option("--members", min=1, max=4, help="Members of the fleet.")]
MaxLost = Annotated[int, typer.Option("--lost", min=0, max=3, help="Messages that may be lost.")]
MaxDuplicated = Annotated[
    int, typer.Option("--doubled", min=0, max=3, help="Messages that may be duplicated.")
]
MaxRestarts = Annotated[int, typer.Option("--restarts", min=0, max=3, help="Restarts of members.")]
MaxStates = Annotated[int, typer.Option("--most", min=1, max=5_000_000, help="Maximum number of states.")]


def load_scenario(name: str, overrides: list[str]) -> tuple[str, scenario.Scenario]:
    """Load a scenario, with some keys overridden.

    Returns:
        A title that names the overrides too, and the scenario.

    Raises:
        CommandError: There is no such scenario, or a key or value is invalid.
    """
    try:
        return experiments.with_overrides(scenario.load(name), overrides, name)
    except ScenarioError as error:
        raise CommandError(ExitStatus.USAGE_ERROR, str(error)) from None


def check_policy(name: str) -> str:
    """Return the name if it is a policy's; otherwise raise a CommandError."""
    if name not in POLICIES:
        raise CommandError(ExitStatus.USAGE_ERROR, f"no policy {name!r}, there are {', '.join(POLICIES)}")
    return name
