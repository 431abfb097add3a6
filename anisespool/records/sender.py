"""Sends queued records to the receiver and counts them, in a task that no request waits for."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from anisespool.backoff import Backoff
from anisespool.config.clock import wall_ns
from anisespool.log import log_event
from anisespool.records.accounting import RecordCounts, UnconfirmedRecords
from anisespool.records.buffer import DropReason, QueuedRecord, RecordQueue
from anisespool.records.encoder import RecordEncoder
from anisespool.records.reports import NEVER_S, StatusRecord, StatusReports
from anisespool.records.transports import Channel, ChannelOpener, DatagramTooLongError

CONNECT_TIMEOUT_S = 5.0
# Interval between two reads of the number of bytes that the receiver's kernel has not acknowledged.
ACKNOWLEDGEMENT_POLL_S = 0.002
MAX_SHUTDOWN_RETRY_S = 0.05
LOG_INTERVAL_S = 10.0
MAX_BATCH_RECORDS = 64
# Upper bound of what octet counting adds to a message.
FRAME_OVERHEAD_BYTES = 8


@dataclass(frozen=True, slots=True)
class SenderOptions:
    """Settings of a sender."""

    frame: Callable[[bytes], bytes]
    """Function that adds the channel's framing to a message."""
    max_unconfirmed_bytes: int
    """Maximum size of the last sent records that are reported as unconfirmed after a lost connection."""
    flush_interval_s: float
    """Time for which a record waits for others to join its batch."""


class Sender:
    """Writes queued records to a channel, and reconnects with a backoff.

    Each record taken from the queue is counted as sent or dropped, or is put back, even after an error.

    Args:
        queue: The records to send.
        counts: Counts that are updated as records are sent.
        encoder: Encodes records and reports.
        open_channel: Opens a new channel to the receiver. Raises OSError, ValueError.
        backoff: Delays between connection attempts.
        options: Settings of the sender.
    """

    def __init__(
        self,
        queue: RecordQueue,
        counts: RecordCounts,
        encoder: RecordEncoder,
        open_channel: ChannelOpener,
        backoff: Backoff,
        options: SenderOptions,
    ) -> None:
        """Start the sending task."""
        self._queue = queue
        self._counts = counts
        self._encoder = encoder
        self._open_channel = open_channel
        self._backoff = backoff
        self._options = options

        self._unconfirmed = UnconfirmedRecords(options.max_unconfirmed_bytes)
        self._reports = StatusReports(queue, counts, encoder, wall_ns, time.monotonic())
        self._logged_s = NEVER_S

        self._closing = asyncio.Event()
        # Set only while the task has nothing to do.
        self._wakeup: asyncio.Future[None] | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    def wake(self) -> None:
        """Wake the task after a record was queued or the channel was closed."""
        if self._wakeup and not self._wakeup.done():
            self._wakeup.set_result(None)

    async def close(self, timeout_s: float) -> None:
        """Send what can be sent within `timeout_s`, final counts last; drop and log the rest."""
        self._closing.set()
        self.wake()
        await asyncio.wait((self._task,), timeout=timeout_s)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._queue.drop_all(DropReason.SHUTDOWN)
        dropped = sum(self._queue.dropped)
        unconfirmed = self._counts.unconfirmed
        if dropped or unconfirmed:
            sent = sum(self._counts.sent)
            log_event("record_delivery_incomplete", sent=sent, unconfirmed=unconfirmed, dropped=dropped)

    async def _run(self) -> None:
        while not self._finished:
            await self._wait_for_work()
            channel = await self._connect()
            if channel:
                await self._write_until_lost(channel)

    async def _connect(self) -> Channel | None:
        """Return an open channel, or None after a failure and its backoff delay."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self._open_channel()
        except (OSError, ValueError, TimeoutError) as error:  # TlsChannel raises ValueError.
            delay_s = self._backoff.next_delay_s()
            if self._may_log():
                text = str(error) or "no answer"
                count = len(self._queue)
                log_event("syslog_connect_failed", error=text, count=count, retry_s=f"{delay_s:.1f}")
            await self._wait_before_reconnect(delay_s)
            return None

    async def _write_until_lost(self, channel: Channel) -> None:
        """Write to the channel until it is lost, or until everything is sent at shutdown."""
        connected_s = time.monotonic()
        error_text = "the receiver closed the connection"
        try:
            await self._write_batches(channel)
        except OSError as error:
            error_text = str(error)
        finally:
            # Also at shutdown: data that a stalled receiver's kernel has not acknowledged is lost when this
            # process ends.
            if channel.is_stream and not (self._finished and not channel.unacknowledged_bytes):
                self._on_connection_lost()
            channel.close()
        self._backoff.reset_after(time.monotonic() - connected_s)
        if self._finished:
            return
        delay_s = self._backoff.next_delay_s()
        if self._may_log():
            count = len(self._queue)
            log_event("syslog_connection_lost", error=error_text, count=count, retry_s=f"{delay_s:.1f}")
        await self._wait_before_reconnect(delay_s)

    async def _wait_before_reconnect(self, delay_s: float) -> None:
        """Wait for the delay; at shutdown wait at most MAX_SHUTDOWN_RETRY_S."""
        if self._closing.is_set():
            await asyncio.sleep(min(delay_s, MAX_SHUTDOWN_RETRY_S))
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(delay_s):
                await self._closing.wait()

    def _on_connection_lost(self) -> None:
        """Report the last records sent on the connection as unconfirmed, as they may never have been read.

        They are not sent again, because they may also have arrived.
        """
        unconfirmed = self._unconfirmed.drain()
        self._counts.unconfirmed += unconfirmed.total
        self._reports.on_connection_lost(unconfirmed)

    @property
    def _finished(self) -> bool:
        """Whether shutdown has begun and everything is sent, including the final counts."""
        if not self._closing.is_set() or not self._reports.final_counts_sent:
            return False
        return not (self._reports.has_pending or self._queue.gap.total or len(self._queue))

    async def _wait_for_work(self) -> None:
        while not len(self._queue) and not self._reports.has_pending and not self._closing.is_set():
            await self._wait_for_wakeup()

    async def _wait_for_wakeup(self, timeout_s: float | None = None) -> None:
        """Wait until `wake` is called or the timeout expires.

        Uses a future and a timer instead of an event and a timeout, as this happens several times a second.
        """
        loop = asyncio.get_running_loop()
        wakeup = loop.create_future()
        self._wakeup = wakeup
        timer = loop.call_later(timeout_s, self.wake) if timeout_s is not None else None
        try:
            await wakeup
        finally:
            self._wakeup = None
            if timer:
                timer.cancel()

    async def _write_batches(self, channel: Channel) -> None:
        """Write batches until the channel is lost, or until everything is sent at shutdown."""
        channel.closed().add_done_callback(lambda closed: self.wake())
        while not self._finished:
            batch = self._next_batch(channel.max_write_bytes)
            if batch:
                await self._write(channel, batch)
                # Without this, a long queue would delay every request while the kernel accepts all writes.
                await asyncio.sleep(0)
                continue
            if channel.closed().done():
                return
            await self._wait_for_wakeup(self._reports.seconds_until_due(time.monotonic()))
            if not self._closing.is_set():
                # Larger batches cost less CPU per record.
                await asyncio.sleep(self._options.flush_interval_s)
        while channel.unacknowledged_bytes and not channel.closed().done():
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_S)

    def _next_batch(self, max_bytes: int) -> list[QueuedRecord | StatusRecord]:
        """Return reports and then records, of about `max_bytes` including their framing."""
        now_s = time.monotonic()
        closing = self._closing.is_set()
        batch: list[QueuedRecord | StatusRecord] = [*self._reports.take_due(now_s, closing)]
        size = sum(len(record.message) + FRAME_OVERHEAD_BYTES for record in batch)
        while len(batch) < MAX_BATCH_RECORDS and (record := self._queue.pop()):
            if batch and size + record.size_bytes + FRAME_OVERHEAD_BYTES > max_bytes:
                self._queue.requeue(record)
                break
            if self._encode(record):
                size += len(record.message) + FRAME_OVERHEAD_BYTES
                batch.append(record)
        if not batch and (counts := self._reports.take_counts_if_due(now_s, closing)):
            batch.append(counts)
        return batch

    def _encode(self, record: QueuedRecord) -> bool:
        """Encode a record unless it is already encoded, and return whether it has a message.

        An error drops only this record, so that the following ones are still sent.
        """
        if record.message:
            return True
        try:
            record.message = self._encoder.encode_request(record.number, record.request, record.timestamp_ns)
        except Exception as error:
            if self._may_log():
                log_event("record_encoding_failed", error=repr(error))
            self._queue.drop(record, DropReason.ENCODING_FAILED)
        return bool(record.message)

    async def _write(self, channel: Channel, batch: list[QueuedRecord | StatusRecord]) -> None:
        try:
            await channel.write([self._options.frame(record.message) for record in batch])
        except DatagramTooLongError:
            too_long = batch[channel.frames_sent]
            if isinstance(too_long, QueuedRecord):
                self._queue.drop(too_long, DropReason.TOO_LONG)
            batch = [*batch[: channel.frames_sent], *batch[channel.frames_sent + 1 :]]
        finally:
            for record in batch[: channel.frames_sent]:
                self._on_sent(record)
            for record in reversed(batch[channel.frames_sent :]):
                self._on_not_sent(record)

    def _on_sent(self, record: QueuedRecord | StatusRecord) -> None:
        if isinstance(record, QueuedRecord):
            self._counts.sent[record.outcome] += 1
            self._unconfirmed.add(record)
        else:
            self._reports.on_sent(record)

    def _on_not_sent(self, record: QueuedRecord | StatusRecord) -> None:
        if isinstance(record, QueuedRecord):
            self._queue.requeue(record)
        else:
            self._reports.on_not_sent(record)

    def _may_log(self) -> bool:
        """Return whether a failure may be logged now, which is at most once in LOG_INTERVAL_S."""
        if time.monotonic() < self._logged_s + LOG_INTERVAL_S:
            return False
        self._logged_s = time.monotonic()
        return True
