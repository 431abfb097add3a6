"""Arguments and options of the commands, as types of the commands' parameters.

An option gives its name here if the parameter is named differently. `lab.arguments` has those of the lab.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from anisespool.config.operator import LIVE_SECTIONS
from anisespool.records.analysis import GROUP_KEYS

# Options of several commands.

ConfigPath = Annotated[
    Path | None,
    typer.Option("--config", "-c", envvar="ANISESPOOL_CONFIG", help="The operator's file (TOML)."),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON for scripts: one object per line.")]

# Commands that run processes.

DemoSeconds = Annotated[float, typer.Option(min=5, max=300, help="Duration of the traffic in seconds.")]

# Commands that inspect the fleet.

InstancePattern = Annotated[str, typer.Argument(help="Shell pattern of instance names, such as `edge-*`.")]
Generation = Annotated[int, typer.Argument(min=0, help="Generation of the change; 0: the newest.")]

# Commands that change the fleet.

ChangeFile = Annotated[Path, typer.Argument(help="TOML with live keys only: " + ", ".join(LIVE_SECTIONS))]
WaveSize = Annotated[int, typer.Option("--wave", min=0, help="Instances per wave; 0: all at once.")]
FirstWaveSize = Annotated[
    int, typer.Option("--first", min=0, help="Instances in the first wave; 0: as in the others.")
]
SettleSeconds = Annotated[float, typer.Option("--settle", min=0, help="Seconds to wait between two waves.")]
MaxRejected = Annotated[
    int, typer.Option("--most-refused", min=0, help="Pause when more instances than this reject the change.")
]
MaxUnreachable = Annotated[
    int,
    typer.Option(
        "--most-unreachable", min=-1, help="Pause when more instances than this are unreachable; -1: never."
    ),
]
BaseGeneration = Annotated[
    int, typer.Option("--base", help="Generation that the change is based on; -1: the newest.")
]
ForceChange = Annotated[bool, typer.Option("--force", help="Apply it even if it drains the last endpoint.")]
DryRun = Annotated[bool, typer.Option("--dry-run", help="Validate at every instance; change nothing.")]
Note = Annotated[str, typer.Option("--note", "-m", help="Reason for the change, shown by `status`.")]
EndpointIds = Annotated[list[str], typer.Argument(help="Ids of endpoints, as `inspect` shows them.")]
InstanceName = Annotated[str, typer.Option("--instance", help="Only at this instance, until it exits.")]
ForceDrain = Annotated[bool, typer.Option("--force", help="Drain the endpoints even if none remains.")]

# The `trace` command.

LogFiles = Annotated[list[str] | None, typer.Argument(help="Log files, plain or gzip; `-`: standard input.")]
TraceId = Annotated[str, typer.Option("--id", help="Show the request with this trace id.")]
SlowestCount = Annotated[
    int, typer.Option("--worst", min=1, max=100_000, help="Number of slowest requests to show.")
]
OutcomeName = Annotated[
    str,
    typer.Option("--outcome", help="With --worst: only requests with this outcome (served, failed, ...)."),
]
GroupKey = Annotated[
    str, typer.Option("--by", help=f"Show counts and latencies by one of {', '.join(GROUP_KEYS)}.")
]
ShowMissing = Annotated[
    bool, typer.Option("--dropped", help="Show which records were dropped, and the counts of each process.")
]
StartTime = Annotated[str, typer.Option("--from", help="Start of the time range: 2026-07-28T20:00:00-05:00.")]
EndTime = Annotated[str, typer.Option("--to", help="End of the time range, exclusive.")]
