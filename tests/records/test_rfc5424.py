"""RFC 5424 messages, decoded by a parser that was written from the RFC alone."""

from __future__ import annotations

import re
from collections.abc import Callable

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from anisespool.fakes.syslog import FrameDecoder, SyslogError, parse
from anisespool.records import rfc5424
from anisespool.records.rfc5424 import (
    Element,
    Header,
    Origin,
    OriginError,
    Param,
    Severity,
    TimestampFormatter,
    encode_message,
    escape_value,
    frame_newline,
    frame_octet_counted,
    unescape_value,
)

ORIGIN = Origin(16, "lima", "anisespool", "77")
HEADER = Header(ORIGIN, Severity.INFO, "-", "path")
SPECIAL_TEXTS = st.sampled_from([*'"\\]\n\r\0%=\u2028\u0085\ud800\U0001f514ñ界', "%4", "%%"])
TEXTS = st.lists(st.one_of(SPECIAL_TEXTS, st.text(st.characters(), max_size=20)), max_size=14).map("".join)
RAW_VALUES = st.one_of(TEXTS, st.binary(max_size=200))


def raw_bytes(raw: str | bytes) -> bytes:
    return raw if isinstance(raw, bytes) else raw.encode("utf-8", "surrogatepass")


@settings(max_examples=400, deadline=None)
@given(st.lists(RAW_VALUES, min_size=1, max_size=6), st.integers(16, 300))
def test_any_value_round_trips_or_is_truncated_between_two_characters(
    raws: list[str | bytes], max_bytes: int
) -> None:
    params = [Param(f"p{number}", escape_value(raw, max_bytes)) for number, raw in enumerate(raws)]
    elements = [Element("req@32473", params)]
    data = encode_message(HEADER, elements, max_bytes=10**6)
    assert b"\n" not in data
    assert all(len(text.encode()) <= max_bytes for _, text in params)
    for raw, (_, text) in zip(raws, parse(data).data["req@32473"], strict=True):
        decoded, is_truncated = unescape_value(text)
        assert decoded == raw_bytes(raw) if not is_truncated else raw_bytes(raw).startswith(decoded)
        if not is_truncated:
            continue
        try:  # The truncated rest begins with a whole character.
            raw_bytes(raw).decode()
        except UnicodeDecodeError:
            continue
        assert decoded.decode() is not None


@pytest.mark.parametrize(
    ("raw", "max_bytes", "escaped"),
    [
        ('a"b\\c]d', 99, 'a\\"b\\\\c\\]d'),
        ("50%", 99, "50%25"),
        ("a\nb\x7f", 99, "a%0Ab%7F"),
        ("\u0085\u2028", 99, "%C2%85%E2%80%A8"),
        (b"\xff\xc3\xa9", 99, "%FFé"),
        ("\ud800x", 99, "%ED%A0%80x"),
        ('12345"', 7, '12345\\"'),
        ('12345"x', 7, "12345%"),  # The escape and the truncation mark do not both fit.
        ("ñandú", 5, "ñan%"),
        ("", 16, ""),
    ],
)
def test_values_are_escaped_and_truncated(raw: str | bytes, max_bytes: int, escaped: str) -> None:
    assert escape_value(raw, max_bytes) == escaped


@pytest.mark.parametrize("text", ["a%zzx", "%4x", "%%x"])
def test_a_percent_sign_without_two_hexadecimal_digits_is_an_error(text: str) -> None:
    with pytest.raises(ValueError, match="percent sign"):
        unescape_value(text)


def test_a_message_that_is_too_long_drops_whole_parameters_and_counts_them() -> None:
    params = [Param(f"p{number}", "v" * (9 * number + 3)) for number in range(4)]
    elements = [Element(f"e{number}@32473", params) for number in range(9)]
    complete = encode_message(HEADER, elements, max_bytes=10**6)
    for max_bytes in range(rfc5424.REQUIRED_MAX_BYTES, len(complete) + 2):
        data = encode_message(HEADER, elements, max_bytes=max_bytes)
        received = [param for element in parse(data).data.values() for param in element]
        missing = dict(received).get("cut")
        assert len(data) <= max_bytes
        assert len(received) == 36 if missing is None else len(received) - 1 + int(missing) == 36
    assert missing is None
    assert data == complete


@pytest.mark.parametrize(
    ("text", "bom", "expected"),
    [
        ("plain", True, (b"plain", False)),
        ("cañón", True, ("cañón".encode(), True)),
        ("cañón", False, ("cañón".encode(), False)),
        ("", True, (None, False)),
    ],
)
def test_a_message_has_its_text_with_or_without_a_byte_order_mark(
    text: str, bom: bool, expected: tuple[bytes | None, bool]
) -> None:
    message = parse(encode_message(Header(ORIGIN, Severity.ERROR, "-", "x"), [], text, bom))
    assert (message.text, message.is_utf8) == expected
    assert message.data == {}


def test_timestamps_have_microseconds_and_an_offset() -> None:
    lima = TimestampFormatter(lambda second: -18_000)
    kathmandu = TimestampFormatter(lambda second: 20_700)
    assert lima(1_796_156_220_000_001_999) == "2026-12-01T15:17:00.000001-05:00"
    assert lima(1_796_156_219_999_999_999) == "2026-12-01T15:16:59.999999-05:00"  # The clock was set back.
    assert kathmandu(0) == "1970-01-01T05:45:00.000000+05:45"
    assert TimestampFormatter(lambda second: 0)(951_782_400_000_000_000) == "2000-02-29T00:00:00.000000Z"
    assert lima(-1) == lima(10**21) == "-"
    for unix_ns in (0, 951_782_400_000_000_000, 1_796_156_220_000_001_999):
        assert parse(encode_message(Header(ORIGIN, Severity.INFO, lima(unix_ns), "x"), [])).timestamp


@pytest.mark.parametrize(
    ("part", "text"), [("facility", 24), ("host", ""), ("host", "a b"), ("app", "x" * 49), ("procid", "ñ")]
)
def test_the_error_for_an_invalid_origin_names_the_part(part: str, text: str | int) -> None:
    with pytest.raises(OriginError, match=part) as error:
        ORIGIN._replace(**{part: text}).check()  # type: ignore[arg-type]
    assert error.value.part == part


@pytest.mark.parametrize(("is_octet_counted", "frame"), [(True, frame_octet_counted), (False, frame_newline)])
def test_frames_received_byte_by_byte_are_decoded(
    is_octet_counted: bool, frame: Callable[[bytes], bytes]
) -> None:
    messages = [b"<134>1 - - - - - -", b"<134>1 - - - - - - 9 x"]
    frames = FrameDecoder(is_octet_counted)
    received = []
    for byte in b"".join(map(frame, messages)):
        received += frames.feed(bytes([byte]))
    assert received == messages
    assert frames.incomplete == b""


INVALID = {
    "<192>1 - - - - - -": "PRIVAL",
    "<034>1 - - - - - -": "leading zero",
    "<34>2 - - - - - -": "VERSION 1",
    "<34>1 2026-02-29T00:00:00Z - - - - -": "DATE-MDAY",
    "<34>1 2026-02-01T00:00:60Z - - - - -": "TIME-SECOND",
    "<34>1 2026-02-01T00:00:00 - - - - -": "TIME-OFFSET",
    "<34>1 2026-02-01T00:00:00.1234567Z - - - - -": "TIME-OFFSET",
    "<34>1 -  - - - -": "HOSTNAME",
    f"<34>1 - h {'a' * 49} - - -": "APP-NAME",
    "<34>1 - h a p m": "' '",
    '<34>1 - h a p m [x@1 a="]"]': "escaped",
    '<34>1 - h a p m [x@1 a="\\n"]': "an escape",
    '<34>1 - h a p m [x a="b"]': "enterprise",
    '<34>1 - h a p m [x@y a="b"]': "name@number",
    '<34>1 - h a p m [x@1 a="b"][x@1]': "once",
    '<34>1 - h a p m [x@1 a="b"': "']'",
    "<34>1 - h a p m ": "STRUCTURED",
}


@pytest.mark.parametrize(("message", "error"), INVALID.items())
def test_the_parser_rejects_invalid_messages(message: str, error: str) -> None:
    with pytest.raises(SyslogError, match=re.escape(error)):
        parse(message.encode())
