"""Finds the older checkout that BURST_BEFORE names, and calls benchmark functions of either checkout.

BURST_BEFORE is an environment variable. A function is called in its own process, with the packages of its
checkout.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
OLDER_CHECKOUT_VARIABLE = "BURST_BEFORE"


@dataclass(frozen=True, slots=True)
class Build:
    """A checkout whose sidecars a benchmark runs.

    Attributes:
        name: `now`, or `before` for the older checkout.
        checkout: The root of the older checkout; None is this one.
    """

    name: str
    checkout: Path | None

    @property
    def is_current(self) -> bool:
        """Whether it is this checkout, the only one that has objectives."""
        return self.checkout is None


def older_checkout() -> Path | None:
    """Return the root of the older checkout, if one was named."""
    path = os.environ.get(OLDER_CHECKOUT_VARIABLE)
    return Path(path) if path else None


def builds() -> list[Build]:
    """Return the builds to measure beside each other: the older checkout, if one was named, and this one."""
    older = older_checkout()
    before = [Build("before", older)] if older else []
    return [*before, Build("now", None)]


def call(checkout: Path, function: str, *arguments: str | float) -> list[float]:
    """Call `benchmarks.MODULE.FUNCTION` of `checkout` in a new process.

    Args:
        checkout: The root of the checkout.
        function: `MODULE.FUNCTION`. An older checkout has it under the same name.
        arguments: Its arguments.

    Returns:
        The figures that it returned.

    Raises:
        subprocess.CalledProcessError: The function failed; `stderr` has the reason.
    """
    module, name = function.split(".")
    code = f"from benchmarks import {module}; print(*{module}.{name}(*{arguments!r}))"
    command = [sys.executable, "-c", code]
    done = subprocess.run(command, cwd=checkout, capture_output=True, text=True, check=True)
    return [float(figure) for figure in done.stdout.split()]
