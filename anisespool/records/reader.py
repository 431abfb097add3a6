"""Reads records from log files, plain or gzip, or standard input, and skips other programs' lines.

A record's line holds a message from `RecordEncoder`, optionally after an octet count. Only one line is in
memory at a time. As logs have millions of lines, parameters are parsed only if a RecordFilter selects them.
"""

from __future__ import annotations

import gzip
import re
import sys
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import IO, NamedTuple

from anisespool.records import message_ids
from anisespool.records.rfc5424 import unescape_value

MAX_LINE_BYTES = 2**17
GZIP_MAGIC = b"\x1f\x8b"
REQUEST_MSGID = message_ids.REQUEST.encode()
# Main element of a request; the main element of other messages is named after their MSGID.
REQUEST_ELEMENT = b"req"
# Prefix of an attempt's element, followed by the attempt's number.
ATTEMPT_ELEMENT = b"try"
MSGIDS = "|".join((message_ids.REQUEST, message_ids.GAP, message_ids.COUNTS)).encode()
HEADER = re.compile(rb"(?:\d+ )?<\d{1,3}>1 (\S+) (\S+) (\S+) (\S+) (%b) " % MSGIDS)
ELEMENT = re.compile(rb'\[([a-z0-9]+)(?:@[\d.]+)?((?: [^\s="\]]+="(?:[^"\\\]]|\\.)*")*)\]', re.IGNORECASE)
PARAM = re.compile(rb' ([^\s="\]]+)="((?:[^"\\\]]|\\.)*)"')
ESCAPE = re.compile(rb'\\(["\\\]])')


class ParsedAttempt(NamedTuple):
    """An attempt at an endpoint. The field names are keys of the output of `anisespool trace --json`."""

    endpoint: str
    status: str
    at_ms: float
    """Time from the request's arrival to the start of the attempt."""
    ms: float
    """Duration of the attempt."""


@dataclass(frozen=True, slots=True)
class ParsedRecord:
    """A record read from a log. Properties of a request apply only to records of requests."""

    msgid: str
    """One of the constants in `message_ids`."""
    timestamp: str
    """The timestamp's text in the log."""
    process: str
    """Host, application and process id of the process that wrote the record."""
    params: dict[str, str]
    """Parameters of the main element by their names in the log (docs/records.md)."""
    attempts: tuple[ParsedAttempt, ...] = ()

    @property
    def trace_id(self) -> str | None:
        """The client's id for the request."""
        return self.params.get("trace")

    @property
    def request_class(self) -> str | None:
        """Name of the request's class."""
        return self.params.get("class")

    @property
    def tenant(self) -> str | None:
        """The customer, as sent by the client."""
        return self.params.get("member")

    @property
    def node(self) -> str | None:
        """Name of the sidecar that wrote the record."""
        return self.params.get("node")

    @property
    def outcome(self) -> str | None:
        """The request's outcome, one of OUTCOME_NAMES."""
        return self.params.get("outcome")

    @property
    def fingerprint(self) -> str | None:
        """A checksum that is equal for all of the client's attempts at one operation."""
        return self.params.get("alike")

    @property
    def retry_after_s(self) -> str | None:
        """The Retry-After that was sent to the client, in seconds."""
        return self.params.get("back")

    @property
    def finished_s(self) -> float:
        """Unix time of the timestamp, which is when a request was answered; 0 without a valid timestamp."""
        try:
            return datetime.fromisoformat(self.timestamp).timestamp()
        except ValueError:
            return 0.0

    @property
    def duration_ms(self) -> float:
        """Time from the request's arrival to its answer."""
        return _parse_float(self.params.get("ms"))

    @property
    def started_s(self) -> float:
        """Unix time of the request's arrival."""
        return self.finished_s - self.duration_ms / 1e3


@dataclass(slots=True)
class LineCounts:
    """Numbers of lines read so far."""

    records: int = 0
    other_lines: int = 0


class RecordFilter(NamedTuple):
    """Selects the lines to parse, and whether to parse their attempts."""

    msgids: tuple[bytes, ...] = (REQUEST_MSGID,)
    substring: bytes = b""
    """Lines that do not contain this are skipped."""
    parse_attempts: bool = True


def parse_line(line: bytes, parse_attempts: bool = True) -> ParsedRecord | None:
    """Parse a line; return None if it is not a record."""
    header = HEADER.match(line)
    return _parse(line, header, parse_attempts) if header else None


def _parse(line: bytes, header: re.Match[bytes], parse_attempts: bool) -> ParsedRecord | None:
    timestamp, host, app, procid, msgid = header.groups()
    params: dict[str, str] | None = None
    attempts: list[ParsedAttempt] = []
    position = header.end()
    while element := ELEMENT.match(line, position):
        position = element.end()
        name = element[1]
        if name == msgid or (name == REQUEST_ELEMENT and msgid == REQUEST_MSGID):
            params = _parse_params(element[2])
            if not parse_attempts:
                break
        elif name.startswith(ATTEMPT_ELEMENT):
            attempts.append(_parse_attempt(_parse_params(element[2])))
    if params is None:
        return None
    process = b"/".join((host, app, procid)).decode("ascii", "replace")
    return ParsedRecord(
        msgid.decode(), timestamp.decode("ascii", "replace"), process, params, tuple(attempts)
    )


def _parse_params(raw: bytes) -> dict[str, str]:
    return {key.decode("ascii", "replace"): _parse_value(value) for key, value in PARAM.findall(raw)}


def _parse_value(value: bytes) -> str:
    """Return a parameter's value as text, with `...` appended if it was truncated."""
    if b"\\" in value:
        value = ESCAPE.sub(rb"\1", value)
    text = value.decode("utf-8", "replace")
    if "%" not in text:
        return text
    try:
        raw, is_truncated = unescape_value(text)
    except ValueError:
        return text
    return raw.decode("utf-8", "backslashreplace") + ("..." if is_truncated else "")


def _parse_attempt(params: dict[str, str]) -> ParsedAttempt:
    at_ms = _parse_float(params.get("at"))
    duration_ms = _parse_float(params.get("ms"))
    return ParsedAttempt(params.get("ep", "-"), params.get("status", "-"), at_ms, duration_ms)


def _parse_float(text: str | None) -> float:
    try:
        return float(text or 0)
    except ValueError:
        return 0.0


@contextmanager
def open_log(file_name: str) -> Iterator[IO[bytes]]:
    """Open a file, or standard input for `-`. A file that begins with the gzip magic is decompressed.

    Raises:
        OSError: The file can't be read.
    """
    if file_name == "-":
        yield sys.stdin.buffer
        return
    path = Path(file_name)
    with path.open("rb") as file:
        is_gzip = file.read(len(GZIP_MAGIC)) == GZIP_MAGIC
    with gzip.open(path, "rb") if is_gzip else path.open("rb") as file:
        yield file  # type: ignore[misc]


def read_lines(file_names: Iterable[str], counts: LineCounts) -> Iterator[bytes]:
    """Yield the lines of each file in turn; lines longer than MAX_LINE_BYTES are skipped and counted."""
    for file_name in file_names:
        with open_log(file_name) as file:
            while line := file.readline(MAX_LINE_BYTES):
                if not line.endswith(b"\n") and len(line) >= MAX_LINE_BYTES:
                    _skip_line(file)
                    counts.other_lines += 1
                    continue
                yield line


def _skip_line(file: IO[bytes]) -> None:
    while (chunk := file.readline(MAX_LINE_BYTES)) and not chunk.endswith(b"\n"):
        pass


def read_records(
    file_names: Iterable[str], counts: LineCounts, record_filter: RecordFilter
) -> Iterator[ParsedRecord]:
    """Yield the records that pass the filter. `counts` also includes the lines that do not pass."""
    for line in read_lines(file_names, counts):
        header = HEADER.match(line)
        if header is None:
            counts.other_lines += 1
            continue
        counts.records += 1
        if header[5] in record_filter.msgids and record_filter.substring in line:
            record = _parse(line, header, record_filter.parse_attempts)
            if record:
                yield record
            else:
                counts.records -= 1
                counts.other_lines += 1
