"""The command line of the benchmarks, and the declaration of a benchmark.

A benchmark is a module `benchmarks.NAME` with a `BENCHMARK`. Only the requested module is imported, so the
dependencies of the others don't have to be installed.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from importlib import import_module
from typing import TextIO

from benchmarks.report import Report

DESCRIPTION = "`python -m benchmarks NAME [--json]`: one benchmark, exit status 1 if an objective is missed."
NAMES = (
    "admission",
    "burst",
    "decision",
    "fleet",
    "fleetrig",
    "lab",
    "membership",
    "overload",
    "reality",
    "records",
    "request",
    "standing",
)


@dataclass(frozen=True, slots=True)
class Benchmark:
    """The declaration of a benchmark.

    Attributes:
        title: The heading of its main table.
        columns: The columns of its main table.
        measure: Takes the measurements, and adds rows, notes and objectives to the report.
    """

    title: str
    columns: tuple[str, ...]
    measure: Callable[[Report], None]

    def run(self) -> Report:
        """Take the measurements, and return the report."""
        report = Report(self.title, self.columns)
        self.measure(report)
        return report


def load(name: str) -> Benchmark:
    """Import the benchmark called `name`, without the others."""
    benchmark = import_module(f"benchmarks.{name}").BENCHMARK
    assert isinstance(benchmark, Benchmark)
    return benchmark


def run(benchmark: Benchmark, out: TextIO, *, as_json: bool = False) -> int:
    """Run a benchmark, and print its report; with `as_json` the last line is one JSON object.

    Returns:
        The exit status: 1 if an objective was missed, otherwise 0.
    """
    report = benchmark.run()
    report.print_to(out)
    if as_json:
        print(json.dumps(report.to_json()), file=out)
    return 1 if report.missed_objectives else 0


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the benchmark that the command line names, and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks", description=DESCRIPTION)
    parser.add_argument("name", choices=NAMES)
    parser.add_argument("--json", action="store_true", help="the last line is one JSON object")
    parsed = parser.parse_args(arguments)
    return run(load(parsed.name), sys.stdout, as_json=parsed.json)
