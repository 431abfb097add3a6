"""The application's side: connections in, requests to the driver, one final answer each."""

from __future__ import annotations

import asyncio
import hashlib
import socket
import sys
import time
from collections import deque
from contextlib import suppress
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

from anisespool import http1
from anisespool.config import Address, Names
from anisespool.sidecar import Answer, Call, Sidecar
from shuntlead import Settings

BACKLOG = 512
MOST_PIPELINED = 8  # requests read ahead on one connection
HALF_WRITTEN_S = 1.0  # after the listener has closed
ACCEPT_PAUSE_S = 0.05  # with no descriptor left
READ_NS = 1_000_000  # a request that waited no longer has not waited
LINGER_S = 1.0  # to let a client read why it was cut off
LONGEST_WAIT_MS = 3_600_000


class BadCall(ValueError):
    """A well-formed request that asks for nothing we have; carries the status to answer."""

    def __init__(self, status: HTTPStatus, text: str) -> None:
        super().__init__(text)
        self.status = status


def read_call(request: http1.Request, names: Names, settings: Settings) -> Call:
    """A request in the module's terms, or BadCall."""
    if request.method not in (b"GET", b"POST"):
        raise BadCall(HTTPStatus.METHOD_NOT_ALLOWED, "GET and POST are served")
    parts = [part for part in request.target.partition(b"?")[0].split(b"/") if part]
    cls = names.classes.get(unquote_to_bytes(parts[0]).decode("latin-1")) if parts else None
    if cls is None:
        raise BadCall(HTTPStatus.NOT_FOUND, "no such class of requests")
    headers = request.headers
    if not headers.get(b"x-trace-id"):
        raise BadCall(HTTPStatus.BAD_REQUEST, "X-Trace-Id is missing")
    left_ns = settings.classes[cls].deadline_ns
    if (left_ms := _number(headers, b"x-expires-in-ms")) is not None:
        left_ns = min(left_ms, LONGEST_WAIT_MS) * 1_000_000
    hint_us = _number(headers, b"x-size-hint")
    return Call(
        request=request,
        cls=cls,
        tenant=names.tenants.get(headers.get(b"x-customer", b"").decode("latin-1"), len(names.tenants)),
        left_ns=left_ns,
        hint_ns=None if hint_us is None else hint_us * 1000,
        key=_key(parts[-1]) if len(parts) > 1 else 0,
        is_retry=headers.get(b"x-second-try") == b"1",
    )


def _number(headers: dict[bytes, bytes], name: bytes) -> int | None:
    value = headers.get(name)
    if value is None:
        return None
    if not value.isdigit() or len(value) > 18:
        raise BadCall(HTTPStatus.BAD_REQUEST, f"{name.decode()} is no whole number")
    return int(value)


def _key(part: bytes) -> int:
    """The same number at every sidecar; never 0, which means none."""
    return int.from_bytes(hashlib.blake2b(part, digest_size=8).digest(), "big") or 1


class ClientConnection(asyncio.Protocol):
    """One connection of the application. It is read all the time: its end is how a client goes away."""

    def __init__(self, server: Server) -> None:
        self._server = server
        self._parser = http1.RequestParser()
        self._queue: deque[tuple[http1.Request, int]] = deque()  # with when it came
        self._transport: asyncio.Transport | None = None
        self._busy = self._closing = False
        self._keep_alive = True
        self._current = 0  # the driver's id of the request being worked on

    @property
    def idle(self) -> bool:
        """Between requests, and nothing on its way out."""
        return not (self._closing or self._busy or self._queue or self._parser.partial)

    @property
    def owed(self) -> bool:
        """Its end must wait: a request is being answered, or an answer is still on its way out."""
        return self._closing or self._busy or bool(self._queue)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        if self._closing:
            return
        now = time.monotonic_ns()
        self._queue.extend((request, now) for request in self._parser.feed(data))
        if self._parser.wants_continue and self._transport and not self._busy:
            self._parser.wants_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self._queue) > MOST_PIPELINED and self._transport:
            self._transport.pause_reading()
        self._next()

    def connection_lost(self, exc: Exception | None) -> None:
        self._closing = True
        self._server.connections.discard(self)
        self._queue.clear()
        if self._busy and self._current:
            self._server.sidecar.client_gone(self._current)

    def _next(self) -> None:
        """Work on what has been read, in order. A loop: an answer may come at once."""
        while not self._busy and not self._closing:
            if not self._queue:
                if self._parser.error:
                    self._reject(HTTPStatus(self._parser.error))
                return
            request, came_ns = self._queue.popleft()
            if self._transport and len(self._queue) <= MOST_PIPELINED:
                self._transport.resume_reading()
            self._busy, self._current, self._keep_alive = True, 0, request.keep_alive
            self._work_on(request, came_ns)

    def _work_on(self, request: http1.Request, came_ns: int) -> None:
        if request.target.partition(b"?")[0] == b"/healthz":
            self._answer(Answer(200 if self._server.sidecar.ready else 503))
            return
        if self._server.crowded:
            self._keep_alive = False
            self._answer(Answer(503, b"too many connections\n"))
            return
        try:
            call = read_call(request, self._server.names, self._server.settings)
        except BadCall as error:
            self._answer(Answer(error.status, f"{error}\n".encode()))
            return
        waited_ns = time.monotonic_ns() - came_ns  # behind others that the client sent ahead of it
        call = call._replace(left_ns=max(0, call.left_ns - waited_ns)) if waited_ns > READ_NS else call
        current = self._server.sidecar.take(call, self._answer_and_go_on)
        if self._busy:
            self._current = current

    def _answer_and_go_on(self, answer: Answer) -> None:
        self._answer(answer)
        if self._current:  # else _next is still at work, further down the stack
            self._current = 0
            self._next()

    def _answer(self, answer: Answer) -> None:
        self._busy = False
        if self._closing or not self._transport:
            return
        close = not self._keep_alive or self._server.stopping
        self._transport.write(http1.encode_response(*answer, close))
        if close:
            self._closing = True
            self._transport.close()

    def _reject(self, status: HTTPStatus) -> None:
        """Danger: closing with input unread resets the connection, and the client never reads the answer.
        So end our side, and wait for the client's end a little."""
        self._closing = True
        if self._transport:
            self._transport.write(http1.encode_response(status, close=True))
            self._transport.write_eof()
            asyncio.get_running_loop().call_later(LINGER_S, self._transport.abort)

    def close_if_idle(self) -> None:
        if self.idle and self._transport:
            self._closing = True
            self._transport.close()


class Server:
    """The listener. It accepts by itself, so that nothing queued is reset when it closes."""

    def __init__(self, sidecar: Sidecar, names: Names, settings: Settings, most: int) -> None:
        self.sidecar, self.names, self.settings = sidecar, names, settings
        self.connections: set[ClientConnection] = set()
        self.stopping = False
        self._most = most
        self._listener: socket.socket | None = None
        self._accepting: set[asyncio.Task[None]] = set()

    @property
    def crowded(self) -> bool:
        """Too near the limit on descriptors: the newest are sent away, for without any nothing works."""
        return len(self.connections) > self._most

    def listen(self, address: Address) -> Address:
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)
        listener.listen(BACKLOG)
        self._listener = listener
        self._watch_listener()
        return Address(*listener.getsockname())

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self._listener:
            try:
                connected, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionError):
                return
            except OSError as error:
                # Danger: with no descriptor left the listener stays readable, and the loop would spin.
                print(f"server: {error}", file=sys.stderr)
                loop.remove_reader(self._listener)
                loop.call_later(ACCEPT_PAUSE_S, self._watch_listener)
                return
            connected.setblocking(False)
            task = loop.create_task(self._serve(connected))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)

    def _watch_listener(self) -> None:
        if self._listener:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    async def _serve(self, connected: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):  # it may be reset by now
            await loop.connect_accepted_socket(lambda: ClientConnection(self), connected)

    async def stop(self, accept_s: float) -> None:
        """A planned restart: go on accepting for a while, then answer what was taken, and end."""
        self.stopping = True
        # Clients use a connection for as long as it is open: closed now, they still find the listener.
        self._close_idle()
        await asyncio.sleep(accept_s)
        loop = asyncio.get_running_loop()
        if self._listener:
            loop.remove_reader(self._listener)
            self._accept()  # Danger: closing resets what still waits in the listener's queue
            self._listener.close()
            self._listener = None
        if self._accepting:
            await asyncio.wait(self._accepting)
        # A request may be on its way in on any of those; a half-written one gets no longer than this.
        half_written = loop.time() + HALF_WRITTEN_S
        await asyncio.sleep(0.02)
        while any(c.owed or not c.idle and loop.time() < half_written for c in self.connections):
            await asyncio.sleep(0.01)
        self._close_idle()
        await asyncio.sleep(0)

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle()
