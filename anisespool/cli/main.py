"""The command line: its commands, and the exit status for each outcome.

A command queries the agent, the lab or log files, prints the answer and exits. PANELS has the function of
each command; `--help` groups commands by panel.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Annotated

import grpc
import typer

from anisespool import __version__
from anisespool.cli import change_commands, inspection_commands, process_commands
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.trace_command import trace

app = typer.Typer(
    no_args_is_help=True,
    rich_markup_mode="markdown",
    pretty_exceptions_enable=False,
    help="""One command for many sidecars: list, inspect, change and drain them together.

Begin with `anisespool demo` (a whole fleet on loopback, 20 s). In production enable `[control]` and `[agent]`
in the operator's file, start each sidecar with `anisespool sidecar --config FILE`, and one agent with
`anisespool agent --config FILE`. Then use `list`, `inspect NAME`, `apply CHANGE.toml`, `drain ENDPOINT`.

Exit status: 0 done, 1 failed, 2 invalid argument or file, 3 partly done, 4 no agent.""",
)
PANELS: dict[str, dict[str, Callable[..., None]]] = {
    "Processes": {
        "sidecar": process_commands.run_sidecar,
        "agent": process_commands.run_agent,
        "demo": process_commands.run_demo,
        "check": process_commands.check_file,
    },
    "Inspection": {
        "trace": trace,
        "list": inspection_commands.list_instances,
        "inspect": inspection_commands.inspect_instance,
        "peers": inspection_commands.show_peers,
        "status": inspection_commands.show_status,
        "watch": inspection_commands.watch_events,
    },
    "Changes": {
        "apply": change_commands.apply_change,
        "rollback": change_commands.roll_back,
        "pause": change_commands.pause_rollout,
        "resume": change_commands.resume_rollout,
        "abort": change_commands.abort_rollout,
        "drain": change_commands.drain_endpoints,
        "undrain": change_commands.undrain_endpoints,
        "retire": change_commands.retire_instances,
    },
}
for panel, commands in PANELS.items():
    for command_name, command in commands.items():
        app.command(command_name, rich_help_panel=panel)(command)


def _print_version(requested: bool) -> None:
    if requested:
        print(f"anisespool {__version__}")
        raise typer.Exit


@app.callback()
def _options(
    version: Annotated[bool, typer.Option("--version", callback=_print_version, is_eager=True)] = False,
) -> None:
    """Declare the global option `--version`."""


def _add_lab_commands() -> None:
    """Add the `lab` commands, which import numpy.

    Only called if the arguments need them: importing numpy takes a third of a second, and in production it
    need not be installed.
    """
    try:
        from anisespool.cli.lab import app as lab_app
    except ImportError as error:
        print(f"anisespool: the lab is not installed ({error}); pip install '.[lab]'", file=sys.stderr)
        return
    app.add_typer(lab_app, name="lab", rich_help_panel="Lab")


def main() -> int:
    """Run the command given by the process's arguments, and return its exit status."""
    if "lab" in sys.argv[1:2] or "--help" in sys.argv[1:2] or len(sys.argv) == 1:
        _add_lab_commands()
    try:
        result = app(standalone_mode=False, prog_name="anisespool")
    except CommandError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return error.status
    except typer.Exit as error:
        return int(error.exit_code)
    except typer.Abort:
        return ExitStatus.FAILED
    except grpc.RpcError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return ExitStatus.FAILED
    except Exception as error:
        if not _is_usage_error(error):
            raise
        text = error.format_message() if hasattr(error, "format_message") else str(error)
        print(f"anisespool: {text} See anisespool --help", file=sys.stderr)
        return ExitStatus.USAGE_ERROR
    return result if isinstance(result, int) else ExitStatus.SUCCESS


def _is_usage_error(error: Exception) -> bool:
    """Return whether the argument parser raised the error.

    It is recognized by its module's name, as typer may bundle its own copy of click.
    """
    return type(error).__module__.partition(".")[0] in ("click", "typer")
