"""Output of `anisespool trace`: tables for people, JSON lines for scripts.

Parameters of records keep their names from the log (docs/records.md). Their values come from clients, so
tables escape them with `printable`: no terminal control sequence is printed.
"""

from __future__ import annotations

from itertools import starmap
from typing import NamedTuple

from rich.console import Console
from rich.text import Text

from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.output import MS_PER_S, JsonObject, print_json
from anisespool.cli.tables import Column, build_plain_table
from anisespool.cli.trace_cells import printable, styled_outcome
from anisespool.cli.trace_path import span_columns, spans
from anisespool.records import analysis
from anisespool.records.outcome import OUTCOME_NAMES
from anisespool.records.reader import LineCounts, ParsedRecord

MIN_DURATION_MS = 0.001  # minimum for a path: bars are drawn relative to its duration
console = Console(soft_wrap=False)


def print_path(records: list[ParsedRecord], trace_id: str, as_json: bool) -> None:
    """Print the path of a request: its record and those of the client's other attempts, by time.

    Raises:
        CommandError: No record was found.
    """
    if not records:
        text = f"no record has the trace id {trace_id}; it was not sampled, or was dropped (see --dropped)"
        raise CommandError(ExitStatus.FAILED, text)
    if as_json:
        for record in records:
            print_json(_record_to_dict(record))
        return
    start_s = records[0].started_s
    duration_ms = max((max(record.finished_s for record in records) - start_s) * MS_PER_S, MIN_DURATION_MS)
    request = f"{records[0].request_class} of {records[0].tenant}"
    console.print(printable(f"{request}, {len(records)} attempts of the client, {duration_ms:.1f} ms"))
    rows = [span for record in records for span in spans(record, start_s, trace_id)]
    console.print(build_plain_table(span_columns(duration_ms), rows))


def print_slowest(records: list[ParsedRecord], as_json: bool) -> None:
    """Print a row for each request."""
    if as_json:
        for record in records:
            print_json(_record_to_dict(record))
        return
    console.print(build_plain_table(REQUEST_COLUMNS, records))


def print_groups(groups: dict[str, analysis.GroupStats], group_key: str, as_json: bool) -> None:
    """Print counts, outcomes and latencies of each group of requests."""
    if as_json:
        for name, stats in groups.items():
            print_json({group_key: name} | _group_to_dict(stats))
        return
    outcomes = sorted({outcome for stats in groups.values() for outcome in stats.outcomes})
    console.print(build_plain_table(_group_columns(group_key, outcomes), starmap(NamedGroup, groups.items())))


def print_missing(missing: analysis.MissingRecords, as_json: bool) -> None:
    """Print the gaps that processes reported, and the last record counts of each process."""
    if as_json:
        for gap in missing.gaps:
            print_json({"kind": "gap", "process": gap.process, "at": gap.timestamp} | gap.params)
        for process, account in missing.accounts.items():
            print_json({"kind": "account", "process": process} | account.params)
        return
    console.print(build_plain_table(GAP_COLUMNS, missing.gaps, title="Gaps"))
    console.print(build_plain_table(ACCOUNT_COLUMNS, missing.accounts.values(), title="Counts by process"))
    console.print(f"{missing.dropped} dropped and {missing.unconfirmed} unconfirmed in the reported gaps")


def print_line_counts(counts: LineCounts) -> None:
    """Print the number of records read, and of other lines skipped."""
    skipped = f", {counts.other_lines} other lines skipped" if counts.other_lines else ""
    console.print(f"[dim]{counts.records} records{skipped}[/dim]")


def _record_to_dict(record: ParsedRecord) -> JsonObject:
    return {
        "at": record.timestamp,
        "process": record.process,
        **record.params,
        "attempts": [attempt._asdict() for attempt in record.attempts],
    }


def _group_to_dict(stats: analysis.GroupStats) -> JsonObject:
    return {
        "count": stats.count,
        "outcomes": stats.outcomes,
        "tries": stats.attempts,
        "mean_ms": round(stats.sum_ms / stats.count, 3),
        "most_ms": stats.max_ms,
    }


def _attempt_summary(record: ParsedRecord) -> Text:
    summaries = [f"{attempt.endpoint} {attempt.status} {attempt.ms:.0f}" for attempt in record.attempts]
    return printable(", ".join(summaries))


def _dropped_by_outcome(gap: ParsedRecord) -> Text:
    counts = [f"{gap.params[outcome]} {outcome}" for outcome in OUTCOME_NAMES if outcome in gap.params]
    return printable(", ".join(counts))


REQUEST_COLUMNS: list[Column[ParsedRecord]] = [
    Column("ms", lambda record: f"{record.duration_ms:.1f}"),
    Column("at", lambda record: printable(record.timestamp)),
    Column("trace", lambda record: printable(record.trace_id)),
    Column("class", lambda record: printable(record.request_class)),
    Column("member", lambda record: printable(record.tenant)),
    Column("node", lambda record: printable(record.node)),
    Column("outcome", lambda record: styled_outcome(record.outcome)),
    Column("attempts", _attempt_summary),
]
GAP_COLUMNS: list[Column[ParsedRecord]] = [
    Column("from", lambda gap: printable(gap.params.get("from", gap.timestamp))),
    Column("to", lambda gap: printable(gap.params.get("to", ""))),
    Column("process", lambda gap: printable(gap.process)),
    Column("dropped", lambda gap: printable(gap.params.get("dropped", "0"))),
    Column("unconfirmed", lambda gap: printable(gap.params.get("unsure", "0"))),
    Column("reason", lambda gap: printable(gap.params.get("reason"))),
    Column("outcomes", _dropped_by_outcome),
]
ACCOUNT_COLUMNS: list[Column[ParsedRecord]] = [
    Column("process", lambda account: printable(account.process)),
    Column("answered", lambda account: printable(account.params.get("answered"))),
    Column("sent", lambda account: printable(account.params.get("sent"))),
    Column("dropped", lambda account: printable(account.params.get("dropped"))),
    Column("not sampled", lambda account: printable(account.params.get("unchosen"))),
    Column("unconfirmed", lambda account: printable(account.params.get("unsure"))),
    Column("ended", lambda account: "yes" if account.params.get("last") == "1" else "not reported"),
]


class NamedGroup(NamedTuple):
    """Name of a group of requests, and its statistics."""

    name: str
    stats: analysis.GroupStats


def _group_columns(group_key: str, outcomes: list[str]) -> list[Column[NamedGroup]]:
    return [
        Column(group_key, lambda group: printable(group.name)),
        Column("count", lambda group: str(group.stats.count)),
        *map(_outcome_column, outcomes),
        Column("attempts each", lambda group: f"{group.stats.attempts / group.stats.count:.2f}"),
        Column("mean ms", lambda group: f"{group.stats.sum_ms / group.stats.count:.1f}"),
        Column("max ms", lambda group: f"{group.stats.max_ms:.1f}"),
    ]


def _outcome_column(outcome: str) -> Column[NamedGroup]:
    return Column(printable(outcome), lambda group: str(group.stats.outcomes[outcome]))
