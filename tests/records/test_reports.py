"""Reports of gaps, unconfirmed records and counts: when due, and which to repeat after a lost connection."""

from __future__ import annotations

import pytest

from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import create_recorder
from anisespool.records.accounting import UnconfirmedRange
from anisespool.records.buffer import DropPolicy, DropReason, RecordQueue
from anisespool.records.reader import parse_line
from anisespool.records.reports import (
    COUNTS_REPORT_INTERVAL_S,
    GAP_REPORT_INTERVAL_S,
    MAX_REPEATED_REPORTS,
    StatusRecord,
    StatusReports,
)
from tests.records.test_buffer import queued_record

START_S = 500.0
UNIX_NS = 1_785_286_800_000_000_000
NOTHING_UNCONFIRMED = UnconfirmedRange(0, 0, 0)


@pytest.fixture
def queue() -> RecordQueue:
    return RecordQueue(10**6, 100, DropPolicy.OLDEST)


@pytest.fixture
def reports(queue: RecordQueue) -> StatusReports:
    recorder = create_recorder(1, RecordOptions(destination="udp://127.0.0.1:514"))
    return StatusReports(queue, recorder.counts, recorder.encoder, lambda: UNIX_NS, START_S)


def params(record: StatusRecord) -> dict[str, str]:
    parsed = parse_line(record.message)
    assert parsed
    return parsed.params


def drop(queue: RecordQueue, number: int) -> None:
    queue.drop(queued_record(number), DropReason.QUEUE_FULL)


def take_one(reports: StatusReports, now_s: float, closing: bool = False) -> StatusRecord:
    taken = reports.take_due(now_s, closing)
    assert len(taken) == 1
    return taken[0]


def test_a_gap_is_reported_at_once_and_the_next_one_after_the_interval(
    queue: RecordQueue, reports: StatusReports
) -> None:
    assert reports.take_due(START_S, closing=False) == []
    drop(queue, 1)
    assert params(take_one(reports, START_S))["first"] == "1"
    drop(queue, 2)
    assert reports.take_due(START_S + 0.9, closing=False) == []
    assert reports.seconds_until_due(START_S + 0.9) == pytest.approx(GAP_REPORT_INTERVAL_S - 0.9)
    drop(queue, 3)
    last = params(take_one(reports, START_S + GAP_REPORT_INTERVAL_S))
    assert (last["first"], last["last"], last["dropped"]) == ("2", "3", "2")


def test_at_shutdown_a_gap_is_reported_at_once(queue: RecordQueue, reports: StatusReports) -> None:
    drop(queue, 1)
    take_one(reports, START_S)
    drop(queue, 2)
    assert params(take_one(reports, START_S, closing=True))["first"] == "2"


def test_counts_are_reported_once_per_interval(reports: StatusReports) -> None:
    assert reports.seconds_until_due(START_S) == COUNTS_REPORT_INTERVAL_S
    assert reports.take_counts_if_due(START_S + COUNTS_REPORT_INTERVAL_S - 0.1, closing=False) is None
    counts = reports.take_counts_if_due(START_S + COUNTS_REPORT_INTERVAL_S, closing=False)
    assert counts
    assert params(counts)["last"] == "0"
    assert not reports.final_counts_sent
    assert reports.take_counts_if_due(START_S + COUNTS_REPORT_INTERVAL_S, closing=False) is None


def test_at_shutdown_counts_that_were_not_sent_are_reported_again(reports: StatusReports) -> None:
    counts = reports.take_counts_if_due(START_S, closing=True)
    assert counts
    assert params(counts)["last"] == "1"
    assert reports.final_counts_sent
    reports.on_not_sent(counts)
    assert not reports.final_counts_sent
    assert reports.take_counts_if_due(START_S, closing=True)
    assert reports.take_counts_if_due(START_S, closing=True) is None


def test_a_report_that_could_not_be_sent_is_pending_again(queue: RecordQueue, reports: StatusReports) -> None:
    drop(queue, 1)
    record = take_one(reports, START_S)
    assert not reports.has_pending
    reports.on_not_sent(record)
    assert reports.has_pending
    assert take_one(reports, START_S).report is record.report


def test_a_report_is_repeated_and_marked_after_a_lost_connection(
    queue: RecordQueue, reports: StatusReports
) -> None:
    drop(queue, 1)
    record = take_one(reports, START_S)
    assert "again" not in params(record)
    reports.on_sent(record)
    reports.on_connection_lost(UnconfirmedRange(5, 10, 14))
    repeated, unconfirmed = reports.take_due(START_S, closing=False)
    assert params(repeated) == params(record) | {"again": "1"}
    assert (params(unconfirmed)["unsure"], params(unconfirmed)["first"]) == ("5", "10")


def test_a_report_sent_on_an_earlier_connection_is_not_repeated(
    queue: RecordQueue, reports: StatusReports
) -> None:
    drop(queue, 1)
    reports.on_sent(take_one(reports, START_S))
    reports.on_connection_lost(NOTHING_UNCONFIRMED)
    reports.take_due(START_S, closing=False)
    reports.on_connection_lost(NOTHING_UNCONFIRMED)
    assert not reports.has_pending


def test_the_number_of_repeated_reports_is_bounded(queue: RecordQueue, reports: StatusReports) -> None:
    for number in range(1, MAX_REPEATED_REPORTS + 11):
        drop(queue, number)
        reports.on_sent(take_one(reports, START_S, closing=True))
    reports.on_connection_lost(UnconfirmedRange(1, 999, 999))
    repeated = [params(record) for record in reports.take_due(START_S, closing=False)]
    assert len(repeated) == MAX_REPEATED_REPORTS
    # Of gaps 1 to 74, the last 63 are left beside the report of unconfirmed records.
    assert repeated[0]["first"] == "12"
    assert repeated[-1]["unsure"] == "1"
