"""Parser for one response and the interim responses before it."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

import httptools

from anisespool.codec.http1.limits import MAX_RESPONSE_BODY_BYTES
from anisespool.codec.http1.message import Response
from anisespool.codec.http1.message_buffer import MessageBuffer


class ResponseParser:
    """Parses received bytes into one response.

    Attributes:
        response: The response, or None until it is complete.
        status: Status code of the response, or 0 until the head is complete.
        failed: Whether the input is invalid or too large, so that there will be no response.
    """

    def __init__(
        self,
        on_body: Callable[[bytes], None] | None = None,
        header_names: frozenset[bytes] = frozenset(),
    ) -> None:
        """Create a parser for one response.

        Args:
            on_body: Called with each part of the body, without a limit on its size, for an endless stream.
                The body of the response is then empty.
            header_names: Names of the headers that the response has besides those that frame a message, in
                lower case.
        """
        self.response: Response | None = None
        self.status = 0
        self.failed = False
        self._on_body = on_body
        self._header_names = header_names
        self._message = MessageBuffer(MAX_RESPONSE_BODY_BYTES, header_names)
        self._parser: httptools.HttpResponseParser | None = httptools.HttpResponseParser(self)

    @property
    def stored_bytes(self) -> int:
        """Number of bytes of the partial response in memory, besides a fixed amount."""
        return self._message.stored_bytes

    def close(self) -> None:
        """Release the httptools parser, which forms a reference cycle with this object."""
        self._parser = None

    def feed(self, data: bytes | memoryview) -> Response | None:
        """Parse received bytes and return the response once it is complete."""
        if self._parser and not self.failed:
            try:
                self._parser.feed_data(data)
            except (httptools.HttpParserError, httptools.HttpParserUpgrade):
                self._invalid_input()
            # Interim responses (1xx) and the final head share one limit, because both can be endless.
            self._message.raw_bytes += len(data)
            streaming = self._on_body and self.status
            if self.response is None and self._message.too_large and not streaming:
                self.failed = True
        return None if self.failed else self.response

    def feed_eof(self) -> Response | None:
        """Handle the orderly close of the connection, which ends a body without framing (RFC 9112, 8).

        This method must not be called after a reset, which does not end a body.
        """
        message = self._message
        complete = self.status >= HTTPStatus.OK and not message.has_framing
        if self.response is None and complete and not self.failed:
            self.response = Response(self.status, message.headers, bytes(message.body), False)
        return self.response

    def _invalid_input(self) -> None:
        """Mark the response as failed or, if it is complete, the connection as not reusable."""
        if self.response is None:
            self.failed = True
        else:
            self.response = self.response._replace(keep_alive=False)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Treat a second message after the response as invalid."""
        if self.response is not None:
            self._invalid_input()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header or trailer."""
        if self.response is None:
            self._message.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Read the status, and reject a head whose body would be ambiguous, endless or too large."""
        if self.response is not None or self._parser is None:
            return
        message = self._message
        self.status = self._parser.get_status_code()
        message.end_head()
        if self._on_body is None and self.status >= HTTPStatus.OK:
            # A body may never end if it has no length and the sender has not announced a close after it.
            unframed = self.status == HTTPStatus.OK and not message.has_framing
            endless = unframed and not message.closes_connection
            self.failed = (
                self.failed or message.ambiguous or endless or message.content_length > message.max_body_bytes
            )

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body, or store it."""
        if self._on_body:
            self._on_body(data)
        elif self.response is None:
            self._message.add_body(data)

    def on_message_complete(self) -> None:
        """Complete the response, or start over after an interim one (1xx)."""
        if self.response is not None or self._parser is None:
            return
        if self.status == HTTPStatus.SWITCHING_PROTOCOLS:
            self.failed = True
        elif self.status < HTTPStatus.OK:
            self.status = 0
            raw_bytes = self._message.raw_bytes
            self._message = MessageBuffer(MAX_RESPONSE_BODY_BYTES, self._header_names)
            self._message.raw_bytes = raw_bytes
        elif not self.failed:
            message = self._message
            # Bytes beyond the limit were not stored, so the stored part must not be used as the whole body.
            self.failed = message.too_large
            if not self.failed:
                keep_alive = self._parser.should_keep_alive()
                self.response = Response(self.status, message.headers, bytes(message.body), keep_alive)
