"""A strict parser of syslog messages by the ABNF of RFC 5424, section 6, and nothing beyond it."""

from __future__ import annotations

from dataclasses import dataclass

REGISTERED_SD_IDS = frozenset({"timeQuality", "origin", "meta"})
"""The SD-IDs without an enterprise number (RFC 5424, 7)."""
BOM = b"\xef\xbb\xbf"
SD_NAME_DELIMITERS = b'= ]"'
"""Characters that an SD-NAME may not contain (RFC 5424, 6)."""
MAX_SD_NAME_LENGTH = 32
ERROR_EXCERPT_BYTES = 12
LONG_MONTHS = (1, 3, 5, 7, 8, 10, 12)


class SyslogError(ValueError):
    """The input violates the grammar; the text names the octet, what was found and what was wanted."""


@dataclass(slots=True)
class Message:
    """A parsed message. The value of an absent field (NILVALUE) is "-".

    Attributes:
        facility: Facility, 0 to 23.
        severity: Severity, 0 to 7.
        timestamp: TIMESTAMP as it was sent.
        host: The HOSTNAME.
        app: The APP-NAME.
        procid: The PROCID.
        msgid: The MSGID.
        structured_data: Names and values of parameters, without escapes, by SD-ID.
        text: MSG without its byte order mark; None: there is no MSG.
        is_utf8: Whether MSG began with a byte order mark.
    """

    facility: int
    severity: int
    timestamp: str
    host: str
    app: str
    procid: str
    msgid: str
    structured_data: dict[str, list[tuple[str, str]]]
    text: bytes | None
    is_utf8: bool

    def params(self, sd_id: str) -> dict[str, str]:
        """Return the parameters of an element by name; empty: there is no such element."""
        return dict(self.structured_data.get(sd_id, ()))


def parse(data: bytes) -> Message:
    """Parse one SYSLOG-MSG (RFC 5424, 6).

    Raises:
        SyslogError: The message violates the grammar.
    """
    scanner = _Scanner(data)
    priority = _parse_priority(scanner)
    _parse_version(scanner)
    timestamp = _parse_timestamp(scanner)
    scanner.expect(b" ")
    host = _parse_header_field(scanner, 255, "HOSTNAME")
    app = _parse_header_field(scanner, 48, "APP-NAME")
    procid = _parse_header_field(scanner, 128, "PROCID")
    msgid = _parse_header_field(scanner, 32, "MSGID")
    elements = _parse_structured_data(scanner)
    text, is_utf8 = _parse_text(scanner)
    return Message(
        facility=priority // 8,
        severity=priority % 8,
        timestamp=timestamp,
        host=host,
        app=app,
        procid=procid,
        msgid=msgid,
        structured_data=elements,
        text=text,
        is_utf8=is_utf8,
    )


class _Scanner:
    """Consumes the octets of one message from left to right."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def error(self, wanted: str) -> SyslogError:
        """Return the error that `wanted` was not found at this position."""
        found = self.data[self.position : self.position + ERROR_EXCERPT_BYTES]
        return SyslogError(f"octet {self.position}: found {found!r}, wanted {wanted}")

    def peek(self) -> bytes:
        """Return the next octet; empty at the end."""
        return self.data[self.position : self.position + 1]

    def accept(self, octet: bytes) -> bool:
        """Consume the next octet if it is `octet`, and return whether it is."""
        if self.peek() != octet:
            return False
        self.position += 1
        return True

    def expect(self, octet: bytes) -> None:
        """Consume the next octet, which has to be `octet`."""
        if not self.accept(octet):
            raise self.error(repr(octet.decode()))

    def read_number(self, min_length: int, max_length: int, minimum: int, maximum: int, wanted: str) -> int:
        """Consume a number within inclusive limits of length and value."""
        begin = self.position
        while self.position - begin < max_length and self.peek().isdigit():
            self.position += 1
        text = self.data[begin : self.position]
        if len(text) < min_length or not minimum <= int(text) <= maximum:
            self.position = begin
            raise self.error(wanted)
        return int(text)

    def read_printable(self, max_length: int, wanted: str, excluded: bytes = b"") -> str:
        """Consume one or more PRINTUSASCII (%d33-126) that are not `excluded`."""
        begin = self.position
        while (octet := self.peek()) and 33 <= octet[0] <= 126 and octet not in excluded:
            self.position += 1
        if not 1 <= self.position - begin <= max_length:
            self.position = begin
            raise self.error(f"{wanted} of 1 to {max_length} characters")
        return self.data[begin : self.position].decode("ascii")


def _parse_priority(scanner: _Scanner) -> int:
    scanner.expect(b"<")
    begin = scanner.position
    priority = scanner.read_number(1, 3, 0, 191, "PRIVAL, 0 to 191")
    if scanner.position - begin > 1 and scanner.data[begin : begin + 1] == b"0":
        raise scanner.error("PRIVAL without a leading zero")
    scanner.expect(b">")
    return priority


def _parse_version(scanner: _Scanner) -> None:
    if scanner.read_number(1, 3, 1, 999, "VERSION") != 1:
        raise scanner.error("VERSION 1")
    scanner.expect(b" ")


def _parse_header_field(scanner: _Scanner, max_length: int, name: str) -> str:
    value = scanner.read_printable(max_length, name)
    scanner.expect(b" ")
    return value


def _parse_timestamp(scanner: _Scanner) -> str:
    begin = scanner.position
    if scanner.accept(b"-"):
        return "-"
    year = scanner.read_number(4, 4, 0, 9999, "DATE-FULLYEAR")
    scanner.expect(b"-")
    month = scanner.read_number(2, 2, 1, 12, "DATE-MONTH")
    scanner.expect(b"-")
    scanner.read_number(2, 2, 1, _days_in_month(year, month), "DATE-MDAY")
    scanner.expect(b"T")
    _parse_hours_and_minutes(scanner)
    scanner.expect(b":")
    scanner.read_number(2, 2, 0, 59, "TIME-SECOND")
    if scanner.accept(b"."):
        scanner.read_number(1, 6, 0, 999_999, "TIME-SECFRAC")
    if not scanner.accept(b"Z"):
        if not (scanner.accept(b"+") or scanner.accept(b"-")):
            raise scanner.error("TIME-OFFSET")
        _parse_hours_and_minutes(scanner)
    return scanner.data[begin : scanner.position].decode("ascii")


def _parse_hours_and_minutes(scanner: _Scanner) -> None:
    scanner.read_number(2, 2, 0, 23, "TIME-HOUR")
    scanner.expect(b":")
    scanner.read_number(2, 2, 0, 59, "TIME-MINUTE")


def _days_in_month(year: int, month: int) -> int:
    if month == 2:
        is_leap = year % 4 == 0 and (year % 100 != 0 or year % 400 == 0)
        return 29 if is_leap else 28
    return 31 if month in LONG_MONTHS else 30


def _parse_structured_data(scanner: _Scanner) -> dict[str, list[tuple[str, str]]]:
    if scanner.accept(b"-"):
        return {}
    elements: dict[str, list[tuple[str, str]]] = {}
    while scanner.accept(b"["):
        sd_id = _parse_sd_id(scanner)
        if sd_id in elements:
            raise scanner.error(f"{sd_id} no more than once (6.3.2)")
        elements[sd_id] = _parse_params(scanner)
        scanner.expect(b"]")
    if not elements:
        raise scanner.error("STRUCTURED-DATA")
    return elements


def _parse_sd_id(scanner: _Scanner) -> str:
    sd_id = scanner.read_printable(MAX_SD_NAME_LENGTH, "SD-ID", SD_NAME_DELIMITERS)
    name, at, number = sd_id.partition("@")
    if not at and sd_id not in REGISTERED_SD_IDS:
        raise scanner.error("an SD-ID that is registered, or has an enterprise number")
    if at and (not name or not all(part.isdigit() for part in number.split("."))):
        raise scanner.error("SD-ID name@number")
    return sd_id


def _parse_params(scanner: _Scanner) -> list[tuple[str, str]]:
    params = []
    while scanner.accept(b" "):
        name = scanner.read_printable(MAX_SD_NAME_LENGTH, "PARAM-NAME", SD_NAME_DELIMITERS)
        scanner.expect(b"=")
        scanner.expect(b'"')
        params.append((name, _parse_param_value(scanner)))
    return params


def _parse_param_value(scanner: _Scanner) -> str:
    """Consume a PARAM-VALUE and its closing quotation mark, and return it without escapes."""
    value = bytearray()
    while not scanner.accept(b'"'):
        if scanner.peek() in (b"", b"]"):
            raise scanner.error("PARAM-VALUE with ']' escaped")
        if scanner.peek() == b"\\":
            following = scanner.data[scanner.position + 1 : scanner.position + 2]
            if following not in (b'"', b"\\", b"]"):
                raise scanner.error("an escape of '\"', '\\' or ']'")
            scanner.position += 1
        value += scanner.peek()
        scanner.position += 1
    try:
        return value.decode()
    except UnicodeDecodeError:
        raise scanner.error("UTF-8-STRING") from None


def _parse_text(scanner: _Scanner) -> tuple[bytes | None, bool]:
    """Return MSG without its byte order mark, and whether it had one."""
    if scanner.position == len(scanner.data):
        return None, False
    scanner.expect(b" ")
    text = scanner.data[scanner.position :]
    if not text.startswith(BOM):
        return text, False
    text = text.removeprefix(BOM)
    try:
        text.decode()
    except UnicodeDecodeError:
        raise scanner.error("UTF-8-STRING after a BOM") from None
    return text, True
