"""Counts of requests and records since the start, and records whose delivery is uncertain. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.records.buffer import QueuedRecord
from anisespool.records.outcome import Outcome


def _zero_counts() -> list[int]:
    return [0] * len(Outcome)


@dataclass(slots=True)
class RecordCounts:
    """Counts of requests and their records by outcome, since the start. The queue counts drops."""

    answered: list[int] = field(default_factory=_zero_counts)
    """Requests that have ended."""
    sampled_out: list[int] = field(default_factory=_zero_counts)
    """Requests that the sampler did not select."""
    sent: list[int] = field(default_factory=_zero_counts)
    """Records that were completely handed to the kernel."""
    unconfirmed: int = 0
    """Sent records whose connection was lost shortly afterwards."""


class UnconfirmedRange(NamedTuple):
    """Records sent shortly before their connection was lost: how many, and the lowest and highest number."""

    total: int
    first: int
    last: int


class UnconfirmedRecords:
    """The last records sent on the current connection.

    If the connection is lost, it is unknown whether they arrived: data that the receiver has not read is lost
    with the connection, even if the receiver's kernel has acknowledged it.
    """

    def __init__(self, max_bytes: int) -> None:
        """Create an empty set that keeps the last records sent, up to `max_bytes` in total."""
        self._max_bytes = max_bytes
        self._size_bytes = 0
        # Two queues of integers cost less than one object for each record.
        self._numbers: deque[int] = deque()
        self._sizes_bytes: deque[int] = deque()

    def add(self, record: QueuedRecord) -> None:
        """Add a record that was sent. The most recent record is kept whatever its size."""
        self._numbers.append(record.number)
        self._sizes_bytes.append(record.size_bytes)
        self._size_bytes += record.size_bytes
        while self._size_bytes > self._max_bytes and len(self._numbers) > 1:
            self._numbers.popleft()
            self._size_bytes -= self._sizes_bytes.popleft()

    def drain(self) -> UnconfirmedRange:
        """Remove all records and return their range, after the connection was lost."""
        numbers = self._numbers
        unconfirmed = UnconfirmedRange(len(numbers), min(numbers, default=0), max(numbers, default=0))
        self._numbers.clear()
        self._sizes_bytes.clear()
        self._size_bytes = 0
        return unconfirmed
