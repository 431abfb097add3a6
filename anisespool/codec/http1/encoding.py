"""Encoding of requests and responses."""

from __future__ import annotations

from http import HTTPStatus

from anisespool.codec.http1.message import Request

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


def encode_request(request: Request, host: bytes, headers: dict[bytes, bytes]) -> bytes:
    """Encode a request with `headers` in place of its own, as one buffer so that it can fit one packet."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in headers.items()]
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(status: int, body: bytes = b"", retry_after_s: float = 0.0, close: bool = False) -> bytes:
    """Encode a response; it has no Retry-After header if `retry_after_s` is 0."""
    head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, REASON_PHRASES[status], len(body))
    if retry_after_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + body
