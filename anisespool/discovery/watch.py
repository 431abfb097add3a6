"""The watch on the endpoint list: one long HTTP response of JSON objects, each an update of the list."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

from anisespool.backoff import Backoff
from anisespool.balancer import Settings
from anisespool.balancer.interface import DiscoveryMode
from anisespool.codec import http1
from anisespool.codec.json_stream import JsonStreamError, JsonStreamParser
from anisespool.config.platform import Address, EndpointList, NameIndex
from anisespool.log import log_event

# The platform's protocol counts an update as delivered 6 s after the watch last received anything from
# discovery, arrived or not. Within that time a silent connection has to be noticed, a new connection that is
# silent as well has to be given up, and a third one has to bring the update.
SILENCE_TIMEOUT_S = 2.5  # an empty line is due every 2 s; TCP alone does not notice a peer that is cut off
INITIAL_BACKOFF_S = 0.05
INVALID_UPDATE_BACKOFF_S = 2.0  # at most, while updates can't be applied: the next may be just as bad
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # of one update
READ_BYTES = 65536
LOG_INTERVAL_S = 2.0  # between two identical log lines: attempts may be frequent


class WatchTiming(NamedTuple):
    """How long one attempt may take and how far attempts are apart, in seconds.

    Attributes:
        connect_timeout_s: For the connection to be established.
        response_timeout_s: From then to the head of the response or the first update.
        max_backoff_s: Longest pause between two attempts.
    """

    connect_timeout_s: float
    response_timeout_s: float
    max_backoff_s: float


# A discovery service shared by the fleet works through its calls in turn and ends each after 2 s itself: a
# call given up sooner would have waited for nothing, and come again.
POLL_TIMING = WatchTiming(connect_timeout_s=0.5, response_timeout_s=2.2, max_backoff_s=2.0)
PUSH_RESPONSE_TIMEOUT_S = 1.0
DRAIN_GRACE_FRACTION = 0.4
MIN_TIMEOUT_S = 0.05


def watch_timing(settings: Settings) -> WatchTiming:
    """Timing for the platform's kind of discovery.

    With `push` an agent on this machine answers at once and at no cost, and what it holds counts as delivered
    whether or not a watch is open, so an agent that was away is found again within the drain grace.
    """
    if settings.discovery_mode is DiscoveryMode.POLL:
        return POLL_TIMING
    retry_s = max(MIN_TIMEOUT_S, DRAIN_GRACE_FRACTION * settings.drain_grace_ns / 1e9)
    return WatchTiming(retry_s, PUSH_RESPONSE_TIMEOUT_S, retry_s)


class EndpointWatch:
    """Follows the endpoint list and passes each update on, in order.

    Attributes:
        first_attempt_done: Set once an update was handled, or the first attempt failed.
    """

    def __init__(
        self,
        address: Address,
        names: NameIndex,
        revision: int,
        on_update: Callable[[EndpointList], None],
        timing: WatchTiming,
    ) -> None:
        """Prepare a watch; `run` opens it.

        Args:
            address: Of the discovery service.
            names: Turns an update's JSON into a checked list.
            revision: Up to which updates have been applied already.
            on_update: Applies an update; what it raises makes the update count as not applied.
            timing: Timeouts and backoff.
        """
        self.first_attempt_done = asyncio.Event()
        self._address = address
        self._names = names
        self._revision = revision
        self._on_update = on_update
        self._timing = timing
        self._backoff = Backoff(INITIAL_BACKOFF_S, timing.max_backoff_s, Random())
        self._attempt: asyncio.Task[None] | None = None
        # Why an update could not be applied, in this attempt and in the previous one; empty: all were.
        self._fault = ""
        self._previous_fault = ""
        self._last_line = ""
        self._repeat_line_at_s = 0.0  # by the loop's clock

    def change_address(self, address: Address) -> None:
        """Watch at another address, without waiting for the old attempt or its backoff to end.

        Another service may number revisions in its own way, so that updates before the revision that we would
        name could be missed: the whole list is requested.
        """
        if address == self._address:
            return
        log_event("endpoint_list_watch_moved", address="{}:{}".format(*address))
        self._address = address
        self._backoff.reset()
        self._revision = 0
        if self._attempt:
            self._attempt.cancel()

    async def run(self) -> None:
        """Keep a watch open until cancelled; an attempt that ends is followed by another after a backoff."""
        while True:
            self._attempt = asyncio.create_task(self._attempt_and_back_off())
            try:
                await asyncio.wait([self._attempt])  # a cancelled attempt does not end the watch
            finally:
                self._attempt.cancel()
            # An attempt whose own error handling fails would fail again at once.
            if not self._attempt.cancelled() and self._attempt.exception():
                await asyncio.sleep(INVALID_UPDATE_BACKOFF_S)

    async def _attempt_and_back_off(self) -> None:
        self._fault = ""
        failure = ""  # text alone: a kept exception would keep the frames of the attempt alive
        try:
            await self._watch_once()
        except (OSError, TimeoutError, JsonStreamError) as error:
            if isinstance(error, JsonStreamError):
                self._fault = str(error)
            failure = _describe(error)
        except Exception as error:  # whatever it was: without a watch drains would be missed for good
            log_event("endpoint_list_watch_crashed", error=_describe(error))
            traceback.print_exc()
        self.first_attempt_done.set()
        self._previous_fault = self._fault
        delay_s = self._backoff.next_delay_s(INVALID_UPDATE_BACKOFF_S if self._fault else None)
        if failure:
            self._log_failure(failure, delay_s)
        await asyncio.sleep(delay_s)

    async def _watch_once(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._timing.connect_timeout_s) as timeout:
            reader, writer = await asyncio.open_connection(*self._address)
            timeout.reschedule(loop.time() + self._timing.response_timeout_s)
            try:
                writer.write(self._encode_request())
                await self._read_updates(reader, timeout)
            finally:
                writer.transport.abort()

    def _encode_request(self) -> bytes:
        target = b"/v1/servers?stream=1&index=%d" % self._revision
        request = http1.Request(b"GET", target, {}, b"", True)
        host = "{}:{}".format(*self._address).encode()
        return http1.encode_request(request, host, {})

    async def _read_updates(self, reader: asyncio.StreamReader, timeout: asyncio.Timeout) -> None:
        """Handle updates until the response ends, is no stream of updates, or an update can't be applied."""
        loop = asyncio.get_running_loop()
        stream = JsonStreamParser(MAX_DOCUMENT_BYTES)
        body = bytearray()
        parser = http1.ResponseParser(body.extend)
        is_accepted = False
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                # Only whole documents and empty lines keep the watch alive: bytes that never complete a
                # document don't.
                if self._handle_body(stream, body) or parser.status == 200 and not is_accepted:
                    is_accepted = True
                    timeout.reschedule(loop.time() + SILENCE_TIMEOUT_S)
                if self._fault or parser.failed or parser.response or parser.status not in (0, 200):
                    return
        finally:
            parser.close()

    def _handle_body(self, stream: JsonStreamParser, body: bytearray) -> bool:
        """Take the bytes received and handle the updates they complete; whether they show a live peer."""
        documents, line_ends = stream.feed(bytes(body))
        body.clear()
        for document in documents:
            self._apply_update(document)
        if documents and not self._fault:
            self._backoff.reset()
        return bool(documents or line_ends)

    def _apply_update(self, document: Any) -> None:
        """Apply one update of the list.

        The revision only advances past what was applied, so that an update which could not be is requested
        once more. If it fails in the same way again it is skipped, and the updates behind it are applied.
        """
        update: EndpointList | None = None
        try:
            update = self._names.parse_endpoint_list(document)
            fault = "; ".join(update.faults)
            self._on_update(update)
        except ValueError as error:
            fault = str(error)
        except Exception as error:  # an error in applying an update must not end the watch for good
            traceback.print_exc()
            fault = _describe(error)
        if fault:
            self._log_not_applied(fault)
        if fault and fault != self._previous_fault:
            self._fault = self._fault or fault
        elif update and not self._fault:
            self._revision = update.revision
        self.first_attempt_done.set()

    def _log_failure(self, error: str, delay_s: float) -> None:
        if self._is_due(f"failed: {error}"):
            log_event("endpoint_list_watch_failed", error=error, retry_s=f"{delay_s:.3f}")

    def _log_not_applied(self, error: str) -> None:
        if self._is_due(f"not applied: {error}"):
            log_event("endpoint_list_update_not_applied", error=error)

    def _is_due(self, line: str) -> bool:
        """Whether to log the line: the same one again only after LOG_INTERVAL_S."""
        now_s = asyncio.get_running_loop().time()
        if line == self._last_line and now_s < self._repeat_line_at_s:
            return False
        self._last_line = line
        self._repeat_line_at_s = now_s + LOG_INTERVAL_S
        return True


def _describe(error: Exception) -> str:
    return f"{type(error).__name__}: {error}"
