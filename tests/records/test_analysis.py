"""Requests, slowest requests, groups and gaps found in logs, compared with what was written to the logs."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from random import Random

import pytest

from anisespool.config.operator import RecordOptions
from anisespool.fakes.record_soak import CLASSES, create_recorder, random_request
from anisespool.records import analysis
from anisespool.records.accounting import UnconfirmedRange
from anisespool.records.analysis import find_missing, find_request, group_requests, slowest_requests
from anisespool.records.buffer import DropReason, Gap, QueuedRecord
from anisespool.records.outcome import OUTCOME_NAMES, Outcome
from anisespool.records.reader import LineCounts, ParsedRecord, RecordFilter, parse_line, read_records
from tests.records.logs import MS, START_NS, record_encoder, write_logs


def trace_ids(records: list[ParsedRecord]) -> list[str]:
    return [record.params["trace"] for record in records]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_groups_by_tenant_have_the_logged_requests_and_outcomes(tmp_path: Path, seed: int) -> None:
    names, requests = write_logs(tmp_path, seed)
    counts = LineCounts()
    groups = group_requests(read_records(names, counts, RecordFilter(parse_attempts=False)), "member")
    assert {name: group.count for name, group in groups.items()} == Counter(
        request.tenant.decode() for request in requests
    )
    outcomes = Counter[str]()
    for group in groups.values():
        outcomes.update(group.outcomes)
    assert outcomes == Counter(OUTCOME_NAMES[request.outcome] for request in requests)
    assert counts.records == len(requests)
    assert counts.other_lines > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_groups_by_endpoint_have_the_logged_attempts(tmp_path: Path, seed: int) -> None:
    names, requests = write_logs(tmp_path, seed)
    groups = group_requests(read_records(names, LineCounts(), RecordFilter()), "endpoint")
    attempts = Counter(attempt.endpoint for request in requests for attempt in request.attempts)
    assert {name: group.count for name, group in groups.items()} == attempts


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_slowest_requests_come_first(tmp_path: Path, seed: int) -> None:
    names, requests = write_logs(tmp_path, seed)
    slowest = slowest_requests(read_records(names, LineCounts(), RecordFilter()), 10)
    durations_ms = [(request.finished_ns - request.arrived_ns) / MS for request in requests]
    assert [record.duration_ms for record in slowest] == pytest.approx(
        sorted(durations_ms, reverse=True)[:10]
    )


def test_slowest_requests_of_equal_duration_keep_the_order_of_the_log() -> None:
    encoder = record_encoder()
    request = random_request(Random(1), 1)._replace(arrived_ns=0, finished_ns=MS)
    lines = [
        encoder.encode_request(number, request._replace(trace_id=b"t%d" % number), START_NS)
        for number in range(5)
    ]
    records = [record for record in map(parse_line, lines) if record]
    assert trace_ids(slowest_requests(records, 3)) == ["t0", "t1", "t2"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_time_range_selects_requests_by_the_time_of_their_answer(tmp_path: Path, seed: int) -> None:
    names, requests = write_logs(tmp_path, seed)
    start_ns = START_NS + 200_000 * MS
    end_ns = START_NS + 600_000 * MS
    time_range = analysis.TimeRange(start_ns / 1e9, end_ns / 1e9)
    selected = [request for request in requests if start_ns <= START_NS + request.finished_ns < end_ns]
    groups = group_requests(read_records(names, LineCounts(), RecordFilter()), "class", time_range)
    assert {name: group.count for name, group in groups.items()} == Counter(
        CLASSES[request.request_class] for request in selected
    )


@pytest.fixture
def logs_with_retries(tmp_path: Path) -> list[str]:
    """Logs with three attempts at one operation at two sidecars, in reverse order, and two other requests."""
    names, _ = write_logs(tmp_path, 4)
    operation = random_request(Random(1), 9000)._replace(fingerprint=77, request_class=1, tenant=b"banco")
    encoders = [record_encoder(boot) for boot in (1, 2)]
    attempts = [
        (b'a"%', Outcome.SHED, 0),
        (b"b", Outcome.SHED, 300 * MS),
        (b"c", Outcome.SERVED, 900 * MS),
        (b"other", Outcome.SERVED, 120_000 * MS),  # Too late to be an attempt at the same operation.
    ]
    lines = []
    for index, (trace_id, outcome, arrived_ns) in enumerate(attempts):
        request = operation._replace(
            trace_id=trace_id,
            outcome=outcome,
            arrived_ns=arrived_ns,
            finished_ns=arrived_ns + 40 * MS,
            retry_after_s=0.25 if outcome == Outcome.SHED else 0.0,
        )
        line = encoders[index % 2].encode_request(5000 + index, request, START_NS + request.finished_ns)
        lines.append(line + b"\n")
    collision = operation._replace(trace_id=b"s", tenant=b"sol", arrived_ns=0, finished_ns=MS)
    lines.append(encoders[0].encode_request(6000, collision, START_NS + MS) + b"\n")
    (tmp_path / "c.log").write_bytes(b"".join(reversed(lines)))
    return [*names, str(tmp_path / "c.log")]


@pytest.mark.parametrize("trace_id", ['a"%', "b", "c"])
def test_a_request_is_found_with_its_clients_attempts_at_all_sidecars(
    logs_with_retries: list[str], trace_id: str
) -> None:
    records = find_request(logs_with_retries, trace_id, LineCounts())
    assert trace_ids(records) == ['a"%', "b", "c"]
    statuses = [attempt.status for attempt in records[0].attempts]
    assert statuses == ["ok", "full", "full"][: len(statuses)]


def test_a_request_after_the_longest_retry_gap_is_another_operation(logs_with_retries: list[str]) -> None:
    assert trace_ids(find_request(logs_with_retries, "other", LineCounts())) == ["other"]


def test_no_records_are_found_for_an_unknown_trace_id(logs_with_retries: list[str]) -> None:
    assert find_request(logs_with_retries, "nobody", LineCounts()) == []


def test_a_gap_reported_twice_counts_once(tmp_path: Path) -> None:
    recorder = create_recorder(1, RecordOptions(destination="udp://127.0.0.1:514"))
    encoder = recorder.encoder
    counts = recorder.counts
    counts.answered[Outcome.SERVED] = 20
    gap = Gap()
    for number in (3, 4, 9):
        record = QueuedRecord(number, Outcome.SERVED, START_NS, 0, random_request(Random(1), number))
        gap.add(record, DropReason.QUEUE_FULL)
    lines = [
        encoder.encode_gap(gap, False, START_NS),
        encoder.encode_gap(gap, True, START_NS),
        encoder.encode_unconfirmed(UnconfirmedRange(5, 10, 14), START_NS),
        encoder.encode_counts(counts, [3, 0, 0, 0, 0], False, START_NS + 2),
        encoder.encode_counts(counts, [3, 0, 0, 0, 0], True, START_NS + 2),
    ]
    log = tmp_path / "a.log"
    log.write_bytes(b"\n".join(lines) + b"\n")
    missing = find_missing(read_records([str(log)], LineCounts(), analysis.GAP_FILTER))
    assert (missing.dropped, missing.unconfirmed, missing.by_outcome["served"]) == (3, 5, 3)
    assert len(missing.gaps) == 2
    assert missing.accounts["lima/anisespool/1"].params["last"] == "1"


def test_the_number_of_groups_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(analysis, "MAX_GROUPS", 5)
    encoder = record_encoder()
    records = []
    for number in range(1, 51):
        request = random_request(Random(number), number, b"m%d" % number)
        record = parse_line(encoder.encode_request(number, request, START_NS))
        if record:
            records.append(record)
    groups = group_requests(records, "member")
    assert len(groups) == 6
    assert groups[analysis.OTHER_GROUPS].count == 45
