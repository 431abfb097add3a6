"""HTTP/1.1 messages for the fakes, written from RFC 9112.

It shares no code with the sidecar's own parser, so that a misreading of the RFC there is not repeated here.
The readers are as strict as the RFC, slow and simple.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

MAX_HEAD_BYTES = 64 * 1024
MAX_BODY_BYTES = 32 * 1024 * 1024


class MalformedError(ValueError):
    """The peer violated RFC 9112; the text names the invalid part."""


class Request(NamedTuple):
    """A request that was read completely."""

    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    """Values by name in lower case; those of a repeated field are joined by commas (RFC 9110, 5.3)."""
    body: bytes
    keep_alive: bool


class Response(NamedTuple):
    """A response that was read completely."""

    status: int
    headers: dict[bytes, bytes]
    """Values by name, as in a `Request`."""
    body: bytes
    keep_alive: bool


def encode_response(status: int, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Return a response with a Content-Length. `headers` are further field lines, each with its CRLF."""
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s" % (status, len(body), headers, body)


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body (RFC 9112, 7.1)."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read the next request.

    Raises:
        EOFError: The connection ended before or within the request.
        MalformedError: The request is not valid.
    """
    start_line, headers = await _read_head(reader)
    parts = start_line.split(b" ")  # RFC 9112, 3: method SP target SP version
    if len(parts) != 3 or not parts[2].startswith(b"HTTP/1."):
        raise MalformedError(f"invalid request line {start_line!r}")
    method, target, version = parts
    body = await _read_body(reader, headers)
    return Request(method, target, headers, body, _is_persistent(version, headers))


async def read_response(reader: asyncio.StreamReader, head_only: bool = False) -> Response:
    """Read the next final response; interim ones (1xx) are skipped (RFC 9110, 15.2).

    Args:
        reader: Reader of the connection.
        head_only: The response is to a HEAD request: it has no body, whatever its fields are.

    Raises:
        EOFError: The connection ended before or within the response.
        MalformedError: The response is not valid.
    """
    while True:
        start_line, headers = await _read_head(reader)
        parts = start_line.split(b" ", 2)  # RFC 9112, 4: version SP status SP [reason]
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or len(parts[1]) != 3:
            raise MalformedError(f"invalid status line {start_line!r}")
        status = int(parts[1])
        if status < 200:
            continue
        keep_alive = _is_persistent(parts[0], headers)
        if head_only or status in (204, 304):
            return Response(status, headers, b"", keep_alive)
        if b"content-length" not in headers and b"transfer-encoding" not in headers:
            # RFC 9112, 6.3, rule 8: the body ends when the connection is closed.
            return Response(status, headers, await reader.read(MAX_BODY_BYTES), False)
        return Response(status, headers, await _read_body(reader, headers), keep_alive)


async def _read_head(reader: asyncio.StreamReader) -> tuple[bytes, dict[bytes, bytes]]:
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        raise EOFError from None
    if len(raw) > MAX_HEAD_BYTES:
        raise MalformedError("the head is too long")
    start_line, *lines = raw[:-4].split(b"\r\n")
    headers: dict[bytes, bytes] = {}
    for line in lines:
        name, colon, raw_value = line.partition(b":")
        if not colon or not name or name != name.strip():  # RFC 9112, 5.1: no space around the name
            raise MalformedError(f"invalid field line {line!r}")
        key = name.lower()
        value = raw_value.strip(b" \t")
        headers[key] = headers[key] + b", " + value if key in headers else value
    return start_line, headers


async def _read_body(reader: asyncio.StreamReader, headers: dict[bytes, bytes]) -> bytes:
    coding = headers.get(b"transfer-encoding")
    if coding is not None:
        if coding.lower() != b"chunked" or b"content-length" in headers:  # RFC 9112, 6.1 and 6.3
            raise MalformedError("Transfer-Encoding other than chunked, or beside Content-Length")
        return await _read_chunks(reader)
    length = headers.get(b"content-length", b"0")
    if not length.isdigit() or int(length) > MAX_BODY_BYTES:
        raise MalformedError(f"invalid Content-Length {length!r}")
    return await _read_exactly(reader, int(length))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = bytearray()
    while True:
        try:
            line = await reader.readuntil(b"\r\n")
        except asyncio.IncompleteReadError:
            raise EOFError from None
        size = int(line.split(b";")[0].strip(), 16)  # RFC 9112, 7.1
        if len(body) + size > MAX_BODY_BYTES:
            raise MalformedError("the body is too long")
        if size == 0:
            while await reader.readuntil(b"\r\n") != b"\r\n":  # skips trailers
                pass
            return bytes(body)
        body += (await _read_exactly(reader, size + 2))[:-2]


async def _read_exactly(reader: asyncio.StreamReader, size: int) -> bytes:
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        raise EOFError from None


def _is_persistent(version: bytes, headers: dict[bytes, bytes]) -> bool:
    """Return whether the connection stays open after the message (RFC 9112, 9.3)."""
    options = headers.get(b"connection", b"").lower()
    return b"close" not in options and (version == b"HTTP/1.1" or b"keep-alive" in options)
