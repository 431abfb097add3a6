"""The bounded queue of records that wait for the receiver, and the gaps that it leaves when it overflows.

Pure: times are passed in. At any moment answered = sent + dropped + sampled out + queued + being written.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from anisespool.records.outcome import Outcome
from anisespool.records.request_record import RequestRecord


class DropPolicy(Enum):
    """Which record is dropped when the queue is full. The values are those of the operator's file."""

    NEWEST = "newest"
    OLDEST = "oldest"
    OLDEST_SERVED = "served"
    """The oldest record of a served request; the oldest of the others only if there is none."""


class DropReason(StrEnum):
    """Why a record was dropped. The values are those of the parameter `reason` in records."""

    QUEUE_FULL = "full"
    TOO_LONG = "size"
    SHUTDOWN = "end"
    ENCODING_FAILED = "fault"


# Bound once: Python 3.11 looks an enum's members up through a property, and these are used for each record.
_SERVED = Outcome.SERVED
_QUEUE_FULL = DropReason.QUEUE_FULL


@dataclass(slots=True, eq=False)
class QueuedRecord:
    """A request's record on its way to the receiver.

    It is encoded only when it is about to be sent: encoding many in a row costs less CPU, and records that
    are dropped are never encoded.
    """

    number: int
    """Position among this process's records, from 1."""
    outcome: Outcome
    timestamp_ns: int
    """Wall clock, Unix ns."""
    size_bytes: int
    """Expected size of the message."""
    request: RequestRecord
    message: bytes = b""
    """Empty until it is encoded."""


@dataclass(slots=True)
class Gap:
    """Consecutive drops. Times are Unix ns; `first` and `last` are record numbers."""

    counts: list[int] = field(default_factory=lambda: [0] * len(Outcome))
    """Dropped records by outcome."""
    reasons: list[DropReason] = field(default_factory=list)
    """Each reason once, in the order of its first drop."""
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
        """Extend this gap by another. The wall clock may have been set back between them."""
        if not self.total:
            self.from_ns = other.from_ns
            self.first = other.first
        self.counts = [mine + theirs for mine, theirs in zip(self.counts, other.counts, strict=True)]
        self.reasons = list(dict.fromkeys([*self.reasons, *other.reasons]))
        self.from_ns = min(self.from_ns, other.from_ns)
        self.to_ns = max(self.to_ns, other.to_ns)
        self.first = min(self.first, other.first)
        self.last = max(self.last, other.last)


class RecordQueue:
    """A queue of records that is bounded in bytes and in number.

    Attributes:
        size_bytes: Expected size of all queued messages.
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
        self._served: deque[QueuedRecord] = deque()  # used only where served requests are dropped first
        self._others: deque[QueuedRecord] = deque()

    def __len__(self) -> int:
        """Number of queued records."""
        return len(self._served) + len(self._others)

    def put(self, record: QueuedRecord) -> None:
        """Add a record; while it does not fit, records are dropped by the policy."""
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
        """Remove the oldest record and return it; None: the queue is empty."""
        queue = self._queue_with_oldest()
        if not queue:
            return None
        return self._pop_from(queue)

    def requeue(self, record: QueuedRecord) -> None:
        """Put back a record that was popped and could not be sent: it is the oldest again.

        The bounds may be exceeded by as much as was popped at a time.
        """
        self._queue_for(record).appendleft(record)
        self.size_bytes += record.size_bytes

    def drop(self, record: QueuedRecord, reason: DropReason) -> None:
        """Count a record, which is not in the queue, as dropped."""
        self.dropped[record.outcome] += 1
        self.gap.add(record, reason)

    def drop_all(self, reason: DropReason) -> None:
        """Drop every queued record."""
        while record := self.pop():
            self.drop(record, reason)

    def close_gap(self) -> Gap:
        """Return the current gap, to be reported, and begin another."""
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
        """Remove the record that the policy drops next. `_served` is empty unless it is dropped first."""
        return self._pop_from(self._served or self._others)

    def _pop_from(self, queue: deque[QueuedRecord]) -> QueuedRecord:
        record = queue.popleft()
        self.size_bytes -= record.size_bytes
        return record
