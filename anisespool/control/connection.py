"""One client's connection to the control socket: HTTP/1.1 requests, handled one at a time.

The connection is driven by readiness callbacks: no task waits for a client, and a handler runs between two
events of the loop. A client that stays idle, stalls within a request or does not read its responses is
disconnected. Requests of a client that has closed its socket before they are read are dropped.
"""

from __future__ import annotations

import asyncio
import json
import select
import socket
from collections.abc import Callable

from anisespool.codec import http1
from anisespool.control.errors import RequestFramingError
from anisespool.control.http_responses import HttpResponse, error_response

MAX_UNSENT_BYTES = 1024 * 1024  # A client that leaves more response data unread is disconnected.
MAX_READ_BYTES = 65536

Respond = Callable[[http1.Request], HttpResponse]


class ClientConnection:
    """An accepted connection, open until `abort` is called or the client closes it."""

    def __init__(
        self,
        sock: socket.socket,
        idle_timeout_s: float,
        respond: Respond,
        on_closed: Callable[[ClientConnection], None],
    ) -> None:
        """Start reading from `sock`.

        Args:
            sock: The accepted socket, non-blocking. This connection closes it.
            idle_timeout_s: Maximum time without a complete request.
            respond: Returns the response to a request.
            on_closed: Called by each `abort`, so possibly again after the connection is closed.
        """
        self._sock = sock
        self._idle_timeout_s = idle_timeout_s
        self._respond = respond
        self._on_closed = on_closed
        self._parser = http1.RequestParser()
        self._unsent = b""
        self._loop = asyncio.get_running_loop()
        self._poll = select.poll()
        self._poll.register(sock, select.POLLHUP)
        self._loop.add_reader(sock, self._read)
        self._idle_timer = self._loop.call_later(idle_timeout_s, self.abort)

    @property
    def _closed(self) -> bool:
        return self._sock.fileno() < 0

    @property
    def _client_has_closed(self) -> bool:
        """Whether the client has closed its socket and so reads no response; its requests may be unread."""
        return bool(self._poll.poll(0))

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self.abort()
            return
        for request in self._parser.feed(data):
            if self._closed:
                return  # The client did not read an earlier response of this batch and was disconnected.
            if self._client_has_closed:
                # Whoever has given up a change may have made another one meanwhile.
                self.abort()
                return
            self._send(self._respond(request), close=not request.keep_alive)
        if self._parser.error_status:
            error = RequestFramingError(self._parser.error_status, http1.MAX_BODY_BYTES)
            self._send(error_response(error), close=True)

    def _send(self, response: HttpResponse, close: bool) -> None:
        if self._closed:
            return
        self._unsent += http1.encode_response(
            response.status, json.dumps(response.body).encode(), close=close
        )
        # Only a complete request restarts the timer, so sending single bytes does not keep a connection open.
        self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(self._idle_timeout_s, self.abort)
        if len(self._unsent) > MAX_UNSENT_BYTES:
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
        """Shut down the sending side of the connection after its last response.

        Closing a socket with unread input resets the connection, and the client could lose the response. So
        input is read and discarded until the client closes its side or the idle timeout expires.
        """
        self._loop.remove_reader(self._sock)
        self._loop.add_reader(self._sock, self._discard_input)
        try:
            self._sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def _discard_input(self) -> None:
        try:
            if not self._sock.recv(MAX_READ_BYTES):
                self.abort()
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self.abort()

    def abort(self) -> None:
        """Close the connection at once and drop unsent data. May be called repeatedly."""
        self._idle_timer.cancel()
        if not self._closed:
            self._loop.remove_reader(self._sock)
            self._loop.remove_writer(self._sock)
            self._sock.close()
        self._parser.close()
        self._on_closed(self)
