"""Path of a request as rows: the client's attempts by time, each followed by its attempts at endpoints."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from rich.text import Text

from anisespool.cli.output import MS_PER_S
from anisespool.cli.tables import Column
from anisespool.cli.trace_cells import ABSENT, printable, styled_outcome
from anisespool.records.reader import ParsedRecord

BAR_WIDTH_CHARACTERS = 48
CLIENT_ATTEMPT_MARK = "="  # character of the bar of a client attempt
ATTEMPT_MARK = "-"  # character of the bar of an attempt at an endpoint


@dataclass(frozen=True, slots=True)
class Span:
    """A row of a path: an attempt by the client, an attempt at an endpoint, or a remark.

    Attributes:
        at_ms: Start, relative to the arrival of the first client attempt.
        node: The sidecar; empty in rows below a client attempt.
        label: Description of the row.
        outcome: Outcome of the attempt.
        duration_ms: Duration; None for a remark, of which only the label is shown.
        bar_mark: Character of the row's bar.
    """

    at_ms: float
    node: Text
    label: Text
    outcome: Text
    duration_ms: float | None
    bar_mark: str


def spans(record: ParsedRecord, start_s: float, trace_id: str) -> Iterator[Span]:
    """Yield a span for the record, one for each of its attempts, and one for the Retry-After if any."""
    at_ms = (record.started_s - start_s) * MS_PER_S
    mark = "*" if record.trace_id == trace_id else " "
    label_trace_id = ABSENT if record.trace_id is None else record.trace_id
    yield Span(
        at_ms,
        printable(record.node),
        printable(f"{mark} attempt {label_trace_id}"),
        styled_outcome(record.outcome),
        record.duration_ms,
        CLIENT_ATTEMPT_MARK,
    )
    for attempt in record.attempts:
        yield Span(
            at_ms + attempt.at_ms,
            Text(),
            printable(f"    at {attempt.endpoint}"),
            styled_outcome(attempt.status),
            attempt.ms,
            ATTEMPT_MARK,
        )
    if record.retry_after_s is not None:
        label = printable(f"    Retry-After: {record.retry_after_s} s")
        yield Span(at_ms, Text(), label, Text(), None, "")


def span_columns(duration_ms: float) -> list[Column[Span]]:
    """Return the columns for a path with this total duration."""
    return [
        Column("ms", lambda span: "" if span.duration_ms is None else f"{span.at_ms:.1f}"),
        Column("node", lambda span: span.node),
        Column("what", lambda span: span.label),
        Column("outcome", lambda span: span.outcome),
        Column("took ms", lambda span: "" if span.duration_ms is None else f"{span.duration_ms:.1f}"),
        Column("", lambda span: _time_bar(span, duration_ms)),
    ]


def _time_bar(span: Span, duration_ms: float) -> str:
    """Return a bar that shows where the span lies in the total duration, at least one mark long."""
    if span.duration_ms is None:
        return ""
    width = BAR_WIDTH_CHARACTERS
    begin = min(width - 1, int(width * span.at_ms / duration_ms))
    length = round(width * span.duration_ms / duration_ms)
    return " " * begin + span.bar_mark * max(1, min(width - begin, length))
