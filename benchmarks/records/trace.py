"""Measures time and memory of five `anisespool trace` queries on a log of a million records and other lines.

The objective: each query prints the expected number of rows.
"""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random

from anisespool.config.operator import RecordOptions
from anisespool.fakes import record_soak
from benchmarks.report import Cell, Report

SEED = 5
RECORDS = 1_000_000
RECORDS_PER_OTHER_LINE = 10
OTHER_LINE = b"Jul 28 20:00:00 lima kernel: something else\n"
TENANTS = 50  # each a `member` in records
ENDPOINTS = 40
"""Number of endpoints from which `record_soak` draws."""
FIRST_RECORD_NS = 1_785_286_800_000_000_000
RECORD_INTERVAL_NS = 1_000_000
KB_PER_MB = 1024

# Python source that runs the command line, and prints its peak memory in kB at the end.
MAIN_SOURCE = """import sys
from anisespool.__main__ import main
status = main()
print(open("/proc/self/status").read().split("VmHWM:")[1].split()[0], file=sys.stderr)
sys.exit(status)"""


@dataclass(frozen=True, slots=True)
class Query:
    """Arguments of `trace`, and the expected number of rows."""

    arguments: tuple[str, ...]
    rows: int


QUERIES = (
    Query(("--id", "t777777"), 1),
    Query(("--by", "member"), TENANTS),
    Query(("--by", "endpoint"), ENDPOINTS),
    Query(("--worst", "10"), 10),
    Query(("--dropped",), 0),
)


def _write_log(path: Path) -> None:
    options = RecordOptions(destination="udp://127.0.0.1:1")
    encoder = record_soak.create_recorder(1, options).encoder
    random = Random(SEED)
    with path.open("wb") as file:
        for number in range(RECORDS):
            record = record_soak.random_request(random, number, b"member-%d" % (number % TENANTS))
            at_ns = FIRST_RECORD_NS + number * RECORD_INTERVAL_NS
            file.write(encoder.encode_request(number + 1, record, at_ns) + b"\n")
            if number % RECORDS_PER_OTHER_LINE == 0:
                file.write(OTHER_LINE)


def _run_query(report: Report, path: Path, query: Query) -> tuple[Cell, ...]:
    """Check the objective for a query, and return its row."""
    query_arguments = " ".join(query.arguments)
    command = [sys.executable, "-c", MAIN_SOURCE, "trace", str(path), *query.arguments, "--json"]
    start = time.monotonic()
    finished = subprocess.run(command, capture_output=True, text=True, check=True)
    took_s = time.monotonic() - start
    peak_mb = int(finished.stderr.split()[-1]) // KB_PER_MB
    rows = len(finished.stdout.splitlines())
    report.check_objective(rows == query.rows, f"trace {query_arguments}: {rows} rows, {query.rows} wanted")
    return query_arguments, f"{took_s:.1f}", peak_mb, rows


def measure_trace(report: Report) -> None:
    """Report time and memory of each query."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "records.log"
        _write_log(path)
        rows = [_run_query(report, path, query) for query in QUERIES]
    report.add_table(
        f"trace on {RECORDS:,} records and {RECORDS // RECORDS_PER_OTHER_LINE:,} other lines",
        ("words", "seconds", "peak MB", "rows"),
        *rows,
    )
