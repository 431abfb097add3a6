"""Answers questions about requests from their records: one request, the slowest, groups, what is missing.

Every question takes one pass over the lines (a request takes two, as its client's other attempts may precede
it) and an amount of memory that does not grow with them.
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

MAX_RETRY_GAP_S = 60.0  # between two client attempts at one operation
MAX_GROUPS = 10_000  # what exceeds it is one group
MAX_TRACE_ID_BYTES = 65_000
MAX_RELATED_RECORDS = 1_000
OTHER_GROUPS = "(others)"
GAP_FILTER = RecordFilter((message_ids.GAP.encode(), message_ids.COUNTS.encode()))
ENDPOINT_KEY = "endpoint"  # groups attempts; the other keys group requests by a parameter of that name
GROUP_KEYS = ("member", "class", "node", "outcome", ENDPOINT_KEY)


class TimeRange(NamedTuple):
    """From `start_s` until before `end_s`, in Unix seconds. A request counts by when it was answered."""

    start_s: float = float("-inf")
    end_s: float = float("inf")

    def contains(self, record: ParsedRecord) -> bool:
        """Whether the record is in the range."""
        return self == ALL_TIME or self.start_s <= record.finished_s < self.end_s


ALL_TIME = TimeRange()


@dataclass(slots=True)
class GroupStats:
    """Requests that have something in common; of an endpoint: attempts there."""

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
    """What is equal in two reports of one gap."""

    process: str
    first: str
    last: str
    reason: str


@dataclass(slots=True)
class MissingRecords:
    """What the records themselves report as missing."""

    dropped: int = 0
    unconfirmed: int = 0
    by_outcome: Counter[str] = field(default_factory=Counter)
    """Dropped records."""
    gaps: list[ParsedRecord] = field(default_factory=list)
    """The gap records, each once."""
    accounts: dict[str, ParsedRecord] = field(default_factory=dict)
    """The last account record of each process."""
    _counted: set[_GapKey] = field(default_factory=set)

    def add(self, record: ParsedRecord) -> None:
        """Add a gap or account record. A gap that was reported again after a lost connection counts once."""
        params = record.params
        if record.msgid == message_ids.COUNTS:
            if record.process in self.accounts or len(self.accounts) < MAX_GROUPS:
                self.accounts[record.process] = record
            return
        key = _GapKey(
            record.process, params.get("first", ""), params.get("last", ""), params.get("reason", "")
        )
        if key in self._counted:
            return
        if len(self._counted) < MAX_GROUPS:
            self._counted.add(key)
            self.gaps.append(record)
        self.dropped += _parse_int(params.get("dropped"))
        self.unconfirmed += _parse_int(params.get("unsure"))
        for outcome in OUTCOME_NAMES:
            self.by_outcome[outcome] += _parse_int(params.get(outcome))


def _parse_int(text: str | None) -> int:
    return int(text) if text and text.isdigit() else 0


def find_request(names: list[str], trace_id: str, counts: LineCounts) -> list[ParsedRecord]:
    """The records of the request with that trace id, and of its client's other attempts at the operation.

    Those have the same fingerprint, class and tenant, and each ended at most MAX_RETRY_GAP_S before the next.

    Returns:
        The records by time; empty if there is no such request.
    """
    escaped = escape_value(trace_id, MAX_TRACE_ID_BYTES).encode()
    candidates = read_records(names, counts, RecordFilter(substring=escaped))
    matches = [record for record in candidates if record.trace_id == trace_id]
    if not matches:
        return []
    related = _related_records(names, matches[0])
    index = next((i for i, record in enumerate(related) if record.trace_id == trace_id), 0)
    first = index
    while first and _is_retry_of(related[first - 1], related[first]):
        first -= 1
    last = index
    while last + 1 < len(related) and _is_retry_of(related[last], related[last + 1]):
        last += 1
    return related[first : last + 1]


def _related_records(names: list[str], request: ParsedRecord) -> list[ParsedRecord]:
    """Records of the same fingerprint, class and tenant, by time: at most the first MAX_RELATED_RECORDS."""
    fingerprint = f'alike="{request.fingerprint or ""}"'.encode()
    candidates = read_records(names, LineCounts(), RecordFilter(substring=fingerprint))
    key = _OperationKey.of(request)
    related = [record for record in candidates if _OperationKey.of(record) == key]
    return sorted(related[:MAX_RELATED_RECORDS], key=lambda record: (record.started_s, record.finished_s))


class _OperationKey(NamedTuple):
    """What is equal, beside the fingerprint, in all of a client's attempts at one operation."""

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
    """The `count` longest requests, the longest first, equal ones in the order of the records.

    With `outcome` only those that ended so.
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
    """Groups by one of GROUP_KEYS, the largest first; at most MAX_GROUPS, and OTHER_GROUPS for the rest."""
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
    """What a record adds to one group: a request, or an attempt at an endpoint."""

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
    """What gap and account records report."""
    missing = MissingRecords()
    for record in records:
        if time_range.contains(record):
            missing.add(record)
    return missing
