"""`anisespool trace`: analysis of request records in log files.

This module has the command's arguments and reads with progress. `records.analysis` computes the answer,
`trace_tables` prints it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime

from rich.console import Console
from rich.progress import Progress, SpinnerColumn, TextColumn

from anisespool.cli import trace_tables
from anisespool.cli.arguments import (
    AsJson,
    EndTime,
    GroupKey,
    LogFiles,
    OutcomeName,
    ShowMissing,
    SlowestCount,
    StartTime,
    TraceId,
)
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.option_groups import expand_option_groups
from anisespool.records import analysis
from anisespool.records.reader import LineCounts, ParsedRecord, RecordFilter, read_records

RECORDS_PER_UPDATE = 20_000  # interval between updates of the progress line
STANDARD_INPUT = "-"


@dataclass(frozen=True, slots=True)
class Query:
    """A query of the records.

    The first of `trace_id`, `missing` and `group_key` that is given selects the answer: the path of a
    request, what is missing, or a table of groups. Without any of them it is the slowest requests.
    """

    trace_id: TraceId = ""
    max_slowest: SlowestCount = 10
    outcome: OutcomeName = ""
    group_key: GroupKey = ""
    missing: ShowMissing = False
    start: StartTime = ""
    end: EndTime = ""

    def time_range(self) -> analysis.TimeRange:
        """Return the range from `start` to `end`, unlimited on a side that is not given.

        Raises:
            CommandError: `start` or `end` is not a time.
        """
        start_s = _parse_time(self.start, "--from", default=float("-inf"))
        end_s = _parse_time(self.end, "--to", default=float("inf"))
        return analysis.TimeRange(start_s, end_s)


@expand_option_groups
def trace(files: LogFiles = None, *, query: Query, as_json: AsJson = False) -> None:
    """Analyse request records: one request, the slowest, counts by key, or what is missing. Exit 1 if no
    request has the given id."""
    names = files or [STANDARD_INPUT]
    time_range = query.time_range()
    _check_query(query, names)
    counts = LineCounts()
    try:
        if query.trace_id:
            _print_path(query.trace_id, names, counts, as_json)
        else:
            _print_answer(query, time_range, names, counts, as_json)
    except (OSError, EOFError) as error:
        raise _unreadable(error, names) from None
    if not as_json:
        trace_tables.print_line_counts(counts)


def _print_path(trace_id: str, names: list[str], counts: LineCounts, as_json: bool) -> None:
    trace_tables.print_path(analysis.find_request(names, trace_id, counts), trace_id, as_json)


def _print_answer(
    query: Query, time_range: analysis.TimeRange, names: list[str], counts: LineCounts, as_json: bool
) -> None:
    """Print the answer to a query that needs one pass over the records."""
    if query.missing:
        records = _read_with_progress(names, counts, as_json, analysis.GAP_FILTER)
        trace_tables.print_missing(analysis.find_missing(records, time_range), as_json)
    elif query.group_key:
        record_filter = RecordFilter(parse_attempts=query.group_key == analysis.ENDPOINT_KEY)
        records = _read_with_progress(names, counts, as_json, record_filter)
        groups = analysis.group_requests(records, query.group_key, time_range)
        trace_tables.print_groups(groups, query.group_key, as_json)
    else:
        records = _read_with_progress(names, counts, as_json, RecordFilter())
        slowest = analysis.slowest_requests(records, query.max_slowest, time_range, query.outcome)
        trace_tables.print_slowest(slowest, as_json)


def _check_query(query: Query, names: list[str]) -> None:
    if query.group_key and query.group_key not in analysis.GROUP_KEYS:
        text = f"--by: found {query.group_key}, wanted one of {', '.join(analysis.GROUP_KEYS)}"
        raise CommandError(ExitStatus.USAGE_ERROR, text)
    if query.trace_id and STANDARD_INPUT in names:
        text = "--id: found standard input, wanted files: they are read twice"
        raise CommandError(ExitStatus.USAGE_ERROR, text)


def _unreadable(error: OSError | EOFError, names: list[str]) -> CommandError:
    name = getattr(error, "filename", None) or ", ".join(names)
    reason = getattr(error, "strerror", None) or error
    return CommandError(ExitStatus.USAGE_ERROR, f"{name}: {reason}")


def _parse_time(text: str, option: str, default: float) -> float:
    """Return an ISO 8601 time in Unix seconds, or the default for no text. A time without a zone is UTC."""
    if not text:
        return default
    try:
        parsed = datetime.fromisoformat(text)
    except ValueError:
        reason = f"{option}: found {text!r}, wanted a time like 2026-07-28T20:00:00-05:00"
        raise CommandError(ExitStatus.USAGE_ERROR, reason) from None
    return (parsed if parsed.tzinfo else parsed.replace(tzinfo=UTC)).timestamp()


def _read_with_progress(
    names: list[str], counts: LineCounts, quiet: bool, record_filter: RecordFilter
) -> Iterator[ParsedRecord]:
    """Yield the records, and show the number read so far on standard error."""
    columns = (SpinnerColumn(), TextColumn("{task.description}"))
    console = Console(stderr=True)
    with Progress(
        *columns, console=console, transient=True, disable=quiet or not console.is_terminal
    ) as progress:
        task = progress.add_task("reading")
        for number, record in enumerate(read_records(names, counts, record_filter)):
            if number % RECORDS_PER_UPDATE == 0:
                progress.update(task, description=f"{number:,} records read")
            yield record
