"""The commands of `anisespool lab`."""

from __future__ import annotations

from collections.abc import Callable

import typer

from anisespool.cli.lab import (
    exploration_command,
    live_commands,
    report_command,
    search_commands,
    simulation_commands,
)

app = typer.Typer(no_args_is_help=True, help="Simulate the fleet, or run scenarios with real processes.")
COMMANDS: dict[str, Callable[..., None]] = {
    "list": simulation_commands.list_scenarios,
    "run": simulation_commands.run_scenario,
    "sweep": simulation_commands.sweep_parameters,
    "compare": simulation_commands.compare_policies,
    "real": live_commands.run_live,
    "fleet": live_commands.run_fleet,
    "report": report_command.write_report,
    "search": search_commands.search_faults,
    "replay": search_commands.replay_found,
    "explore": exploration_command.explore_protocol,
}
for command_name, command in COMMANDS.items():
    app.command(command_name)(command)
