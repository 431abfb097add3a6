"""What became of the records: counts since the start, and records whose delivery is uncertain. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.records.buffer import QueuedRecord
from anisespool.records.outcome import Outcome


def _no_records() -> list[int]:
    return [0] * len(Outcome)


@dataclass(slots=True)
class RecordCounts:
    """Requests and their records by outcome, since the start. Drops are counted by the queue."""

    answered: list[int] = field(default_factory=_no_records)
    """Requests that have ended."""
    sampled_out: list[int] = field(default_factory=_no_records)
    """Requests that the sampler did not choose."""
    sent: list[int] = field(default_factory=_no_records)
    """Records that have been handed to the kernel completely."""
    unconfirmed: int = 0
    """Of the sent records: those that were on a connection shortly before it was lost."""


class UnconfirmedRange(NamedTuple):
    """Records that were sent on a connection shortly before it was lost, by their numbers."""

    total: int
    first: int
    last: int


class UnconfirmedRecords:
    """The records sent last on a connection.

    When the connection is lost it is unknown whether they arrived: what the receiver has not read is lost
    with the connection, although its kernel acknowledged it.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty set that keeps the records sent last, of up to `max_bytes` in all."""
        self._max_bytes = max_bytes
        self._size_bytes = 0
        # By record; two queues of numbers, as one object for each record would cost more.
        self._numbers: deque[int] = deque()
        self._sizes_bytes: deque[int] = deque()

    def add(self, record: QueuedRecord) -> None:
        """Add a record that was sent. The last one is kept whatever its size."""
        self._numbers.append(record.number)
        self._sizes_bytes.append(record.size_bytes)
        self._size_bytes += record.size_bytes
        while self._size_bytes > self._max_bytes and len(self._numbers) > 1:
            self._numbers.popleft()
            self._size_bytes -= self._sizes_bytes.popleft()

    def drain(self) -> UnconfirmedRange:
        """Return the range of the records and remove them: the connection is lost."""
        numbers = self._numbers
        unconfirmed = UnconfirmedRange(len(numbers), min(numbers, default=0), max(numbers, default=0))
        self._numbers.clear()
        self._sizes_bytes.clear()
        self._size_bytes = 0
        return unconfirmed
