"""The fakes' HTTP/1.1 reader accepts what RFC 9112 allows, and reports the rest as malformed."""

from __future__ import annotations

import asyncio

import pytest

from anisespool.fakes import http1


def reader_of(data: bytes) -> asyncio.StreamReader:
    """Return a reader of a connection that the peer closes after `data`."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    return reader


async def test_requests_on_one_connection_are_read_one_after_the_other() -> None:
    reader = reader_of(
        b"POST /a HTTP/1.1\r\nX-A: 1\r\nx-a:  2 \r\nContent-Length: 2\r\n\r\nokGET /b HTTP/1.0\r\n\r\n"
    )
    assert await http1.read_request(reader) == http1.Request(
        b"POST", b"/a", {b"x-a": b"1, 2", b"content-length": b"2"}, b"ok", True
    )
    assert await http1.read_request(reader) == http1.Request(b"GET", b"/b", {}, b"", False)
    with pytest.raises(EOFError):
        await http1.read_request(reader)


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", (200, b"ok", True)),
        (b"HTTP/1.1 200\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n", (200, b"", False)),
        (b"HTTP/1.1 103 Hints\r\n\r\nHTTP/1.1 204 No\r\n\r\n", (204, b"", True)),
        (b"HTTP/1.1 200 OK\r\n\r\nuntil closed", (200, b"until closed", False)),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n",
            (200, b"ok", True),
        ),
        (http1.encode_response(503, b"no", b"X-A: b\r\n"), (503, b"no", True)),
    ],
)
async def test_responses_are_read_with_their_framing(data: bytes, expected: tuple[int, bytes, bool]) -> None:
    response = await http1.read_response(reader_of(data))
    assert (response.status, response.body, response.keep_alive) == expected


@pytest.mark.parametrize(
    "data",
    [
        b"GET /\r\n\r\n",
        b"GET  / HTTP/1.1\r\n\r\n",
        b"GET / HTTP/2\r\n\r\n",
        b"GET / HTTP/1.1\r\nX : a\r\n\r\n",
        b"GET / HTTP/1.1\r\nnothing\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n",
    ],
)
async def test_malformed_requests_are_reported(data: bytes) -> None:
    with pytest.raises(http1.MalformedError):
        await http1.read_request(reader_of(data))


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"GET / HTTP/1.1\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\no",
        b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    ],
)
async def test_a_connection_that_ends_before_or_within_a_message_raises_eof_error(data: bytes) -> None:
    with pytest.raises(EOFError):
        await http1.read_request(reader_of(data))


def test_a_chunk_begins_with_its_size_in_hexadecimal_digits() -> None:
    assert http1.encode_chunk(b"x" * 26) == b"1a\r\n" + b"x" * 26 + b"\r\n"
