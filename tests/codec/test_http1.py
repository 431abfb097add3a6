"""HTTP/1.1 framing does not depend on how the input is split, and no input raises an exception."""

from __future__ import annotations

import tracemalloc
from itertools import pairwise

import pytest
from hypothesis import given, settings, strategies

from anisespool.codec.http1 import RequestParser, ResponseParser, encode_response
from anisespool.codec.load_report import parse_load_report

TWO_REQUESTS = (
    b"POST /once/1?x=%20 HTTP/1.1\r\nX-Trace-Id: a\r\nContent-Length: 3\r\n\r\nabc"
    b"POST /once/2 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\n\r\n"
)
deterministic = settings(derandomize=True, max_examples=100, deadline=None)


def split(data: bytes, positions: list[int]) -> list[bytes]:
    """Split the data at these positions, taken modulo its length."""
    bounds = [0, *sorted(position % len(data) for position in positions), len(data)]
    return [data[start:end] for start, end in pairwise(bounds)]


@deterministic
@given(strategies.lists(strategies.integers(0, 10_000), max_size=8))
def test_requests_do_not_depend_on_how_the_input_is_split(positions: list[int]) -> None:
    parser = RequestParser()
    requests = [request for part in split(TWO_REQUESTS, positions) for request in parser.feed(part)]
    expected = [(b"/once/1?x=%20", b"abc"), (b"/once/2", b"def")]
    assert [(request.target, request.body) for request in requests] == expected
    assert not parser.error_status
    assert not parser.partial


@deterministic
@given(strategies.lists(strategies.integers(0, 10_000), max_size=8))
def test_a_response_does_not_depend_on_how_the_input_is_split(positions: list[int]) -> None:
    parser = ResponseParser(header_names=frozenset((b"retry-after",)))
    data = encode_response(503, b"body", 0.25)
    *incomplete, response = [parser.feed(part) for part in split(data, positions) if part]
    assert not any(incomplete)
    assert response
    assert (response.status, response.body, response.headers[b"retry-after"]) == (503, b"body", b"0.250")


@deterministic
@given(strategies.lists(strategies.binary(max_size=200), max_size=5))
def test_no_input_raises_an_exception(parts: list[bytes]) -> None:
    request_parser = RequestParser()
    response_parser = ResponseParser()
    for part in parts:
        request_parser.feed(part)
        response_parser.feed(part)
    response_parser.feed_eof()


@pytest.mark.parametrize("value", [b"480", b" 480", b"480 ", b"\t 480 \t"])
def test_whitespace_around_a_header_value_is_no_part_of_it(value: bytes) -> None:
    """A space at the end of a number was answered 400 (RFC 9110, 5.5)."""
    (request,) = RequestParser().feed(b"GET /look/1 HTTP/1.1\r\nX-Expires-In-Ms:" + value + b"\r\n\r\n")
    assert request.headers[b"x-expires-in-ms"] == b"480"


@pytest.mark.parametrize(
    ("value", "load"),
    [
        (b"TEXT inflight=7, queue=2, util=0.61", (2.0, 7.0)),
        (b"text queue=2,inflight=7", (2.0, 7.0)),
        (b"TEXT queue=2", ()),
        (b"JSON {}", ()),
        (b"TEXT queue=a, inflight=7", ()),
        (b"", ()),
        (None, ()),
    ],
)
def test_load_reports_are_parsed_in_column_order_or_rejected(
    value: bytes | None, load: tuple[float, ...]
) -> None:
    assert parse_load_report(value, ("queue", "inflight")) == load


def test_only_headers_that_are_read_and_no_pieces_of_a_body_are_stored() -> None:
    """Report 9c876c: an object for each short field and each tiny chunk took up to 28 times their bytes."""
    fields = b"".join(b"%x: v\r\n" % number for number in range(1000))
    chunks = b"2\r\nab\r\n" * 10_000
    parser = RequestParser(header_names=frozenset((b"x-a",)))
    start = b"POST /once/1 HTTP/1.1\r\nX-A: 1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n"
    tracemalloc.start()
    try:
        parser.feed(start + fields + b"\r\n" + chunks)
        stored_bytes = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert parser.stored_bytes < stored_bytes < 2 * parser.stored_bytes
    (request,) = parser.feed(b"0\r\n\r\n")
    assert set(request.headers) == {b"x-a", b"connection", b"transfer-encoding"}
    assert request.body == b"ab" * 10_000
