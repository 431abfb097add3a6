"""Records whose delivery is uncertain after a lost connection."""

from __future__ import annotations

from anisespool.records.accounting import UnconfirmedRecords
from tests.records.test_buffer import queued_record


def test_the_last_sent_records_are_unconfirmed_up_to_the_size_limit() -> None:
    unconfirmed = UnconfirmedRecords(100)
    for number in range(1, 51):
        unconfirmed.add(queued_record(number, size_bytes=30))
    assert unconfirmed.drain() == (3, 48, 50)
    assert unconfirmed.drain() == (0, 0, 0)


def test_the_last_sent_record_is_unconfirmed_whatever_its_size() -> None:
    unconfirmed = UnconfirmedRecords(100)
    unconfirmed.add(queued_record(7, size_bytes=30))
    unconfirmed.drain()
    unconfirmed.add(queued_record(1, size_bytes=1000))
    assert unconfirmed.drain() == (1, 1, 1)
