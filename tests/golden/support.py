"""Runs commands and processes for the golden tests, and normalizes their output."""

from __future__ import annotations

import contextlib
import io
import os
import shutil
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, NamedTuple
from unittest.mock import patch

from anisespool.__main__ import main

ROOT = Path(__file__).parents[2]
DATA = Path(__file__).parent / "data"
TIMEOUT_S = 20.0
# Fields that differ from run to run. Each value is replaced by the name of its type.
VOLATILE_FIELDS = {"pid", "boot", "build", "started_ms", "uptime_s", "at_ns", "n", "next", "listen"}
VOLATILE_FIELDS |= {"age_ms", "datagrams", "health", "in_vain", "pauses"}  # GET /v1/peers
VOLATILE_FIELDS |= {"uptime_ms", "silent_ms"}  # `anisespool list`


def normalize(value: Any) -> Any:
    """Return a JSON value without the parts that differ from run to run.

    Volatile fields have the name of their type as value. `stalled` events are left out, as they depend on the
    load of the machine.
    """
    if isinstance(value, list):
        items = [item for item in value if not (isinstance(item, dict) and item.get("what") == "stalled")]
        return [normalize(item) for item in items]
    if not isinstance(value, dict):
        return value
    return {
        key: f"<{type(item).__name__}>" if key in VOLATILE_FIELDS else normalize(item)
        for key, item in value.items()
    }


class CommandResult(NamedTuple):
    """The result of a command: its exit status, and the lines of its standard output and error."""

    status: int
    output: list[str]
    errors: list[str]


def run_command(arguments: list[str]) -> CommandResult:
    """Run `anisespool ARGUMENTS` in this process."""
    output, errors = io.StringIO(), io.StringIO()
    with (
        patch.object(sys, "argv", ["anisespool", *arguments]),
        contextlib.redirect_stdout(output),
        contextlib.redirect_stderr(errors),
    ):
        status = int(main())
    return CommandResult(status, output.getvalue().splitlines(), errors.getvalue().splitlines())


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds, for TIMEOUT_S at most."""
    deadline = time.monotonic() + TIMEOUT_S
    while not condition() and time.monotonic() < deadline:
        time.sleep(0.01)


def accepts_connections(path: Path) -> bool:
    """Return whether a Unix socket accepts connections; bind creates its path before that."""
    with socket.socket(socket.AF_UNIX) as client:
        try:
            client.connect(os.path.relpath(path))  # An address has at most 107 characters.
        except OSError:
            return False
    return True


@contextmanager
def running(arguments: list[str], folder: Path, path: Path) -> Iterator[subprocess.Popen[bytes]]:
    """Run `anisespool ARGUMENTS` as a process in a folder, and yield it when the socket at `path` accepts.

    Its configuration is that of data/control, whose endpoints do not exist.
    """
    for name in ("config.json", "operator.toml"):
        shutil.copy(DATA / "control" / name, folder)
    environment = os.environ | {
        "PYTHONPATH": str(ROOT),
        "LB_NAME": "n0",
        "LB_LISTEN": "127.0.0.1:0",
        "LB_DISCOVERY": "127.0.0.1:9",
        "LB_CONFIG": "config.json",
    }
    command = [sys.executable, "-m", "anisespool", *arguments, "--config", "operator.toml"]
    process = subprocess.Popen(command, cwd=folder, env=environment, stderr=subprocess.DEVNULL)
    try:
        wait_until(lambda: accepts_connections(path) or process.poll() is not None)
        assert accepts_connections(path), f"{arguments[0]} is not ready, its exit status is {process.poll()}"
        yield process
    finally:
        process.kill()
        process.wait()
