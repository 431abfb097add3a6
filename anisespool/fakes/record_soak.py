"""A seeded soak test of request records: what a receiver has must agree with what a recorder counted.

Several recorders, as of a sidecar that restarts, send by TCP to a receiver that stalls, resets its
connections, goes away and comes back. Used by the tests and the benchmarks.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from anisespool.backoff import Backoff
from anisespool.config.operator import RecordOptions
from anisespool.fakes.syslog.parser import Message
from anisespool.fakes.syslog.receiver import MAX_READ_BYTES, Receiver, ReceiverOptions
from anisespool.records.encoder import LengthLimits, RecordEncoder
from anisespool.records.outcome import Outcome
from anisespool.records.recorder import Recorder
from anisespool.records.request_record import AttemptRecord, RequestRecord
from anisespool.records.rfc5424 import Origin
from anisespool.records.sampling import Sampler
from anisespool.records.transports import TcpChannel

CLASSES = ("token-lookup", "send-one")
PEN = "32473"
"""The private enterprise number in SD-IDs; this one is reserved for examples (RFC 5612)."""
FINAL_COUNTS_TIMEOUT_S = 20.0
RECEIVE_BUFFER_BYTES = 16_384
"""Small, so that a stall soon reaches the recorder."""
UTC_OFFSET_S = -18_000
MS = 1_000_000
"""Nanoseconds."""
ENDPOINT_COUNT = 40
MAX_ATTEMPTS = 3
OUTCOME_WEIGHTS = (90, 4, 3, 2, 1)
"""In the order of `Outcome`."""
STATUS_BY_OUTCOME = (200, 503, 502, 0, 404)


def random_request(random: Random, number: int, tenant: bytes = b"tiendas-sol") -> RequestRecord:
    """A request that a sidecar could have recorded, `number` milliseconds after its start."""
    arrived_ns = number * MS
    attempts = tuple(
        AttemptRecord(
            endpoint=f"s-{random.randrange(ENDPOINT_COUNT)}",
            status=1 if index == 0 else 2,
            started_ns=arrived_ns + index * MS,
            finished_ns=arrived_ns + (index + 1) * MS,
        )
        for index in range(random.randint(0, MAX_ATTEMPTS))
    )
    outcome = random.choices(list(Outcome), OUTCOME_WEIGHTS)[0]
    return RequestRecord(
        request_class=random.randrange(len(CLASSES)),
        outcome=outcome,
        status=STATUS_BY_OUTCOME[outcome],
        trace_id=b"t%d" % number,
        tenant=tenant,
        fingerprint=number,
        is_retry=False,
        arrived_ns=arrived_ns,
        finished_ns=arrived_ns + 4 * MS,
        retry_after_s=0.0,
        attempts=attempts,
    )


def create_recorder(boot: int, options: RecordOptions, sampler: Sampler | None = None) -> Recorder:
    """A recorder that is not started; `boot` is the PROCID of its messages."""
    encoder = RecordEncoder.create(
        Origin(16, "lima", "anisespool", str(boot)),
        PEN,
        "n0",
        CLASSES,
        LengthLimits(options.max_record_bytes, options.max_value_bytes),
        lambda second: UTC_OFFSET_S,
    )
    return Recorder(encoder, options, sampler or Sampler({}, {}, list(CLASSES)), CLASSES)


class NumberRange(NamedTuple):
    """Sequence numbers of records, both ends included."""

    first: int
    last: int


@dataclass(slots=True)
class ReceivedRecords:
    """What a receiver has of one recorder.

    Attributes:
        numbers: How often each record arrived, by its sequence number.
        reported: All ranges that were reported as dropped or unconfirmed.
        dropped: Counts of dropped records, by range; a repeated report counts once.
        unconfirmed: Counts of records of which the recorder cannot know, by range.
        counts: The reports of the recorder's own counts, in order.
        is_complete: The recorder's final report has arrived.
    """

    numbers: Counter[int] = field(default_factory=Counter)
    reported: list[NumberRange] = field(default_factory=list)
    dropped: dict[NumberRange, int] = field(default_factory=dict)
    unconfirmed: dict[NumberRange, int] = field(default_factory=dict)
    counts: list[dict[str, str]] = field(default_factory=list)
    is_complete: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, message: Message) -> None:
        """Note one message, by its MSGID."""
        if message.msgid == "path":
            self.numbers[int(message.params("meta")["sequenceId"])] += 1
        elif message.msgid == "account":
            self._add_counts(message.params(f"account@{PEN}"))
        else:
            self._add_gap(message.params(f"gap@{PEN}"))

    def unexplained(self, answered: int) -> list[int]:
        """Numbers up to `answered` that neither arrived nor were reported."""
        missing = (number for number in range(1, answered + 1) if number not in self.numbers)
        return [number for number in missing if not self._is_reported(number)]

    @property
    def last_answered(self) -> str:
        """How many requests the last report counts."""
        return self.counts[-1]["answered"] if self.counts else "nothing"

    def _add_counts(self, counts: dict[str, str]) -> None:
        self.counts.append(counts)
        if counts["last"] == "1":
            self.is_complete.set()

    def _add_gap(self, gap: dict[str, str]) -> None:
        numbers = NumberRange(int(gap["first"]), int(gap["last"]))
        self.reported.append(numbers)
        if "dropped" in gap:
            self.dropped[numbers] = int(gap["dropped"])
        else:
            self.unconfirmed[numbers] = int(gap["unsure"])

    def _is_reported(self, number: int) -> bool:
        return any(numbers.first <= number <= numbers.last for numbers in self.reported)


@dataclass(slots=True)
class SoakResult:
    """What became of one run.

    Attributes:
        seed: Of the run.
        answered: Requests that were recorded.
        received: Different records that arrived.
        dropped: Records that the recorders dropped.
        unconfirmed: Records of which the recorders cannot know.
        truncated_streams: Connections that ended within a record.
        disconnects: How often the receiver went away.
        failures: One line for each check that did not hold.
    """

    seed: int
    answered: int = 0
    received: int = 0
    dropped: int = 0
    unconfirmed: int = 0
    truncated_streams: int = 0
    disconnects: int = 0
    failures: list[str] = field(default_factory=list)


async def run_soak(seed: int, boots: int = 3, steps: int = 40) -> SoakResult:
    """Run one recorder after another, with faults of the receiver in between.

    Args:
        seed: Of all that is random.
        boots: How many recorders.
        steps: Of each: a burst of requests, and perhaps a fault.
    """
    return await _Soak(seed).run(boots, steps)


class _Soak:
    """One run. Its messages have octet counting, which shows a fragment as one."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._result = SoakResult(seed)
        self._read_bytes = self._random.choice((1, 7, 4096))
        self._receiver = Receiver(ReceiverOptions(receive_buffer_bytes=RECEIVE_BUFFER_BYTES))
        self._receiver.on_message = self._on_message
        self._received: dict[str, ReceivedRecords] = {}  # by PROCID
        self._options = RecordOptions(
            destination="tcp://127.0.0.1:1",
            max_buffered_records=self._random.choice((20, 200, 4000)),
            flush_interval_ms=0.0,
            shutdown_flush_s=10.0,
            drop_policy=self._random.choice(("served", "oldest", "newest")),
        )

    async def run(self, boots: int, steps: int) -> SoakResult:
        """As `run_soak`."""
        async with self._receiver.stream():
            for boot in range(boots):
                await self._run_recorder(boot, steps)
            await asyncio.sleep(0)
            self._result.failures += self._receiver.errors
            self._result.truncated_streams = self._receiver.truncated_streams
        return self._result

    async def _run_recorder(self, boot: int, steps: int) -> None:
        recorder = create_recorder(boot, self._options)
        received = self._received.setdefault(str(boot), ReceivedRecords())
        self._receiver.options.max_read_bytes = self._read_bytes
        backoff = Backoff(0.001, 0.02, self._random)
        recorder.start(partial(TcpChannel.connect, self._receiver.address), backoff)
        for step in range(steps):
            for index in range(self._random.choice((0, 1, 30, 300))):
                recorder.record(random_request(self._random, step * 1000 + index))
            await self._inject_fault()
            await asyncio.sleep(self._random.choice((0, 0, 0.001, 0.004)))
        await self._end_faults()
        await recorder.close()
        # The recorder's last connection may still wait to be accepted.
        with suppress(TimeoutError):
            async with asyncio.timeout(FINAL_COUNTS_TIMEOUT_S):
                await received.is_complete.wait()
        await self._receiver.wait_until_disconnected()
        self._check(recorder, received)

    def _on_message(self, message: Message) -> None:
        self._received.setdefault(message.procid, ReceivedRecords()).add(message)

    async def _inject_fault(self) -> None:
        roll = self._random.random()
        if roll < 0.15:
            self._receiver.set_reading(not self._receiver.options.is_reading)
        elif roll < 0.25:
            self._receiver.disconnect()
            self._result.disconnects += 1
            if self._random.random() < 0.7:
                await self._receiver.listen()
        elif roll < 0.35 and not self._receiver.is_listening:
            await self._receiver.listen()

    async def _end_faults(self) -> None:
        # At one octet at a time a slow machine would take longer than any timeout that a recorder may have.
        self._receiver.options.max_read_bytes = MAX_READ_BYTES
        self._receiver.set_reading(True)
        if not self._receiver.is_listening:
            await self._receiver.listen()

    def _check(self, recorder: Recorder, received: ReceivedRecords) -> None:
        answered = sum(recorder.counts.answered)
        sent = sum(recorder.counts.sent)
        unconfirmed = recorder.counts.unconfirmed
        dropped = sum(recorder.queue.dropped)
        queued = len(recorder.queue)
        arrived = len(received.numbers)
        unexplained = received.unexplained(answered)
        checks = (
            (answered == sent + dropped + queued, f"{answered} answered, {sent} sent, {dropped} dropped"),
            (not queued, f"{queued} still queued"),
            (max(received.numbers.values(), default=1) == 1, "a record arrived twice"),
            (not unexplained, f"no report of numbers {unexplained[:5]}"),
            (sum(received.dropped.values()) == dropped, f"{received.dropped} reported, {dropped} dropped"),
            (0 <= sent - arrived <= unconfirmed, f"{sent} sent, {arrived} arrived"),
            (
                received.last_answered == str(answered),
                f"{answered} answered, {received.last_answered} reported",
            ),
        )
        result = self._result
        result.answered += answered
        result.received += arrived
        result.dropped += dropped
        result.unconfirmed += unconfirmed
        result.failures += [f"seed {result.seed}: {text}" for holds, text in checks if not holds]
