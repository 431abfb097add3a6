"""The queue of records: its drop policies, its limits, and the gaps that it reports."""

from __future__ import annotations

from random import Random

import pytest

from anisespool.fakes.record_soak import random_request
from anisespool.records.buffer import DropPolicy, DropReason, Gap, QueuedRecord, RecordQueue
from anisespool.records.outcome import Outcome

REQUEST = random_request(Random(1), 1)
MAX_BYTES = 400
MAX_RECORDS = 12
RECORD_SIZES = (1, 40, 90, 500)


def queued_record(number: int, outcome: Outcome = Outcome.SERVED, size_bytes: int = 10) -> QueuedRecord:
    return QueuedRecord(number, outcome, number * 10, size_bytes, REQUEST)


def pop_all(queue: RecordQueue) -> list[int]:
    numbers = []
    while record := queue.pop():
        numbers.append(record.number)
    return numbers


@pytest.mark.parametrize(
    ("policy", "queued", "dropped"),
    [
        (DropPolicy.NEWEST, [1, 2, 3, 4], [5, 6]),
        (DropPolicy.OLDEST, [3, 4, 5, 6], [1, 2]),
        (DropPolicy.OLDEST_SERVED, [2, 3, 5, 6], [1, 4]),
    ],
)
def test_a_full_queue_drops_by_its_policy(policy: DropPolicy, queued: list[int], dropped: list[int]) -> None:
    queue = RecordQueue(10**6, 4, policy)
    outcomes = [
        Outcome.SERVED,
        Outcome.FAILED,
        Outcome.SHED,
        Outcome.SERVED,
        Outcome.FAILED,
        Outcome.SERVED,
    ]
    for number, outcome in enumerate(outcomes, 1):
        queue.put(queued_record(number, outcome))
    assert pop_all(queue) == queued
    gap = queue.close_gap()
    assert (gap.total, gap.first, gap.last, gap.reasons) == (2, min(dropped), max(dropped), ["full"])
    assert (gap.from_ns, gap.to_ns) == (10 * min(dropped), 10 * max(dropped))
    assert not queue.gap.total


class Simulation:
    """Random operations on a queue. Records in flight are either sent or put back."""

    def __init__(self, policy: DropPolicy, seed: int) -> None:
        self.queue = RecordQueue(MAX_BYTES, MAX_RECORDS, policy)
        self.put = 0
        self.sent = 0
        self.in_flight: list[QueuedRecord] = []
        self.reported = [0] * len(Outcome)
        self._random = Random(seed)

    def step(self) -> None:
        roll = self._random.random()
        if roll < 0.6:
            self._put()
        elif roll < 0.8 and (record := self.queue.pop()):
            self.in_flight.append(record)
        elif roll < 0.9:
            self._finish_write()
        elif self.queue.gap.total:
            self.report_gap()

    def _put(self) -> None:
        self.put += 1
        size_before = self.queue.size_bytes  # Requeued records may exceed the limits.
        count_before = len(self.queue)
        outcome = self._random.choice(list(Outcome))
        self.queue.put(queued_record(self.put, outcome, self._random.choice(RECORD_SIZES)))
        assert self.queue.size_bytes <= max(MAX_BYTES, size_before)
        assert len(self.queue) <= max(MAX_RECORDS, count_before)

    def _finish_write(self) -> None:
        while self.in_flight:
            record = self.in_flight.pop()
            if self._random.random() < 0.5:
                self.queue.requeue(record)
            else:
                self.sent += 1
        assert self.queue.size_bytes <= MAX_BYTES + max(RECORD_SIZES) * MAX_RECORDS

    def report_gap(self) -> None:
        counts = self.queue.close_gap().counts
        self.reported = [total + count for total, count in zip(self.reported, counts, strict=True)]


@pytest.mark.parametrize("policy", list(DropPolicy))
def test_every_record_is_counted_once_and_the_limits_hold(policy: DropPolicy) -> None:
    for seed in range(40):
        print(f"seed {seed}")
        simulation = Simulation(policy, seed)
        for _ in range(600):
            simulation.step()
        simulation.report_gap()
        queue = simulation.queue
        assert simulation.reported == queue.dropped
        accounted = simulation.sent + sum(simulation.reported) + len(queue) + len(simulation.in_flight)
        assert simulation.put == accounted


def test_a_gap_covers_all_its_times_after_the_wall_clock_is_set_back() -> None:
    gap = Gap()
    for number, timestamp_ns in ((4, 100), (5, 40), (6, 70)):
        record = QueuedRecord(number, Outcome.CLIENT_DISCONNECTED, timestamp_ns, 0, REQUEST)
        gap.add(record, DropReason.QUEUE_FULL)
    gap.merge(Gap([1, 0, 0, 0, 0], [DropReason.SHUTDOWN], 50, 120, 2, 2))
    assert (gap.from_ns, gap.to_ns, gap.first, gap.last, gap.total) == (40, 120, 2, 6, 4)
    assert gap.reasons == ["full", "end"]
