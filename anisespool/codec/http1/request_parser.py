"""Parser for the requests of one connection."""

from __future__ import annotations

from http import HTTPStatus

import httptools

from anisespool.codec.http1.limits import MAX_BODY_BYTES, MAX_HEAD_BYTES
from anisespool.codec.http1.message import Request
from anisespool.codec.http1.message_buffer import MessageBuffer


class RequestParser:
    """Parses received bytes into complete requests.

    Attributes:
        error_status: Status of the response to invalid input, after which parsing stops; 0 if there was none.
        expects_continue: Whether the client waits for `100 Continue` before it sends the body.
    """

    def __init__(
        self, max_body_bytes: int = MAX_BODY_BYTES, header_names: frozenset[bytes] = frozenset()
    ) -> None:
        """Create a parser for one connection.

        Args:
            max_body_bytes: Limit on the size of a body.
            header_names: Names of the headers that requests have besides those that frame a message, in
                lower case.
        """
        self.error_status = 0
        self.expects_continue = False
        self._max_body_bytes = max_body_bytes
        self._header_names = header_names
        self._completed: list[Request] = []
        self._message = MessageBuffer(max_body_bytes, header_names)
        self._target = b""
        self._message_begun = False
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)

    @property
    def partial(self) -> bool:
        """Whether a request has been received in part only."""
        return self._message_begun or self._message.raw_bytes > 0

    @property
    def stored_bytes(self) -> int:
        """Number of bytes of the partial request in memory, besides a fixed amount."""
        return self._message.stored_bytes

    def fail(self, status: int) -> None:
        """Drop the partial request, and let `status` be the response to it. Parsing stops."""
        self.error_status = self.error_status or status
        self.close()

    def close(self) -> None:
        """Release the partial request, and the httptools parser, which forms a reference cycle with this."""
        self._parser = None
        self._message = MessageBuffer(self._max_body_bytes)
        self._message_begun = False

    def feed(self, data: bytes | memoryview) -> list[Request]:
        """Parse received bytes and return the requests they complete, including those before an error."""
        if not self.error_status and self._parser:
            message_before = self._message
            try:
                self._parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):  # no upgrade is supported
                self.error_status = self.error_status or HTTPStatus.BAD_REQUEST
                # The declared length may not fit what follows. The end of the last message received with the
                # invalid bytes is uncertain, so it is dropped: it may contain another request.
                if self._completed:
                    self._completed.pop()
            # Input that completes a message is not counted: the next message's part of it is unknown.
            if message_before is self._message:
                message_before.raw_bytes += len(data)
            if self._message.too_large:
                self.error_status = self.error_status or HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        completed = self._completed
        self._completed = []
        return completed

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Note that a request has begun."""
        self._message_begun = True

    def on_url(self, url: bytes) -> None:
        """Add a part of the target."""
        self._target += url
        self._message.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or trailer."""
        self._message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Check the head before the body arrives.

        It is rejected if it is ambiguous, too large or announces too large a body.
        """
        message = self._message
        message.end_head()
        if message.ambiguous:
            self.error_status = HTTPStatus.BAD_REQUEST
        elif message.content_length > message.max_body_bytes or message.head_bytes > MAX_HEAD_BYTES:
            self.error_status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif message.headers.get(b"expect", b"").lower() == b"100-continue":
            self.expects_continue = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body."""
        self._message.add_body(data)

    def on_message_complete(self) -> None:
        """Complete the request and prepare for the next one."""
        message = self._message
        parser = self._parser
        if message.too_large:
            self.error_status = self.error_status or HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        if parser and not self.error_status:
            request = Request(
                parser.get_method(),
                self._target,
                message.headers,
                bytes(message.body),
                parser.should_keep_alive(),
                len(self._target) + message.stored_head_bytes,
            )
            self._completed.append(request)
        self._message = MessageBuffer(self._max_body_bytes, self._header_names)
        self._target = b""
        self._message_begun = False
        self.expects_continue = False
