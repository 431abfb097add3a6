"""The bounded queue of records to be sent, and the gaps that dropped records leave.

Pure: times are passed in. At any moment, answered = sent + dropped + sampled out + queued + being written.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from anisespool.records.outcome import Outcome
from anisespool.records.request_record import RequestRecord


class DropPolicy(Enum):
    """The record to drop when the queue is full. The values appear in the operator's file."""

    NEWEST = "newest"
    OLDEST = "oldest"
    OLDEST_SERVED = "served"
    """The oldest record of a served request, or the oldest other record if there is none."""


class DropReason(StrEnum):
    """Why a record was dropped. The values appear in the parameter `reason` of gap records."""

    QUEUE_FULL = "full"
    TOO_LONG = "size"
    SHUTDOWN = "end"
    ENCODING_FAILED = "fault"


# Bound once, as they are used for each record and Python 3.11 looks up enum members through a property.
_SERVED = Outcome.SERVED
_QUEUE_FULL = DropReason.QUEUE_FULL


@dataclass(slots=True, eq=False)
class QueuedRecord:
    """A request's record that waits to be sent.

    It is encoded only just before it is sent: encoding many records in a row costs less CPU, and dropped
    records are never encoded.
    """

    number: int
    """Number of the record within this process, counted from 1."""
    outcome: Outcome
    timestamp_ns: int
    """Wall-clock time, in Unix ns."""
    size_bytes: int
    """Expected size of the encoded message."""
    request: RequestRecord
    message: bytes = b""
    """The encoded message; empty until the record is encoded."""


@dataclass(slots=True)
class Gap:
    """Consecutive drops. Times are in Unix ns; `first` and `last` are record numbers."""

    counts: list[int] = field(default_factory=lambda: [0] * len(Outcome))
    """Dropped records by outcome."""
    reasons: list[DropReason] = field(default_factory=list)
    """Reasons for the drops, each once, in order of first occurrence."""
    from_ns: int = 0
    to_ns: int = 0
    first: int = 0
    last: int = 0

    @property
    def total(self) -> int:
        """Number of dropped records."""
        return sum(self.counts)

    def add(self, record: QueuedRecord, reason: DropReason) -> None:
        """Add one dropped record."""
        counts = [0] * len(self.counts)
        counts[record.outcome] = 1
        timestamp_ns = record.timestamp_ns
        number = record.number
        self.merge(Gap(counts, [reason], timestamp_ns, timestamp_ns, number, number))

    def merge(self, other: Gap) -> None:
        """Extend this gap by another one, whose times may be earlier if the wall clock was set back."""
        if not self.total:
            self.from_ns = other.from_ns
            self.first = other.first
        self.counts = [own + added for own, added in zip(self.counts, other.counts, strict=True)]
        self.reasons = list(dict.fromkeys([*self.reasons, *other.reasons]))
        self.from_ns = min(self.from_ns, other.from_ns)
        self.to_ns = max(self.to_ns, other.to_ns)
        self.first = min(self.first, other.first)
        self.last = max(self.last, other.last)


class RecordQueue:
    """A queue of records with limits on their total size and their number.

    Attributes:
        size_bytes: Expected total size of the queued messages.
        dropped: Dropped records by outcome, since the start.
        gap: Drops that have not been reported yet.
    """

    def __init__(self, max_bytes: int, max_records: int, drop_policy: DropPolicy) -> None:
        """Create an empty queue."""
        self.size_bytes = 0
        self.dropped = [0] * len(Outcome)
        self.gap = Gap()
        self._max_bytes = max_bytes
        self._max_records = max_records
        self._drops_newest = drop_policy is DropPolicy.NEWEST
        self._separates_served = drop_policy is DropPolicy.OLDEST_SERVED
        # Empty unless the policy drops served requests first.
        self._served: deque[QueuedRecord] = deque()
        self._others: deque[QueuedRecord] = deque()

    def __len__(self) -> int:
        """Return the number of queued records."""
        return len(self._served) + len(self._others)

    def put(self, record: QueuedRecord) -> None:
        """Add a record; while it does not fit, drop records according to the policy."""
        size = record.size_bytes
        while len(self) and (self.size_bytes + size > self._max_bytes or len(self) >= self._max_records):
            if self._drops_newest:
                self.drop(record, _QUEUE_FULL)
                return
            self.drop(self._pop_next_dropped(), _QUEUE_FULL)
        if size > self._max_bytes:
            self.drop(record, _QUEUE_FULL)
            return
        self._queue_for(record).append(record)
        self.size_bytes += size

    def pop(self) -> QueuedRecord | None:
        """Remove and return the oldest record, or return None if the queue is empty."""
        queue = self._queue_with_oldest()
        if not queue:
            return None
        return self._pop_from(queue)

    def requeue(self, record: QueuedRecord) -> None:
        """Put back a popped record that could not be sent; it becomes the oldest again.

        This may exceed the queue's limits by as much as was popped at a time.
        """
        self._queue_for(record).appendleft(record)
        self.size_bytes += record.size_bytes

    def drop(self, record: QueuedRecord, reason: DropReason) -> None:
        """Count as dropped a record that is not in the queue."""
        self.dropped[record.outcome] += 1
        self.gap.add(record, reason)

    def drop_all(self, reason: DropReason) -> None:
        """Drop every queued record."""
        while record := self.pop():
            self.drop(record, reason)

    def close_gap(self) -> Gap:
        """Return the current gap for reporting, and begin a new one."""
        gap = self.gap
        self.gap = Gap()
        return gap

    def _queue_for(self, record: QueuedRecord) -> deque[QueuedRecord]:
        if self._separates_served and record.outcome == _SERVED:
            return self._served
        return self._others

    def _queue_with_oldest(self) -> deque[QueuedRecord]:
        if self._served and self._others:
            return self._served if self._served[0].number < self._others[0].number else self._others
        return self._served or self._others

    def _pop_next_dropped(self) -> QueuedRecord:
        """Remove and return the record that the policy drops next."""
        return self._pop_from(self._served or self._others)

    def _pop_from(self, queue: deque[QueuedRecord]) -> QueuedRecord:
        record = queue.popleft()
        self.size_bytes -= record.size_bytes
        return record
