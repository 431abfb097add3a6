"""HTTP/1.1 parsing and framing, the same for clients, endpoints and discovery. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import httptools

MAX_BODY = 64 * 1024  # what the protocol allows a body
MAX_HEAD = 16 * 1024
MAX_ANSWER = 16 * MAX_BODY  # generous to endpoints, yet a bound: memory is


class Request(NamedTuple):
    method: bytes
    target: bytes  # path and query, as they came
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes
    keep_alive: bool


class Response(NamedTuple):
    status: int
    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # the connection can carry another request


class _Head:
    """What both directions collect. Danger: headers without end would fill the memory."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.body: list[bytes] = []
        self.head_size = self.body_size = 0

    def add_header(self, name: bytes, value: bytes) -> None:
        self.head_size += len(name) + len(value)
        if self.head_size <= MAX_HEAD:
            self.headers.setdefault(name.lower(), value)

    def add_body(self, data: bytes, limit: int) -> None:
        self.body_size += len(data)
        if self.body_size <= limit:
            self.body.append(data)


class RequestParser:
    """Bytes in, whole requests out. After `error` (the status to answer) the stream is of no more use."""

    def __init__(self) -> None:
        self.error = 0
        self.wants_continue = False
        self._done: list[Request] = []
        self._parser = httptools.HttpRequestParser(self)
        self.on_message_begin()

    @property
    def partial(self) -> bool:
        """Part of a request has come."""
        return self._begun

    def feed(self, data: bytes) -> list[Request]:
        """The requests that these bytes complete; those before a fault in the bytes still count."""
        if not self.error:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserError:  # an upgrade included: there is none to be had
                self.error = self.error or HTTPStatus.BAD_REQUEST
        done, self._done = self._done, []
        return done

    def on_message_begin(self) -> None:
        self._target, self._head, self._begun = b"", _Head(), False

    def on_url(self, url: bytes) -> None:
        self._begun = True
        self._head.head_size += len(url)
        if self._head.head_size <= MAX_HEAD:
            self._target += url
        else:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head.add_header(name, value or b"")
        if self._head.head_size > MAX_HEAD:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_headers_complete(self) -> None:
        length = self._head.headers.get(b"content-length", b"0")
        if length.isdigit() and int(length[:20]) > MAX_BODY:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        elif self._head.headers.get(b"expect", b"").lower() == b"100-continue":
            self.wants_continue = True

    def on_body(self, data: bytes) -> None:
        self._head.add_body(data, MAX_BODY)
        if self._head.body_size > MAX_BODY:
            self.error = HTTPStatus.REQUEST_ENTITY_TOO_LARGE

    def on_message_complete(self) -> None:
        self._begun = self.wants_continue = False
        if not self.error:
            head, parser = self._head, self._parser
            body, keep = b"".join(head.body), parser.should_keep_alive()
            self._done.append(Request(parser.get_method(), self._target, head.headers, body, keep))


class ResponseParser:
    """Bytes in, one response out; a body may be handed on as it comes (discovery's watch)."""

    def __init__(self, on_body: Callable[[bytes], None] | None = None) -> None:
        self.response: Response | None = None
        self.status = 0  # once the head is whole
        self.broken = False
        self._sink = on_body
        self._parser = httptools.HttpResponseParser(self)
        self._head = _Head()

    def feed(self, data: bytes) -> Response | None:
        """The response, once it is whole."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.broken = self.broken or self.response is None
        return None if self.broken else self.response

    def end(self) -> Response | None:
        """The connection has ended in order: with no framing, that is what ends the body."""
        framed = b"content-length" in self._head.headers or b"transfer-encoding" in self._head.headers
        if self.response is None and self.status and not framed and not self.broken:
            self.response = Response(self.status, self._head.headers, b"".join(self._head.body), False)
        return self.response

    def on_message_begin(self) -> None:
        if self.response is not None:  # bytes past its end: nobody asked for them
            self.response = self.response._replace(keep_alive=False)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._head.add_header(name, value or b"")
        self.broken = self.broken or self._head.head_size > MAX_HEAD

    def on_headers_complete(self) -> None:
        if self.response is None:
            self.status = self._parser.get_status_code()

    def on_body(self, data: bytes) -> None:
        if self._sink:
            self._sink(data)
        elif self.response is None:
            self._head.add_body(data, MAX_ANSWER)
            self.broken = self.broken or self._head.body_size > MAX_ANSWER

    def on_message_complete(self) -> None:
        if self.status < HTTPStatus.OK:  # 100 Continue and its like announce, they do not answer
            self.status, self._head = 0, _Head()
        elif self.response is None:
            body, keep = b"".join(self._head.body), self._parser.should_keep_alive()
            self.response = Response(self.status, self._head.headers, body, keep)


def encode_request(request: Request, host: bytes, headers: dict[bytes, bytes]) -> bytes:
    """A request in one piece, so that it leaves in one packet where it fits."""
    lines = [request.method + b" " + request.target + b" HTTP/1.1", b"Host: " + host]
    lines += [name + b": " + value for name, value in headers.items()]
    if request.body or request.method != b"GET":
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + request.body


def encode_response(status: int, body: bytes = b"", retry_after_s: float = 0.0, close: bool = False) -> bytes:
    phrase = HTTPStatus(status).phrase.encode()
    head = b"HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, phrase, len(body))
    if retry_after_s > 0:
        head += b"Retry-After: %.3f\r\n" % retry_after_s
    if close:
        head += b"Connection: close\r\n"
    return head + b"\r\n" + body


def parse_load(value: bytes | None, columns: tuple[str, ...]) -> tuple[float, ...]:
    """`TEXT inflight=7, queue=2` in the order of the columns; nothing if any of it is not as it should be."""
    kind, _, rest = (value or b"").strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    figures: dict[str, float] = {}
    for pair in rest.decode("latin-1").split(","):
        name, _, number = pair.partition("=")
        try:
            figures[name.strip()] = float(number)
        except ValueError:
            return ()
    return tuple(figures[c] for c in columns) if all(c in figures for c in columns) else ()
