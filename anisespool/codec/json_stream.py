"""A stream of JSON documents (RFC 8259) in any layout, received in any pieces. No sockets here."""

from __future__ import annotations

import json
import re
from typing import Any, NamedTuple

WHITESPACE = re.compile(rb"[ \t\r\n]*")
STRUCTURAL = re.compile(rb'[{}\[\]"]')  # begins or ends an object, array or string, outside of strings
STRING_SPECIAL = re.compile(rb'["\\\n]')  # may end a string, or must not be in one
MAX_QUOTED_BYTES = 40  # of invalid input in an error's text


class JsonStreamError(ValueError):
    """The input is not valid JSON, or too long: where the next document begins is unknown."""


class Received(NamedTuple):
    """What some bytes completed."""

    documents: list[Any]
    line_ends: int
    """Line ends between documents: a peer may send them alone, to show that it is alive."""


class JsonStreamParser:
    """Parses objects and arrays as they are completed.

    Each byte is scanned once, in whatever pieces it arrives. A document that ends in its first line, as most
    do, is passed to the JSON parser without a scan.
    """

    def __init__(self, max_document_bytes: int) -> None:
        """Create a parser that rejects documents longer than `max_document_bytes`."""
        self._max_document_bytes = max_document_bytes
        self._buffer = bytearray()  # begins with the document that is being received
        self._begin_document()

    def _begin_document(self) -> None:
        self._scanned_bytes = 0  # of the buffer
        self._depth = 0  # of objects and arrays, where the scan ended
        self._in_string = False  # where the scan ended
        self._first_line_parsed = False

    def feed(self, data: bytes) -> Received:
        """Add received bytes, and return what they complete.

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
            raise JsonStreamError(f"more than {self._max_document_bytes} bytes in one text")
        return Received(documents, line_ends)

    def _remove_whitespace(self) -> int:
        """Remove whitespace from the beginning of the buffer; returns the number of line ends in it."""
        whitespace = WHITESPACE.match(self._buffer)
        assert whitespace  # the pattern matches no bytes, too
        line_ends = self._buffer.count(b"\n", 0, whitespace.end())
        del self._buffer[: whitespace.end()]
        return line_ends

    def _next_document(self) -> Any:
        """Take the document that begins the buffer; None: it is not complete."""
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
        """Scan new bytes for the end of the document; -1: it is not there yet."""
        while found := (STRING_SPECIAL if self._in_string else STRUCTURAL).search(
            self._buffer, self._scanned_bytes
        ):
            mark = found[0]
            self._scanned_bytes = found.end()
            if mark == b'"':
                self._in_string = not self._in_string
            elif mark == b"\\":
                self._scanned_bytes += 1  # the escaped byte, which may not have been received yet
            elif mark == b"\n":
                raise JsonStreamError("a line ends within a string")
            else:
                self._depth += 1 if mark in b"{[" else -1
                if not self._depth:
                    return self._scanned_bytes
        self._scanned_bytes = max(self._scanned_bytes, len(self._buffer))
        return -1


def _parse_first_line(line: bytes) -> Any:
    """Parse a document that may end with its first line; None: it continues.

    A document with an error may have no end, and would include those behind it. No JSON token continues after
    a line's end, so what is invalid before it can be rejected at once.

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
        JsonStreamError: It is invalid.
    """
    try:
        return json.loads(text)
    except (ValueError, RecursionError) as error:
        raise JsonStreamError(str(error)) from None
