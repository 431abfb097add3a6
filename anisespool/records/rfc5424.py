"""Encodes syslog messages (RFC 5424), and decodes parameter values. No I/O.

A value may be any text or bytes. Characters that a message can't contain are percent-encoded, as in a URL:
control characters (also U+0080 to U+009F, U+2028 and U+2029, which some programs treat as line ends), bytes
that are not UTF-8, lone surrogates, and the percent sign itself. A message therefore contains no line end,
whatever its values are. A percent sign at the very end of a value marks a value that was truncated there.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from enum import IntEnum
from typing import NamedTuple

BOM = b"\xef\xbb\xbf"
# Length that every receiver should accept (6.1).
RECOMMENDED_MAX_BYTES = 2048
# Length that every receiver must accept (6.1).
REQUIRED_MAX_BYTES = 480
# End of the year 9999, as TIMESTAMP has four digits for it, minus a day for any offset.
MAX_TIMESTAMP_S = 253_402_300_799 - 86_400
# NILVALUE stands for a missing value.
NIL = "-"
# The last character of a truncated value.
TRUNCATION_MARK = "%"
PRINTABLE = re.compile(r"[!-~]+")
# Text that needs neither backslash escapes nor percent-encoding.
PLAIN_TEXT = re.compile(r"[ !#$&-\[^-~]*")
# Characters that are escaped with a backslash (6.3.3).
BACKSLASH_ESCAPED = '"\\]'
UNICODE_LINE_ENDS = "\u2028\u2029"
MAX_FACILITY = 23
# An error message quotes an invalid part up to this length.
MAX_QUOTED_CHARACTERS = 60
MAX_HOSTNAME_CHARACTERS = 255
MAX_APP_NAME_CHARACTERS = 48
MAX_PROCID_CHARACTERS = 128


class Param(NamedTuple):
    """One parameter of structured data (6.3.3)."""

    name: str
    value: str
    """The value, as escaped by `escape_value`."""


class Element(NamedTuple):
    """One element of structured data (6.3.1)."""

    sd_id: str
    params: Sequence[Param]


class Severity(IntEnum):
    """The severities (6.2.1) used by records."""

    ERROR = 3
    WARNING = 4
    NOTICE = 5
    INFO = 6


class OriginError(ValueError):
    """A part of a header can't be encoded.

    Attributes:
        part: Name of the part in `Origin`.
        found: Value of the part.
        wanted: Description of the valid values.
    """

    def __init__(self, part: str, found: object, wanted: str) -> None:
        """Create the error for one part."""
        super().__init__(f"{part}: found {found}, wanted {wanted}")
        self.part = part
        self.found = found
        self.wanted = wanted


class Origin(NamedTuple):
    """The parts of a header that are the same for all messages of a process (6.2)."""

    facility: int
    """A number between 0 and MAX_FACILITY."""
    host: str
    app: str
    procid: str

    def check(self) -> None:
        """Check that all parts are valid in a header.

        Raises:
            OriginError: A part is invalid.
        """
        if not 0 <= self.facility <= MAX_FACILITY:
            raise OriginError("facility", self.facility, f"0 to {MAX_FACILITY}")
        limits = {
            "host": MAX_HOSTNAME_CHARACTERS,
            "app": MAX_APP_NAME_CHARACTERS,
            "procid": MAX_PROCID_CHARACTERS,
        }
        for name, limit in limits.items():
            text = getattr(self, name)
            if len(text) > limit or not PRINTABLE.fullmatch(text):
                found = repr(text[:MAX_QUOTED_CHARACTERS])
                raise OriginError(name, found, f"1 to {limit} printable characters")


class Header(NamedTuple):
    """The header of one message (6.2)."""

    origin: Origin
    severity: Severity
    timestamp: str
    """The timestamp, as formatted by a TimestampFormatter."""
    msgid: str

    def encode(self) -> str:
        """Return the text before the structured data."""
        origin = self.origin
        priority = origin.facility * 8 + self.severity
        return f"<{priority}>1 {self.timestamp} {origin.host} {origin.app} {origin.procid} {self.msgid} "


class TimestampFormatter:
    """Formats TIMESTAMP (6.2.3) with microseconds and the local offset, and caches the text of a second."""

    def __init__(self, offset_s: Callable[[int], int]) -> None:
        """Create a formatter.

        Args:
            offset_s: Returns the local time zone's offset from UTC at a Unix second, in seconds east.
        """
        self._offset_s = offset_s
        self._cached_second = -1
        self._cached_time = ""
        self._cached_offset = ""

    def __call__(self, unix_ns: int) -> str:
        """Return the timestamp of a time in Unix ns, or NIL if TIMESTAMP can't represent it."""
        second, nanoseconds = divmod(unix_ns, 1_000_000_000)
        if second != self._cached_second:
            if not 0 <= second <= MAX_TIMESTAMP_S:
                return NIL
            offset_s = self._offset_s(second)
            local = datetime.fromtimestamp(second + offset_s, UTC)
            self._cached_time = local.strftime("%Y-%m-%dT%H:%M:%S.")
            self._cached_offset = _format_offset(offset_s)
            self._cached_second = second
        return f"{self._cached_time}{nanoseconds // 1000:06}{self._cached_offset}"


def _format_offset(offset_s: int) -> str:
    if not offset_s:
        return "Z"
    hours, minutes = divmod(abs(offset_s) // 60, 60)
    sign = "-" if offset_s < 0 else "+"
    return f"{sign}{hours:02}:{minutes:02}"


def escape_value(raw: str | bytes, max_bytes: int = 256) -> str:
    """Return a PARAM-VALUE, without its quotes, of at most `max_bytes` bytes.

    A longer value is truncated between two characters and ends with TRUNCATION_MARK.
    """
    text = raw.decode("utf-8", "surrogateescape") if isinstance(raw, bytes) else raw
    if len(text) <= max_bytes and PLAIN_TEXT.fullmatch(text):
        return text
    if isinstance(raw, str):  # A lone surrogate becomes the bytes that encode it, none of which is UTF-8.
        text = raw.encode("utf-8", "surrogatepass").decode("utf-8", "surrogateescape")
    escaped = [_escape_character(character) for character in text]
    sizes = [len(escaped_character.encode()) for escaped_character in escaped]
    if sum(sizes) <= max_bytes:
        return "".join(escaped)
    size = len(TRUNCATION_MARK)
    count = 0
    while size + sizes[count] <= max_bytes:
        size += sizes[count]
        count += 1
    return "".join(escaped[:count]) + TRUNCATION_MARK


def _escape_character(character: str) -> str:
    if character in BACKSLASH_ESCAPED:
        return "\\" + character
    code_point = ord(character)
    if 0xDC80 <= code_point <= 0xDCFF:  # surrogateescape decodes a byte that is not UTF-8 to this range.
        return f"%{code_point - 0xDC00:02X}"
    is_control = code_point < 0x20 or 0x7F <= code_point <= 0x9F
    if character == TRUNCATION_MARK or is_control or character in UNICODE_LINE_ENDS:
        return "".join(f"%{byte:02X}" for byte in character.encode())
    return character


class UnescapedValue(NamedTuple):
    """A parameter's value before `escape_value`, up to where it was truncated."""

    data: bytes
    is_truncated: bool


def unescape_value(text: str) -> UnescapedValue:
    """Undo the percent-encoding of `escape_value`.

    Args:
        text: A value whose backslash escapes have been undone.

    Raises:
        ValueError: A percent sign is not followed by two hexadecimal digits.
    """
    is_truncated = text.endswith(TRUNCATION_MARK)
    parts = (text[:-1] if is_truncated else text).split("%")
    chunks = [parts[0].encode()]
    for part in parts[1:]:
        if not re.match(r"[0-9A-F]{2}", part):
            raise ValueError(f"percent sign: found {part[:2]!r} after it, wanted two hexadecimal digits")
        chunks.append(bytes.fromhex(part[:2]) + part[2:].encode())
    return UnescapedValue(b"".join(chunks), is_truncated)


def encode_message(
    header: Header,
    elements: Iterable[Element],
    message: str = "",
    bom: bool = True,
    max_bytes: int = RECOMMENDED_MAX_BYTES,
) -> bytes:
    """Encode one message of at most `max_bytes` bytes.

    If it would be longer, MSG is left out first, and then whole parameters, beginning with the last one. A
    parameter `cut` of the last element then has their number.

    Args:
        header: The message's header.
        elements: The message's structured data.
        message: The MSG part, which is not escaped.
        bom: Whether a BOM precedes a `message` that is not ASCII (6.4).
        max_bytes: Maximum length of the message.
    """
    start = header.encode()
    elements = list(elements)
    structured_data = "".join([_encode_element(element) for element in elements]) or NIL
    data = (start + structured_data).encode()
    if len(data) > max_bytes:
        return _encode_truncated(start, elements, max_bytes)
    if not message:
        return data
    with_text = b"%b %b" % (data, _encode_text(message, bom))
    return with_text if len(with_text) <= max_bytes else data


def _encode_text(message: str, bom: bool) -> bytes:
    text = message.encode("utf-8", "replace")
    return BOM + text if bom and not message.isascii() else text


def _encode_element(element: Element) -> str:
    return f"[{element.sd_id}{''.join([_encode_param(param) for param in element.params])}]"


def _encode_param(param: Param) -> str:
    return f' {param.name}="{param.value}"'


class _EncodedParam(NamedTuple):
    """An encoded parameter, and the SD-ID that precedes it if it is its element's first."""

    sd_id: str
    is_first: bool
    text: str


def _encode_truncated(header: str, elements: list[Element], max_bytes: int) -> bytes:
    """Encode as many parameters as fit, and the number of missing ones.

    An element is closed only when the next one begins, so that the number can be added to the last element.
    """
    params = [
        _EncodedParam(element.sd_id, index == 0, _encode_param(param))
        for element in elements
        for index, param in enumerate(element.params)
    ]
    text = header
    is_open = False
    reserved_bytes = len(_encode_missing_count(len(params))) + len("]")
    free_bytes = max_bytes - len(header.encode()) - reserved_bytes
    for written, param in enumerate(params):
        start = ""
        if param.is_first:
            start = f"][{param.sd_id}" if is_open else f"[{param.sd_id}"
        free_bytes -= len(start) + len(param.text.encode())
        if free_bytes < 0:
            text = text if is_open else text + start
            return f"{text}{_encode_missing_count(len(params) - written)}]".encode()
        text += start + param.text
        is_open = True
    return f"{text}]".encode()


def _encode_missing_count(count: int) -> str:
    return _encode_param(Param("cut", str(count)))


def frame_octet_counted(data: bytes) -> bytes:
    """Frame a message with octet counting (RFC 6587, 3.4.1; RFC 5425, 4.3)."""
    return b"%d %b" % (len(data), data)


def frame_newline(data: bytes) -> bytes:
    """Frame a message with a trailing newline (RFC 6587, 3.4.2). Messages contain no line end."""
    return data + b"\n"
