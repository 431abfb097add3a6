"""TCP listeners through which sidecars reach endpoints, and which fail in the ways in which networks fail.

A listener is used by one sidecar, or by all sidecars of a zone where a fleet would need thousands of
listeners otherwise. With a `SILENT` listener new connections are never established: the kernel drops a SYN
to a listener whose backlog is full, and the sender's kernel repeats it (listen(2), tcp(7)). Connections that
are open stay open, without traffic.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from anisespool.balancer.interface import AttemptStatus
from anisespool.fakes.platform import free_port
from anisespool.lab.live.http_head import header_value
from anisespool.lab.model.endpoint import Endpoint, Job

HOST = "127.0.0.1"
BACKLOG = 1024
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
MAX_HEAD_BYTES = 64 * 1024  # connections with a longer request head are aborted
MAX_BIND_ATTEMPTS = 50
STATUS_LINES = {
    AttemptStatus.OK: b"200 OK",
    AttemptStatus.ERROR: b"500 Error",
    AttemptStatus.FULL: b"503 Full",
}


class ListenerState(StrEnum):
    """What happens to new connections. SILENT and REFUSED are also the `cut` of a scenario's link."""

    CLOSED = "closed"  # not opened yet
    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"


@dataclass(slots=True)
class InFlightAttempt(Job):
    """An attempt at an endpoint, and the connection of its response."""

    connection: SidecarConnection | None = None
    trace: bytes = b""
    delivered_at: int = 0  # when the network delivers it
    is_delayed: bool = False  # the network delays it: it arrives even if its sidecar gives up meanwhile


class RequestHandler(Protocol):
    """Runs the endpoints behind the listeners."""

    def request_received(
        self, proxy: ConnectionProxy, connection: SidecarConnection, path: bytes, trace: bytes, is_first: bool
    ) -> InFlightAttempt | None:
        """Handle a complete request; return none if the network resets its connection.

        Args:
            proxy: the listener of its endpoint.
            connection: the connection on which it was received.
            path: the request target.
            trace: the trace id, which the body of the response repeats.
            is_first: whether it is the first request on its connection.
        """

    def connection_closed(self, attempt: InFlightAttempt) -> None:
        """Handle the end of a connection whose attempt is in flight."""


class SidecarConnection(asyncio.Protocol):
    """A sidecar's connection to an endpoint: one request at a time."""

    def __init__(self, proxy: ConnectionProxy) -> None:
        self._proxy = proxy
        self._received = b""
        self._is_first_request = True
        self._dropped = False  # whether the endpoint ended it
        self._attempt: InFlightAttempt | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Abort the connection if the endpoint has too many."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._proxy.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection, unless the endpoint itself ended it."""
        self._proxy.connections.discard(self)
        if self._dropped:
            return
        attempt = self._attempt
        if attempt and not attempt.ended and not attempt.endpoint_done:
            attempt.ended = True
            self._proxy.handler.connection_closed(attempt)
        else:
            self._proxy.endpoint.connections -= 1

    def data_received(self, data: bytes) -> None:
        """Pass on a request once it is complete."""
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end or len(body) < int(header_value(head, b"content-length") or b"0"):
            if len(self._received) > MAX_HEAD_BYTES:
                self._transport.abort()
            return
        self._received = b""
        path = head.split(b" ", 2)[1]
        trace = header_value(head, b"x-trace-id")
        is_first = self._is_first_request
        self._attempt = self._proxy.handler.request_received(self._proxy, self, path, trace, is_first)
        self._is_first_request = False

    def respond(self, attempt: InFlightAttempt, status: AttemptStatus, load_header: bytes) -> None:
        """Send the response of an attempt that is not over. `load_header` is a header line, or empty."""
        if attempt.ended or attempt is not self._attempt:
            return
        attempt.ended = True
        self._attempt = None
        not_executed = b"X-Never-Ran: 1\r\n" if status is AttemptStatus.FULL else b""
        body = attempt.trace if status is AttemptStatus.OK else b""
        headers = b"%s%sContent-Length: %d\r\n\r\n" % (load_header, not_executed, len(body))
        self._transport.write(b"HTTP/1.1 %s\r\n%s%s" % (STATUS_LINES[status], headers, body))

    def reset(self) -> None:
        """Reset the connection as a network does: both the sidecar and the endpoint notice."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self._transport.abort()

    def drop(self) -> None:
        """Reset the connection as a crash of the endpoint's process does."""
        self._dropped = True
        if self._attempt:
            self._attempt.ended = True
        self._transport.abort()


class ConnectionProxy:
    """The listener through which one group of sidecars reaches one endpoint. It always keeps its port."""

    def __init__(self, handler: RequestHandler, endpoint: Endpoint, group: int) -> None:
        self.handler = handler
        self.endpoint = endpoint
        self.group = group
        self.connections: set[SidecarConnection] = set()
        self.state = ListenerState.CLOSED
        self._socket, self.port = _bind_port()
        self._fillers: list[socket.socket] = []  # own connections that fill the backlog
        self._tasks: set[asyncio.Task[object]] = set()

    def open(self) -> None:
        """Accept connections."""
        if self.state is ListenerState.OPEN:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        if self.state is ListenerState.SILENT:
            self._reset_queued()
        self._socket.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self._socket, self._accept)
        self.state = ListenerState.OPEN

    def shut(self, state: ListenerState) -> None:
        """Refuse new connections or leave them hanging; open connections stay as they are."""
        if self.state is state:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        if state is ListenerState.REFUSED:
            # shutdown(2) ends only the listening: the socket stays bound, so no other process takes its port.
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RD)
        else:
            self._socket.listen(0)
            self._fill_backlog()
        self.state = state

    def _fill_backlog(self) -> None:
        """Fill the backlog with an own connection: a backlog of 0 still accepts one."""
        filler = socket.socket()
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect((HOST, self.port))
        self._fillers.append(filler)

    def _reset_queued(self) -> None:
        """Reset connections that the kernel accepted while the listener was shut.

        Data that was written to them during the cut would otherwise look as if it had just been sent.
        """
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
            sock.close()

    def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while self.state is ListenerState.OPEN:
            try:
                sock, _ = self._socket.accept()
            except OSError:  # BlockingIOError: no connection is waiting
                return
            task = loop.create_task(loop.connect_accepted_socket(lambda: SidecarConnection(self), sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def admit(self, connection: SidecarConnection) -> bool:
        """Count a new connection, and return whether the endpoint can hold it."""
        self.endpoint.connections += 1
        self.connections.add(connection)
        return self.endpoint.connections <= self.endpoint.spec.connections

    def drop_connections(self) -> None:
        """Reset all connections as a crash of the endpoint's process does."""
        for connection in list(self.connections):
            connection.drop()

    def reset_connections(self) -> None:
        """Reset all connections as a network does."""
        for connection in list(self.connections):
            connection.reset()

    def close(self) -> None:
        """Close the listener for good."""
        with suppress(ValueError, OSError):
            asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()
        for filler in self._fillers:
            filler.close()


def _bind_port() -> tuple[socket.socket, int]:
    """Return a socket that is explicitly bound: otherwise it would lose its port when it stops listening."""
    for _ in range(MAX_BIND_ATTEMPTS):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        port = free_port()
        try:
            sock.bind((HOST, port))
        except OSError:  # another process has taken it meanwhile
            sock.close()
            continue
        return sock, port
    raise OSError("no free port on loopback: too many are in use")
