"""Checks that random member names (tenants) are unchanged after escaping in a record and strict parsing.

The objective: 100,000 names, drawn by hypothesis, are decoded unchanged.
"""

from __future__ import annotations

import time

from anisespool.fakes.syslog import parse
from anisespool.records.rfc5424 import (
    Element,
    Header,
    Origin,
    Param,
    Severity,
    encode_message,
    escape_value,
    unescape_value,
)
from benchmarks.report import Report

NAMES = 100_000
NAMES_PER_EXAMPLE = 100
MAX_NAME_LENGTH = 200
"""Characters of a text, or bytes of a byte string."""
MAX_VALUE_BYTES = 4000
MAX_MESSAGE_BYTES = 5000
SPECIAL_CHARACTERS = '"\\]\n\r\0%\u2028\u0085\ud800ñ界'
ELEMENT = "req@32473"
HEADER = Header(Origin(16, "h", "a", "1"), Severity.INFO, "-", "path")


def _check_round_trip(name: str | bytes) -> None:
    """Encode a record with `name` and parse it again.

    Raises:
        AssertionError: The decoded name differs.
    """
    octets = name if isinstance(name, bytes) else name.encode("utf-8", "surrogatepass")
    element = Element(ELEMENT, [Param("member", escape_value(name, MAX_VALUE_BYTES))])
    data = encode_message(HEADER, [element], max_bytes=MAX_MESSAGE_BYTES)
    decoded, is_truncated = unescape_value(parse(data).params(ELEMENT)["member"])
    if decoded != octets or is_truncated:
        raise AssertionError(f"{name!r} was decoded as {decoded!r}")


def _check_drawn_names() -> int:
    """Check names drawn by hypothesis, and return their number."""
    from hypothesis import HealthCheck, Phase, given, settings
    from hypothesis import strategies as st

    characters = st.one_of(st.sampled_from(SPECIAL_CHARACTERS), st.characters())
    name = st.one_of(st.text(characters, max_size=MAX_NAME_LENGTH), st.binary(max_size=MAX_NAME_LENGTH))
    checked = 0

    @settings(
        max_examples=NAMES // NAMES_PER_EXAMPLE,
        deadline=None,
        database=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(name, min_size=NAMES_PER_EXAMPLE, max_size=NAMES_PER_EXAMPLE))
    def check(names: list[str | bytes]) -> None:
        nonlocal checked
        for drawn in names:
            _check_round_trip(drawn)
            checked += 1

    check()
    return checked


def measure_escaping(report: Report) -> None:
    """Report how many names were decoded unchanged."""
    start = time.monotonic()
    checked = _check_drawn_names()
    took_s = time.monotonic() - start
    text = f"{checked} records with names drawn by hypothesis decoded unchanged in {took_s:.0f} s"
    report.add_note(text)
    report.check_objective(checked >= NAMES, f"{checked} names checked, at least {NAMES} wanted")
