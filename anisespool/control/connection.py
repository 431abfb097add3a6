"""One client's connection to the control socket: HTTP/1.1, one request after another.

Driven by readiness callbacks: no task waits on a client, and a handler runs between two events of the loop.
A client that is silent, sends half a request or does not read its answers is disconnected.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable

from anisespool.codec import http1
from anisespool.control.answers import Answer, error_answer
from anisespool.control.errors import RequestFramingError

MAX_UNREAD_BYTES = 1024 * 1024  # of answers that a client does not read
READ_BYTES = 65536

Respond = Callable[[http1.Request], Answer]


class ClientConnection:
    """One accepted connection, until it is aborted or the client closes it."""

    def __init__(
        self,
        sock: socket.socket,
        idle_timeout_s: float,
        respond: Respond,
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        """Start reading from `sock`, which must be non-blocking.

        Args:
            sock: The accepted socket; owned by this connection from here on.
            idle_timeout_s: The longest time without a complete request.
            respond: Returns the answer to a request.
            on_closed: Called when the connection has ended.
        """
        self._sock = sock
        self._idle_timeout_s = idle_timeout_s
        self._respond = respond
        self._on_closed = on_closed
        self._parser = http1.RequestParser()
        self._unsent = b""
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(sock, self._read)
        self._idle_timer = self._loop.call_later(idle_timeout_s, self.abort)

    @property
    def _closed(self) -> bool:
        return self._sock.fileno() < 0

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.abort()
            return
        for request in self._parser.feed(data):
            if self._closed:
                return  # disconnected by an earlier answer of this batch, which it did not read
            self._send(self._respond(request), close=not request.keep_alive)
        if self._parser.error_status:
            error = RequestFramingError(self._parser.error_status, http1.MAX_BODY_BYTES)
            self._send(error_answer(error), close=True)

    def _send(self, answer: Answer, close: bool) -> None:
        if self._closed:
            return
        self._unsent += http1.encode_response(answer.status, json.dumps(answer.body).encode(), close=close)
        # Only a complete request restarts the timer: a byte now and then does not keep a connection open.
        self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(self._idle_timeout_s, self.abort)
        if len(self._unsent) > MAX_UNREAD_BYTES:
            self.abort()
        else:
            self._write(close)

    def _write(self, close: bool) -> None:
        try:
            sent = self._sock.send(self._unsent) if self._unsent else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            self.abort()
            return
        self._unsent = self._unsent[sent:]
        if self._unsent:
            self._loop.add_writer(self._sock, self._write, close)
            return
        self._loop.remove_writer(self._sock)
        if close:
            self._shut_down_output()

    def _shut_down_output(self) -> None:
        """End the connection after its last answer.

        Closing it with input unread would reset it, and the client might never read the answer: input is
        discarded until the client closes its side or the timer ends it.
        """
        self._loop.remove_reader(self._sock)
        self._loop.add_reader(self._sock, self._discard_input)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _discard_input(self) -> None:
        try:
            if not self._sock.recv(READ_BYTES):
                self.abort()
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once; what is unsent is dropped. May be called again."""
        self._idle_timer.cancel()
        if not self._closed:
            self._loop.remove_reader(self._sock)
            self._loop.remove_writer(self._sock)
            self._sock.close()
        self._parser.close()
        self._on_closed(self)
