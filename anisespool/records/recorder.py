"""Records a sidecar's requests: samples them and queues their records for sending."""

from __future__ import annotations

import time
import traceback
from collections.abc import Callable
from random import Random
from zlib import crc32

from anisespool.backoff import Backoff
from anisespool.codec import http1
from anisespool.config.clock import wall_ns
from anisespool.config.operator import ClassSampling, Framing, RecordOptions, SamplingOptions
from anisespool.log import log_event
from anisespool.proxy.call import FinalResponse
from anisespool.records.accounting import RecordCounts
from anisespool.records.buffer import DropPolicy, QueuedRecord, RecordQueue
from anisespool.records.encoder import RecordEncoder
from anisespool.records.outcome import Outcome
from anisespool.records.request_record import UNKNOWN_CLASS, RequestRecord
from anisespool.records.rfc5424 import frame_newline, frame_octet_counted
from anisespool.records.sampling import Sampler
from anisespool.records.sender import Sender, SenderOptions
from anisespool.records.transports import ChannelOpener

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 30.0
# Expected size of a record without its trace id, tenant and attempts.
EXPECTED_RECORD_BYTES = 290
EXPECTED_ATTEMPT_BYTES = 80
MIN_TRACEBACK_INTERVAL_S = 1.0
FRAMINGS = {Framing.OCTET_COUNTING: frame_octet_counted, Framing.NEWLINE: frame_newline}


class Recorder:
    """Records how requests ended, without ever waiting and within its configured memory limits.

    Attributes:
        counts: Counts of requests and their records.
        queue: Records that have not been sent.
        encoder: Encodes the records.
        sampler: Selects the requests to record.
        sender: Sends the records; None before `start`.
    """

    def __init__(
        self,
        encoder: RecordEncoder,
        options: RecordOptions,
        sampler: Sampler,
        class_names: tuple[str, ...] = (),
        clock: Callable[[], int] = wall_ns,
    ) -> None:
        """Create a recorder that only queues records until `start` is called.

        Args:
            encoder: Encodes the records.
            options: The section `records` of the operator's file.
            sampler: Selects the requests to record.
            class_names: Names of all request classes, in the order of their indexes.
            clock: Returns the wall-clock time in Unix ns.
        """
        self.counts = RecordCounts()
        self.queue = RecordQueue(
            options.max_buffered_bytes, options.max_buffered_records, DropPolicy(options.drop_policy)
        )
        self.encoder = encoder
        self.sampler = sampler
        self.sender: Sender | None = None
        self._options = options
        self._class_names = class_names
        self._clock = clock
        self._number = 0
        self._last_traceback_s = -MIN_TRACEBACK_INTERVAL_S
        self._wake: Callable[[], None] = lambda: None

    def start(self, open_channel: ChannelOpener, backoff: Backoff | None = None) -> None:
        """Start sending.

        Args:
            open_channel: Opens a channel to the receiver.
            backoff: Delays between connection attempts; None for the default delays.
        """
        options = self._options
        self.sender = Sender(
            queue=self.queue,
            counts=self.counts,
            encoder=self.encoder,
            open_channel=open_channel,
            backoff=backoff or Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, Random()),
            options=SenderOptions(
                frame=FRAMINGS[options.framing] if options.is_stream else bytes,
                max_unconfirmed_bytes=options.unconfirmed_bytes,
                flush_interval_s=options.flush_interval_ms / 1e3,
            ),
        )
        self._wake = self.sender.wake

    def set_sampling(self, options: SamplingOptions) -> None:
        """Change the sampling rates, starting with the next request."""
        self.sampler = create_sampler(options, self._class_names)

    def record(self, request: RequestRecord) -> None:
        """Record a request that has ended. An error loses only this record."""
        try:
            self._record(request)
        except Exception as error:
            self.log_failure(error)

    def log_failure(self, error: Exception) -> None:
        """Log the exception being handled with its traceback, at most once in MIN_TRACEBACK_INTERVAL_S."""
        if time.monotonic() >= self._last_traceback_s + MIN_TRACEBACK_INTERVAL_S:
            self._last_traceback_s = time.monotonic()
            log_event("request_not_recorded", error=repr(error))
            traceback.print_exc()

    def _record(self, request: RequestRecord) -> None:
        outcome = request.outcome
        self.counts.answered[outcome] += 1
        sampler = self.sampler
        if not sampler.records_all and not sampler.should_record(
            request.request_class, outcome, request.trace_id
        ):
            self.counts.sampled_out[outcome] += 1
            return
        self._number += 1
        expected_bytes = (
            EXPECTED_RECORD_BYTES
            + len(request.trace_id)
            + len(request.tenant)
            + EXPECTED_ATTEMPT_BYTES * len(request.attempts)
        )
        size_bytes = min(self._options.max_record_bytes, expected_bytes)
        self.queue.put(QueuedRecord(self._number, outcome, self._clock(), size_bytes, request))
        self._wake()

    def record_rejection(self, response: FinalResponse, request: http1.Request | None) -> None:
        """Record a request that the listener rejected; `request` is None if it could not be parsed."""
        now_ns = time.monotonic_ns()
        headers = request.headers if request else {}
        tenant = headers.get(b"x-customer", b"")
        rejected = RequestRecord(
            request_class=UNKNOWN_CLASS,
            outcome=Outcome.REJECTED,
            status=response.status,
            trace_id=headers.get(b"x-trace-id", b""),
            tenant=tenant,
            fingerprint=request_fingerprint(request, tenant) if request else 0,
            is_retry=headers.get(b"x-second-try") == b"1",
            arrived_ns=now_ns,
            finished_ns=now_ns,
            retry_after_s=0.0,
            attempts=(),
        )
        self.record(rejected)

    async def close(self) -> None:
        """Send what can be sent within the configured `shutdown_flush_s`, then stop."""
        if self.sender:
            await self.sender.close(self._options.shutdown_flush_s)


def request_fingerprint(request: http1.Request, tenant: bytes) -> int:
    """Return a checksum that is equal for all of a client's attempts at one operation.

    Each attempt has its own trace id, but the tenant, the path and the idempotency key stay the same.
    """
    return crc32(request.headers.get(b"idempotency-key", b""), crc32(request.target, crc32(tenant)))


def create_sampler(options: SamplingOptions, class_names: tuple[str, ...]) -> Sampler:
    """Create a sampler from the section `sampling` of the operator's file."""
    class_rates = {name: _rates(rates) for name, rates in options.classes.items()}
    return Sampler(_rates(options), class_rates, class_names)


def _rates(options: SamplingOptions | ClassSampling) -> dict[Outcome, float]:
    """Return the configured sampling rates by outcome."""
    rates = {
        Outcome.SERVED: options.served,
        Outcome.CLIENT_DISCONNECTED: options.client_disconnected,
        Outcome.REJECTED: options.rejected,
    }
    return {outcome: rate for outcome, rate in rates.items() if rate is not None}
