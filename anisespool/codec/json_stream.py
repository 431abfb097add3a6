"""Parser for a stream of JSON documents (RFC 8259) in any layout, received in pieces of any size."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

WHITESPACE = re.compile(rb"[ \t\r\n]*")
STRUCTURAL = re.compile(rb'[{}\[\]"]')  # outside strings: begins or ends an object, array or string
STRING_SPECIAL = re.compile(rb'["\\\n]')  # end of a string, escape, or line end, which is invalid in a string
MAX_QUOTED_BYTES = 40  # limit on the invalid input that an error message quotes


class JsonStreamError(ValueError):
    """The input is invalid or too long, so that the beginning of the next document is unknown."""


class FeedResult(NamedTuple):
    """Documents and line ends that a piece of input completed."""

    documents: list[Any]
    line_ends: int
    """Number of line ends between documents. A peer may send them on their own as a keep-alive."""


class JsonStreamParser:
    """Parses objects and arrays as soon as they are complete.

    Each byte is scanned once, whatever the size of the pieces. Documents that end in their first line, as
    most do, are passed to the JSON parser without a scan.
    """

    def __init__(self, max_document_bytes: int) -> None:
        """Create a parser that rejects documents longer than `max_document_bytes`."""
        self._max_document_bytes = max_document_bytes
        self._buffer = bytearray()  # begins with the document being received
        self._begin_document()

    def _begin_document(self) -> None:
        self._scanned_bytes = 0  # length of the scanned part of the buffer
        self._depth = 0  # nesting depth of objects and arrays where the scan ended
        self._in_string = False  # whether the scan ended in a string
        self._first_line_parsed = False

    def feed(self, data: bytes) -> FeedResult:
        """Add received bytes and return what they complete.

        Raises:
            JsonStreamError: The stream is invalid. No document of these bytes is returned, and the parser
                must not be used again.
        """
        self._buffer += data
        documents: list[Any] = []
        line_ends = 0
        while True:
            if not self._scanned_bytes and not self._first_line_parsed:  # between documents
                line_ends += self._remove_whitespace()
            document = self._next_document() if self._buffer else None
            if document is None:
                break
            documents.append(document)
        if len(self._buffer) > self._max_document_bytes:
            raise JsonStreamError(f"a document is longer than {self._max_document_bytes} bytes")
        return FeedResult(documents, line_ends)

    def _remove_whitespace(self) -> int:
        """Remove whitespace from the beginning of the buffer, and return the number of line ends in it."""
        whitespace = WHITESPACE.match(self._buffer)
        assert whitespace  # the pattern matches any input, as it also matches no bytes
        line_ends = self._buffer.count(b"\n", 0, whitespace.end())
        del self._buffer[: whitespace.end()]
        return line_ends

    def _next_document(self) -> Any:
        """Remove and return the first document in the buffer, or return None if it is incomplete."""
        if self._buffer[0] not in b"{[":
            start = bytes(self._buffer[:MAX_QUOTED_BYTES])
            raise JsonStreamError(f"neither an object nor an array: {start!r}")
        document = None
        end = 0
        if not self._first_line_parsed and (end := self._buffer.find(b"\n", self._scanned_bytes)) >= 0:
            self._first_line_parsed = True
            document = _parse_first_line(bytes(self._buffer[:end]))
        if document is None:
            end = self._find_end()
            if end < 0:
                return None
            document = _parse(bytes(self._buffer[:end]))
        del self._buffer[:end]
        self._begin_document()
        return document

    def _find_end(self) -> int:
        """Scan new bytes, and return the end of the document, or -1 if it has not been received."""
        while found := (STRING_SPECIAL if self._in_string else STRUCTURAL).search(
            self._buffer, self._scanned_bytes
        ):
            found_byte = found[0]
            self._scanned_bytes = found.end()
            if found_byte == b'"':
                self._in_string = not self._in_string
            elif found_byte == b"\\":
                self._scanned_bytes += 1  # skips the escaped byte, which may not have been received yet
            elif found_byte == b"\n":
                raise JsonStreamError("a line ends within a string")
            else:
                self._depth += 1 if found_byte in b"{[" else -1
                if not self._depth:
                    return self._scanned_bytes
        self._scanned_bytes = max(self._scanned_bytes, len(self._buffer))
        return -1


def _parse_first_line(line: bytes) -> Any:
    """Parse a document that may end with its first line; return None if it ends earlier or later.

    An invalid document may have no end and would then include the following documents. No JSON token
    continues after a line end, so invalid input before it can be rejected at once.

    Raises:
        JsonStreamError: The line can't be the beginning of a document.
    """
    try:
        text = line.decode()
        return json.loads(text)
    except json.JSONDecodeError as error:
        if error.msg != "Extra data" and text[error.pos :].strip():
            raise JsonStreamError(str(error)) from None
        return None
    except (ValueError, RecursionError) as error:
        raise JsonStreamError(str(error)) from None


def _parse(text: bytes) -> Any:
    """Parse a complete document.

    Raises:
        JsonStreamError: The document is invalid.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise JsonStreamError(str(error)) from None
