"""One connection to the discovery service: an HTTP response that streams list updates as JSON documents.

`watch` interprets the updates and decides when to connect again.
"""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

from anisespool.codec import http1
from anisespool.codec.json_stream import JsonStreamParser
from anisespool.config.platform import Address
from anisespool.discovery import timeouts
from anisespool.discovery.contact import DiscoveryContact
from anisespool.discovery.timeouts import WatchTiming

# Maximum size of one update.
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
READ_BYTES = 65536

ApplyUpdates = Callable[[list[Any]], bool]


class UpdateStream:
    """One attempt to receive updates: from connecting to the end of the response."""

    def __init__(
        self,
        address: Address,
        revision: int,
        timing: WatchTiming,
        apply_updates: ApplyUpdates,
        contact: DiscoveryContact,
    ) -> None:
        """Prepare an attempt, which `run` carries out.

        Args:
            address: Address of the discovery service.
            revision: Revision after which updates are requested; 0 requests the complete list.
            apply_updates: Takes the JSON documents that arrived together, in order. Returns whether to
                continue.
            contact: Notes when the service is heard.
        """
        self._contact = contact
        self._address = address
        self._revision = revision
        self._timing = timing
        self._apply_updates = apply_updates
        # Received bytes that have not been parsed as JSON yet.
        self._body = bytearray()
        self._documents = JsonStreamParser(MAX_DOCUMENT_BYTES)
        self._poll: select.poll | None = None  # set while connected

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""
        return bool(self._poll and self._poll.poll(0))

    async def run(self) -> None:
        """Receive updates until the response ends or is an error, or `apply_updates` returns false.

        Raises:
            OSError: The connection failed.
            TimeoutError: Connecting or the response took too long, or silence lasted SILENCE_TIMEOUT_S.
            JsonStreamError: The response is not JSON.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(self._timing.connect_timeout_s) as deadline:
            reader, writer = await asyncio.open_connection(*self._address)
            deadline.reschedule(loop.time() + self._timing.response_timeout_s)
            self._poll = select.poll()
            self._poll.register(writer.get_extra_info("socket").fileno(), select.POLLIN)
            try:
                writer.write(self._encode_request())
                await self._read_updates(reader, deadline)
            finally:
                self._poll = None
                writer.transport.abort()

    def _encode_request(self) -> bytes:
        target = b"/v1/servers?stream=1&index=%d" % self._revision
        request = http1.Request(b"GET", target, {}, b"", True)
        host = "{}:{}".format(*self._address).encode()
        return http1.encode_request(request, host, {})

    async def _read_updates(self, reader: asyncio.StreamReader, deadline: asyncio.Timeout) -> None:
        loop = asyncio.get_running_loop()
        parser = http1.ResponseParser(self._body.extend)
        has_started = False
        try:
            while data := await reader.read(READ_BYTES):
                parser.feed(data)
                received = self._documents.feed(bytes(self._body))
                self._body.clear()
                if received.documents or received.line_ends:
                    self._contact.record(time.monotonic_ns())
                may_continue = not received.documents or self._apply_updates(received.documents)
                # The start of the response, complete documents and empty lines extend the deadline. Bytes
                # that never complete a document don't.
                starts_now = parser.status == HTTPStatus.OK and not has_started
                if received.documents or received.line_ends or starts_now:
                    has_started = True
                    deadline.reschedule(loop.time() + timeouts.SILENCE_TIMEOUT_S)
                if not may_continue or _has_ended(parser):
                    return
        finally:
            parser.close()


def _has_ended(parser: http1.ResponseParser) -> bool:
    """Return whether the response is complete, invalid or an error, so that no update can follow."""
    has_head = parser.status != 0
    is_error = has_head and parser.status != HTTPStatus.OK
    return parser.failed or parser.response is not None or is_error
