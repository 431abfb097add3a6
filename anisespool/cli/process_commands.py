"""Commands that run a process, or check its configuration file.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

from pathlib import Path

import typer

from anisespool.cli.agent_client import load_operator_config
from anisespool.cli.arguments import AsJson, ConfigPath, DemoSeconds


def run_sidecar(config: ConfigPath = None) -> None:
    """Run one sidecar, configured by the platform through LB_NAME, LB_LISTEN, LB_DISCOVERY and LB_CONFIG."""
    from anisespool.sidecar import main as run

    raise typer.Exit(run(str(config) if config else None))


def run_agent(config: ConfigPath = None) -> None:
    """Run the agent for all instances whose control sockets are in `control.folder`."""
    from anisespool.agent.main import main as run

    raise typer.Exit(run(load_operator_config(config)))


def run_demo(seconds: DemoSeconds = 15.0, as_json: AsJson = False) -> None:
    """Run a fleet on loopback, inject faults, and check the four rules by counts of clients and endpoints."""
    from anisespool.cli.demo import run

    raise typer.Exit(run(seconds, as_json))


def check_file(file: Path) -> None:
    """Check an operator's file without starting anything. Exit 2 with one line if it is invalid."""
    load_operator_config(file)
    print(f"{file}: good")
