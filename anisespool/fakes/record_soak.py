"""A seeded soak test of request records, which compares what arrived with what the recorders counted.

Several recorders, as of a sidecar that restarts, send by TCP to a receiver that stalls, resets its
connections, and stops and resumes listening. Used by the tests and the benchmarks.
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
"""SO_RCVBUF of the receiver, small so that its stalls soon block the recorder."""
UTC_OFFSET_S = -18_000
NS_PER_MS = 1_000_000
ENDPOINT_COUNT = 40
MAX_ATTEMPTS = 3
OUTCOME_WEIGHTS = (90, 4, 3, 2, 1)
"""Relative frequencies, in the order of `Outcome`."""
STATUS_BY_OUTCOME = (200, 503, 502, 0, 404)


def random_request(random: Random, number: int, tenant: bytes = b"tiendas-sol") -> RequestRecord:
    """Return a request that a sidecar could have recorded, `number` milliseconds after its start."""
    arrived_ns = number * NS_PER_MS
    attempts = tuple(
        AttemptRecord(
            endpoint=f"s-{random.randrange(ENDPOINT_COUNT)}",
            status=1 if index == 0 else 2,
            started_ns=arrived_ns + index * NS_PER_MS,
            finished_ns=arrived_ns + (index + 1) * NS_PER_MS,
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
        finished_ns=arrived_ns + 4 * NS_PER_MS,
        retry_after_s=0.0,
        attempts=attempts,
    )


def create_recorder(boot: int, options: RecordOptions, sampler: Sampler | None = None) -> Recorder:
    """Create a recorder without starting it. `boot` is the PROCID of its messages."""
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
    """A range of sequence numbers of records, both ends included."""

    first: int
    last: int


@dataclass(slots=True)
class ReceivedRecords:
    """Records and reports of one recorder that have arrived at a receiver.

    Attributes:
        numbers: Number of arrivals of each record, by sequence number.
        reported: All ranges that were reported as dropped or unconfirmed.
        dropped: Numbers of dropped records, by range; a repeated report counts once.
        unconfirmed: Numbers of records that were sent and may not have arrived, by range.
        counts: Reports of the recorder's own counts, in order.
        is_complete: Set once the recorder's final report has arrived.
    """

    numbers: Counter[int] = field(default_factory=Counter)
    reported: list[NumberRange] = field(default_factory=list)
    dropped: dict[NumberRange, int] = field(default_factory=dict)
    unconfirmed: dict[NumberRange, int] = field(default_factory=dict)
    counts: list[dict[str, str]] = field(default_factory=list)
    is_complete: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, message: Message) -> None:
        """Add one message, according to its MSGID."""
        if message.msgid == "path":
            self.numbers[int(message.params("meta")["sequenceId"])] += 1
        elif message.msgid == "account":
            self._add_counts(message.params(f"account@{PEN}"))
        else:
            self._add_gap(message.params(f"gap@{PEN}"))

    def unreported(self, answered: int) -> list[int]:
        """Return the sequence numbers up to `answered` that neither arrived nor were reported."""
        missing = (number for number in range(1, answered + 1) if number not in self.numbers)
        return [number for number in missing if not self._is_reported(number)]

    @property
    def last_answered(self) -> str:
        """Number of requests in the last report of counts; "nothing": there is no report."""
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
    """The result of one run.

    Attributes:
        seed: Seed of the run.
        answered: Number of requests that were recorded.
        received: Number of distinct records that arrived.
        dropped: Number of records that the recorders dropped.
        unconfirmed: Number of records that were sent and may not have arrived.
        truncated_streams: Number of connections that ended within a record.
        disconnects: Number of times that the receiver disconnected.
        failures: One line for each check that failed.
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
        seed: Seed of all random choices.
        boots: Number of recorders.
        steps: Number of steps of each: a burst of requests, and perhaps a fault.
    """
    return await _Soak(seed).run(boots, steps)


class _Soak:
    """One run. Its messages are framed by octet counting, which reveals truncated ones."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._result = SoakResult(seed)
        self._read_bytes = self._random.choice((1, 7, 4096))
        self._receiver = Receiver(ReceiverOptions(receive_buffer_bytes=RECEIVE_BUFFER_BYTES))
        self._receiver.on_message = self._on_message
        self._received: dict[str, ReceivedRecords] = {}  # keys are PROCIDs
        self._options = RecordOptions(
            destination="tcp://127.0.0.1:1",
            max_buffered_records=self._random.choice((20, 200, 4000)),
            flush_interval_ms=0.0,
            shutdown_flush_s=10.0,
            drop_policy=self._random.choice(("served", "oldest", "newest")),
        )

    async def run(self, boots: int, steps: int) -> SoakResult:
        """Run the recorders, and return the result."""
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
        # The receiver may not have accepted the recorder's last connection yet.
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
        # Reading one octet at a time, a slow machine would exceed any timeout that a recorder may have.
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
        unreported = received.unreported(answered)
        checks = (
            (answered == sent + dropped + queued, f"{answered} answered, {sent} sent, {dropped} dropped"),
            (not queued, f"{queued} still queued"),
            (max(received.numbers.values(), default=1) == 1, "a record arrived twice"),
            (not unreported, f"neither received nor reported: {unreported[:5]}"),
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
