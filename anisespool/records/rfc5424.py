"""Encoder for syslog messages (RFC 5424) and its inverse for parameter values. No I/O.

A value may be any text or bytes. What a message can't carry is percent-encoded, as in a URL: control
characters (also U+0080 to U+009F, U+2028 and U+2029, which end lines in some programs), bytes that are not
UTF-8, lone surrogates, and the percent sign itself. So a message has no line end in it, whatever its values
are. A percent sign at the very end of a value, followed by nothing, marks a value that was truncated there.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Sequence
from datetime import UTC, datetime
from enum import IntEnum
from typing import NamedTuple

BOM = b"\xef\xbb\xbf"
RECOMMENDED_MAX_BYTES = 2048  # that every receiver should accept (6.1)
MIN_MAX_BYTES = 480  # that every receiver must accept (6.1)
MAX_TIMESTAMP_S = 253_402_300_799 - 86_400  # the year 9999, less any offset: TIMESTAMP has four digits for it
NIL = "-"  # NILVALUE: a part without a value
TRUNCATED = "%"  # at the end of a value
PRINTABLE = re.compile(r"[!-~]+")
PLAIN = re.compile(r"[ !#$&-\[^-~]*")  # needs neither an escape nor percent-encoding
ESCAPED = '"\\]'  # with a backslash (6.3.3)
LINE_ENDS = "\u2028\u2029"
MAX_FACILITY = 23
MAX_QUOTED_CHARACTERS = 60  # of an invalid part in an error's text
MAX_HOSTNAME_CHARACTERS = 255
MAX_APP_NAME_CHARACTERS = 48
MAX_PROCID_CHARACTERS = 128


class Param(NamedTuple):
    """One parameter of structured data (6.3.3)."""

    name: str
    value: str
    """As `escape_value` returned it."""


class Element(NamedTuple):
    """One element of structured data (6.3.1)."""

    sd_id: str
    params: Sequence[Param]


class Severity(IntEnum):
    """The severities (6.2.1) that records have."""

    ERROR = 3
    WARNING = 4
    NOTICE = 5
    INFO = 6


class OriginError(ValueError):
    """A part of a header that can't be encoded.

    Attributes:
        part: The part's name in `Origin`.
        found: Its value.
        wanted: What it may be.
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
    """0 to MAX_FACILITY."""
    host: str
    app: str
    procid: str

    def check(self) -> None:
        """Check that a header can carry all parts.

        Raises:
            OriginError: It can't carry one of them.
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
    """As a TimestampFormatter returned it."""
    msgid: str

    def encode(self) -> str:
        """Return the text that precedes the structured data."""
        origin = self.origin
        priority = origin.facility * 8 + self.severity
        return f"<{priority}>1 {self.timestamp} {origin.host} {origin.app} {origin.procid} {self.msgid} "


class TimestampFormatter:
    """Formats TIMESTAMP (6.2.3) with microseconds and the local offset; a second's text is cached."""

    def __init__(self, offset_s: Callable[[int], int]) -> None:
        """Create a formatter.

        Args:
            offset_s: Returns the local time's offset from UTC, in seconds to the east, at a Unix second.
        """
        self._offset_s = offset_s
        self._cached_second = -1
        self._cached_time = ""
        self._cached_offset = ""

    def __call__(self, unix_ns: int) -> str:
        """Return the timestamp of a time in Unix ns; NIL where RFC 5424 has none for it."""
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

    A longer one is truncated between two characters and marked.
    """
    text = raw.decode("utf-8", "surrogateescape") if isinstance(raw, bytes) else raw
    if len(text) <= max_bytes and PLAIN.fullmatch(text):
        return text
    if isinstance(raw, str):  # a lone surrogate becomes the bytes that encode it, none of which is UTF-8
        text = raw.encode("utf-8", "surrogatepass").decode("utf-8", "surrogateescape")
    units = [_escape_character(character) for character in text]
    sizes = [len(unit.encode()) for unit in units]
    if sum(sizes) <= max_bytes:
        return "".join(units)
    size = len(TRUNCATED)
    count = 0
    while size + sizes[count] <= max_bytes:
        size += sizes[count]
        count += 1
    return "".join(units[:count]) + TRUNCATED


def _escape_character(character: str) -> str:
    if character in ESCAPED:
        return "\\" + character
    code_point = ord(character)
    if 0xDC80 <= code_point <= 0xDCFF:  # a byte that is not UTF-8, as surrogateescape decodes it
        return f"%{code_point - 0xDC00:02X}"
    is_control = code_point < 0x20 or 0x7F <= code_point <= 0x9F
    if character == TRUNCATED or is_control or character in LINE_ENDS:
        return "".join(f"%{byte:02X}" for byte in character.encode())
    return character


class UnescapedValue(NamedTuple):
    """A parameter's value as it was before `escape_value`."""

    data: bytes
    is_truncated: bool


def unescape_value(text: str) -> UnescapedValue:
    """Undo the percent-encoding of `escape_value`.

    Args:
        text: A value whose backslash escapes are undone already.

    Raises:
        ValueError: A percent sign is not followed by two hexadecimal digits.
    """
    is_truncated = text.endswith(TRUNCATED)
    parts = (text[:-1] if is_truncated else text).split("%")
    chunks = [parts[0].encode()]
    for part in parts[1:]:
        if not re.match(r"[0-9A-F]{2}", part):
            raise ValueError(f"a percent sign with {part[:2]!r} behind it")
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

    Where it would be longer, MSG is left out first, and then whole parameters from the end on; the last
    element then has their number in a parameter `cut`.

    Args:
        header: The message's header.
        elements: Its structured data.
        message: MSG, written as it is.
        bom: Whether a BOM precedes a `message` that is not ASCII (6.4).
        max_bytes: Longest message.
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
    """A parameter, and what has to precede it if it is its element's first."""

    sd_id: str
    is_first: bool
    text: str


def _encode_truncated(header: str, elements: list[Element], max_bytes: int) -> bytes:
    """Encode as many parameters as fit, and the number of those that don't.

    An element stays open until the next one begins, so that the number can be added to the last one.
    """
    params = [
        _EncodedParam(element.sd_id, index == 0, _encode_param(param))
        for element in elements
        for index, param in enumerate(element.params)
    ]
    text = header
    is_open = False
    reserved_bytes = len(_encode_missing(len(params))) + len("]")
    free_bytes = max_bytes - len(header.encode()) - reserved_bytes
    for written, param in enumerate(params):
        start = ""
        if param.is_first:
            start = f"][{param.sd_id}" if is_open else f"[{param.sd_id}"
        free_bytes -= len(start) + len(param.text.encode())
        if free_bytes < 0:
            text = text if is_open else text + start
            return f"{text}{_encode_missing(len(params) - written)}]".encode()
        text += start + param.text
        is_open = True
    return f"{text}]".encode()


def _encode_missing(count: int) -> str:
    return _encode_param(Param("cut", str(count)))


def frame_octet_counted(data: bytes) -> bytes:
    """Frame a message by octet counting (RFC 6587, 3.4.1; RFC 5425, 4.3)."""
    return b"%d %b" % (len(data), data)


def frame_newline(data: bytes) -> bytes:
    """Frame a message by a trailing newline (RFC 6587, 3.4.2). Safe: no message has a line end in it."""
    return data + b"\n"
