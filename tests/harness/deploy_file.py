"""The commands of deploy/balancer.toml, as the platform starts them."""

from __future__ import annotations

import shlex
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent
DEPLOY_FILE = ROOT / "deploy" / "balancer.toml"
DEPLOYED_PYTHON = ".venv/bin/python"


def run_command() -> list[str]:
    """Return the command `run` as the platform starts it, from the root, but with this interpreter."""
    run: str = tomllib.loads(DEPLOY_FILE.read_text())["run"]
    assert DEPLOYED_PYTHON in run
    return ["/bin/sh", "-c", run.replace(DEPLOYED_PYTHON, shlex.quote(sys.executable))]
