"""Where sidecars find endpoints: TCP listeners that can be shut in the ways in which networks fail.

A listener is used by one sidecar, or (in fleets of which each pair would need thousands of listeners) by all
sidecars of a zone. Shut `SILENT`, new connections never come up: the kernel drops a SYN whose listener's
backlog is full, and sends it again itself (listen(2), tcp(7)). Open connections stay open and hear nothing.
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
CLOSE_WITH_RESET = struct.pack("ii", 1, 0)  # a value of SO_LINGER
MAX_HEAD_BYTES = 64 * 1024  # of a request; a sidecar that sends more is cut off
MAX_BIND_ATTEMPTS = 50
STATUS_LINES = {
    AttemptStatus.OK: b"200 OK",
    AttemptStatus.ERROR: b"500 Error",
    AttemptStatus.FULL: b"503 Full",
}


class ListenerState(StrEnum):
    """What a new connection meets. SILENT and REFUSED are also what a scenario calls a cut link."""

    CLOSED = "closed"  # not opened yet
    OPEN = "open"
    SILENT = "silent"
    REFUSED = "refused"


@dataclass(slots=True)
class InFlightAttempt(Job):
    """An attempt at an endpoint, and the connection its answer goes to."""

    connection: SidecarConnection | None = None
    trace: bytes = b""
    delivered_at: int = 0  # when the network has delivered it
    is_delayed: bool = False  # by the network: it arrives even if its sidecar gave up meanwhile


class RequestHandler(Protocol):
    """Whoever runs the endpoints behind the listeners."""

    def request_received(
        self, proxy: ConnectionProxy, connection: SidecarConnection, path: bytes, trace: bytes, is_first: bool
    ) -> InFlightAttempt | None:
        """Take a complete request; return none if the network resets its connection.

        Args:
            proxy: the listener of its endpoint.
            connection: where it came from.
            path: its target.
            trace: the trace id, to be sent back in the body.
            is_first: whether it is the first on its connection.
        """

    def connection_closed(self, attempt: InFlightAttempt) -> None:
        """Take the end of a connection whose attempt is in flight."""


class SidecarConnection(asyncio.Protocol):
    """A sidecar's connection to an endpoint: one request at a time."""

    def __init__(self, proxy: ConnectionProxy) -> None:
        self._proxy = proxy
        self._received = b""
        self._is_first_request = True
        self._dropped = False  # by the endpoint
        self._attempt: InFlightAttempt | None = None
        self._transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection at once if the endpoint has too many."""
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
        if attempt and not attempt.ended and not attempt.stopped:
            attempt.ended = True
            self._proxy.handler.connection_closed(attempt)
        else:
            self._proxy.endpoint.connections -= 1

    def data_received(self, data: bytes) -> None:
        """Hand a request on once it is complete."""
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
        """Send the answer of an attempt, unless that is over. `load_header`: a header line, or empty."""
        if attempt.ended or attempt is not self._attempt:
            return
        attempt.ended = True
        self._attempt = None
        not_executed = b"X-Never-Ran: 1\r\n" if status is AttemptStatus.FULL else b""
        body = attempt.trace if status is AttemptStatus.OK else b""
        headers = b"%s%sContent-Length: %d\r\n\r\n" % (load_header, not_executed, len(body))
        self._transport.write(b"HTTP/1.1 %s\r\n%s%s" % (STATUS_LINES[status], headers, body))

    def reset(self) -> None:
        """Reset the connection as a network does: the sidecar sees its end, and so does the endpoint."""
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            with suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, CLOSE_WITH_RESET)
        self._transport.abort()

    def drop(self) -> None:
        """Reset the connection as when the endpoint's process dies."""
        self._dropped = True
        if self._attempt:
            self._attempt.ended = True
        self._transport.abort()


class ConnectionProxy:
    """The listener at which the sidecars of one group find one endpoint. It keeps its port in any state."""

    def __init__(self, handler: RequestHandler, endpoint: Endpoint, group: int) -> None:
        self.handler = handler
        self.endpoint = endpoint
        self.group = group
        self.connections: set[SidecarConnection] = set()
        self.state = ListenerState.CLOSED
        self._socket, self.port = _bind_port()
        self._fillers: list[socket.socket] = []  # our own connections that fill the backlog
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
        """Refuse new connections, or leave them hanging; those that are open stay as they are."""
        if self.state is state:
            return
        asyncio.get_running_loop().remove_reader(self._socket)
        if state is ListenerState.REFUSED:
            # The socket stays bound, so that nobody takes its port (shutdown(2) ends listening alone).
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RD)
        else:
            self._socket.listen(0)
            self._fill_backlog()
        self.state = state

    def _fill_backlog(self) -> None:
        """A backlog of 0 still takes one connection: our own."""
        filler = socket.socket()
        filler.setblocking(False)
        with suppress(BlockingIOError):
            filler.connect((HOST, self.port))
        self._fillers.append(filler)

    def _reset_queued(self) -> None:
        """Reset connections that the kernel took as the listener was shut, now that the machine is back.

        What was written to them long ago would otherwise pass for sent just now.
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
            except OSError:  # BlockingIOError: no more wait
                return
            task = loop.create_task(loop.connect_accepted_socket(lambda: SidecarConnection(self), sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def admit(self, connection: SidecarConnection) -> bool:
        """Count a connection that came up, and return whether it may stay."""
        self.endpoint.connections += 1
        self.connections.add(connection)
        return self.endpoint.connections <= self.endpoint.spec.connections

    def drop_connections(self) -> None:
        """Reset all connections as when the endpoint's process dies."""
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
    """Return a socket bound to a port by number: only so does it keep the port when it stops listening."""
    for _ in range(MAX_BIND_ATTEMPTS):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        port = free_port()
        try:
            sock.bind((HOST, port))
        except OSError:  # taken meanwhile
            sock.close()
            continue
        return sock, port
    raise OSError("no free port on loopback: too many are in use")
