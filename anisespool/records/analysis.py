"""Analyses request records: finds one request, the slowest requests, groups of requests, and missing records.

Each analysis takes one pass over the lines, and memory that does not grow with their number. `find_request`
takes two passes, as the client's other attempts at the operation may precede the request.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.records import message_ids
from anisespool.records.outcome import OUTCOME_NAMES
from anisespool.records.reader import LineCounts, ParsedRecord, RecordFilter, read_records
from anisespool.records.rfc5424 import escape_value

# Longest time from the end of a client's attempt to its next attempt at the same operation.
MAX_RETRY_GAP_S = 60.0
# Limits the memory of an analysis; all further groups are counted as one, OTHER_GROUPS.
MAX_GROUPS = 10_000
MAX_TRACE_ID_BYTES = 65_000
MAX_RELATED_RECORDS = 1_000
OTHER_GROUPS = "(others)"
# Selects the records that `find_missing` reads.
GAP_FILTER = RecordFilter((message_ids.GAP.encode(), message_ids.COUNTS.encode()))
# This key groups attempts; the other keys group requests by the parameter of the same name.
ENDPOINT_KEY = "endpoint"
GROUP_KEYS = ("member", "class", "node", "outcome", ENDPOINT_KEY)


class TimeRange(NamedTuple):
    """A range in Unix seconds that excludes `end_s`. It selects requests by the time of their answer."""

    start_s: float = float("-inf")
    end_s: float = float("inf")

    def contains(self, record: ParsedRecord) -> bool:
        """Return whether the record's timestamp is in the range."""
        return self == ALL_TIME or self.start_s <= record.finished_s < self.end_s


ALL_TIME = TimeRange()


@dataclass(slots=True)
class GroupStats:
    """Statistics of a group of requests, or of the attempts at one endpoint."""

    count: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    sum_ms: float = 0.0
    max_ms: float = 0.0

    def add(self, outcome: str, attempts: int, duration_ms: float) -> None:
        """Add one request, or one attempt at an endpoint."""
        self.count += 1
        self.outcomes[outcome] += 1
        self.attempts += attempts
        self.sum_ms += duration_ms
        self.max_ms = max(self.max_ms, duration_ms)


class _GapKey(NamedTuple):
    """Identifies a gap: two reports of the same gap have equal keys."""

    process: str
    first: str
    last: str
    reason: str


@dataclass(slots=True)
class MissingRecords:
    """Missing records that gap records report, and the last counts of each process."""

    dropped: int = 0
    unconfirmed: int = 0
    by_outcome: Counter[str] = field(default_factory=Counter)
    """Number of dropped records by outcome."""
    gaps: list[ParsedRecord] = field(default_factory=list)
    """Gap records without repetitions, at most MAX_GROUPS."""
    accounts: dict[str, ParsedRecord] = field(default_factory=dict)
    """The last account record of each process, at most MAX_GROUPS."""
    _counted_gaps: set[_GapKey] = field(default_factory=set)

    def add(self, record: ParsedRecord) -> None:
        """Add a gap or account record. A gap reported again after a lost connection counts once."""
        params = record.params
        if record.msgid == message_ids.COUNTS:
            if record.process in self.accounts or len(self.accounts) < MAX_GROUPS:
                self.accounts[record.process] = record
            return
        key = _GapKey(
            record.process, params.get("first", ""), params.get("last", ""), params.get("reason", "")
        )
        if key in self._counted_gaps:
            return
        if len(self._counted_gaps) < MAX_GROUPS:
            self._counted_gaps.add(key)
            self.gaps.append(record)
        self.dropped += _parse_int(params.get("dropped"))
        self.unconfirmed += _parse_int(params.get("unsure"))
        for outcome in OUTCOME_NAMES:
            self.by_outcome[outcome] += _parse_int(params.get(outcome))


def _parse_int(text: str | None) -> int:
    return int(text) if text and text.isdigit() else 0


def find_request(file_names: list[str], trace_id: str, counts: LineCounts) -> list[ParsedRecord]:
    """Return the records of a request and of its client's other attempts at the same operation.

    They have the same fingerprint, class and tenant, and each ended at most MAX_RETRY_GAP_S before the next
    one arrived.

    Returns:
        The records in order of time; empty if no request has this trace id.
    """
    escaped = escape_value(trace_id, MAX_TRACE_ID_BYTES).encode()
    candidates = read_records(file_names, counts, RecordFilter(substring=escaped))
    matches = [record for record in candidates if record.trace_id == trace_id]
    if not matches:
        return []
    related = _related_records(file_names, matches[0])
    index = next((i for i, record in enumerate(related) if record.trace_id == trace_id), 0)
    first = index
    while first and _is_retry_of(related[first - 1], related[first]):
        first -= 1
    last = index
    while last + 1 < len(related) and _is_retry_of(related[last], related[last + 1]):
        last += 1
    return related[first : last + 1]


def _related_records(file_names: list[str], request: ParsedRecord) -> list[ParsedRecord]:
    """Return the first MAX_RELATED_RECORDS records of the same fingerprint, class and tenant, by time."""
    fingerprint = f'alike="{request.fingerprint or ""}"'.encode()
    candidates = read_records(file_names, LineCounts(), RecordFilter(substring=fingerprint))
    key = _OperationKey.of(request)
    related = [record for record in candidates if _OperationKey.of(record) == key]
    return sorted(related[:MAX_RELATED_RECORDS], key=lambda record: (record.started_s, record.finished_s))


class _OperationKey(NamedTuple):
    """The values besides the fingerprint that are equal in all attempts at one operation."""

    request_class: str | None
    tenant: str | None

    @classmethod
    def of(cls, record: ParsedRecord) -> _OperationKey:
        """Return the key of a request's record."""
        return cls(record.request_class, record.tenant)


def _is_retry_of(earlier: ParsedRecord, later: ParsedRecord) -> bool:
    return later.started_s - earlier.finished_s <= MAX_RETRY_GAP_S


def slowest_requests(
    records: Iterable[ParsedRecord], count: int, time_range: TimeRange = ALL_TIME, outcome: str = ""
) -> list[ParsedRecord]:
    """Return the `count` longest requests, longest first; equally long ones keep the order of the records.

    If `outcome` is given, only requests with this outcome are considered.
    """
    candidates = (
        record
        for record in records
        if record.msgid == message_ids.REQUEST
        and time_range.contains(record)
        and (not outcome or record.outcome == outcome)
    )
    return heapq.nlargest(count, candidates, key=lambda record: record.duration_ms)


def group_requests(
    records: Iterable[ParsedRecord], key: str, time_range: TimeRange = ALL_TIME
) -> dict[str, GroupStats]:
    """Group by one of GROUP_KEYS, largest group first; OTHER_GROUPS has what exceeds MAX_GROUPS groups."""
    groups: dict[str, GroupStats] = {}
    for record in records:
        if not time_range.contains(record):
            continue
        for item in _group_items(record, key):
            group = groups.get(item.group)
            if group is None:
                name = item.group if len(groups) < MAX_GROUPS else OTHER_GROUPS
                group = groups.setdefault(name, GroupStats())
            group.add(item.outcome, item.attempts, item.duration_ms)
    return dict(sorted(groups.items(), key=lambda item: -item[1].count))


class _GroupItem(NamedTuple):
    """A record's contribution to one group: a request, or an attempt at an endpoint."""

    group: str
    outcome: str
    attempts: int
    duration_ms: float


def _group_items(record: ParsedRecord, key: str) -> Iterator[_GroupItem]:
    if key == ENDPOINT_KEY:
        for attempt in record.attempts:
            yield _GroupItem(attempt.endpoint, attempt.status, 1, attempt.ms)
    else:
        params = record.params
        attempts = _parse_int(params.get("tries"))
        yield _GroupItem(params.get(key, "-"), params.get("outcome", "-"), attempts, record.duration_ms)


def find_missing(records: Iterable[ParsedRecord], time_range: TimeRange = ALL_TIME) -> MissingRecords:
    """Return what gap and account records report."""
    missing = MissingRecords()
    for record in records:
        if time_range.contains(record):
            missing.add(record)
    return missing
