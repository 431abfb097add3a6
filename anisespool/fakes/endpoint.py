"""Two fakes of an endpoint.

`Endpoint` gives every request the response that a test sets. `CountingEndpoint` has a capacity, a queue and
a slow start, reports its load, and logs by its own clock what it received and executed, so that the rules of
the product can be checked without trusting a sidecar.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.fakes import http1
from anisespool.fakes.server import Connection, FakeServer, reset

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
INITIAL_CAPACITY_SHARE = 0.15
"""Share of its full capacity that an endpoint has just after its start."""

Responder = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]
"""Responds through the streams to a request that has been read."""


class Endpoint(FakeServer):
    """Gives each request the response that a test sets.

    Attributes:
        response: The bytes to write, or a coroutine function that uses the streams.
        requests: All requests read so far, in order.
        closed_by_peer: Number of connections that the client has closed.
    """

    def __init__(self, response: bytes | Responder = OK) -> None:
        super().__init__()
        self.response = response
        self.requests: list[http1.Request] = []
        self.closed_by_peer = 0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to requests until the client closes the connection."""
        self.connections.append(Connection(reader, writer))
        with suppress(OSError, EOFError):
            while True:
                self.requests.append(await http1.read_request(reader))
                if isinstance(self.response, bytes):
                    writer.write(self.response)
                else:
                    await self.response(reader, writer)
        self.closed_by_peer += 1
        writer.close()  # frees the descriptor: the client's close alone does not


class Execution(NamedTuple):
    """One request that an endpoint began to execute."""

    trace_id: str
    request_class: str
    at_s: float
    """Start of the execution, monotonic."""


@dataclass(slots=True)
class EndpointFaults:
    """Faults to inject. The `every_nth` faults affect each nth request that arrives; 0: none."""

    reject_every_nth: int = 0
    """Responds 503 with X-Never-Ran, without executing the request."""
    error_every_nth: int = 0
    """Responds 500 after executing the request."""
    reset_every_nth: int = 0
    """Resets the connection after executing the request."""
    is_silent: bool = False
    """Executes requests and never responds."""


@dataclass(slots=True)
class EndpointLog:
    """Requests that an endpoint received and executed, in order."""

    arrivals_s: list[float] = field(default_factory=list)
    """Time at which each request had been read, monotonic."""
    executions: list[Execution] = field(default_factory=list)

    def executions_by_trace_id(self) -> Counter[str]:
        """Return the number of executions of each request."""
        return Counter(execution.trace_id for execution in self.executions)


class CountingEndpoint(FakeServer):
    """Executes a limited number of requests at a time, queues some more, and rejects the others.

    Attributes:
        name: Id in the endpoint list.
        faults: Faults to inject from now on.
        log: Requests received and executed.
        started_s: Time of the start, monotonic; the slow start begins there.
        queued: Number of requests waiting to be executed.
        in_flight: Number of requests being executed.
    """

    def __init__(
        self,
        name: str,
        slots: int = 4,
        service_s: float = 0.02,
        max_queued: int = 64,
        slow_start_s: float = 0.0,
    ) -> None:
        """Create an endpoint that does not listen yet.

        Args:
            name: Id in the endpoint list.
            slots: Number of requests that are executed at a time.
            service_s: Execution time of a request at full capacity.
            max_queued: Maximum number of waiting requests.
            slow_start_s: Time from the start until full capacity; 0: full capacity at once.
        """
        super().__init__()
        self.name = name
        self.faults = EndpointFaults()
        self.log = EndpointLog()
        self.started_s = time.monotonic()
        self.queued = 0
        self.in_flight = 0
        self._slots = slots
        self._service_s = service_s
        self._max_queued = max_queued
        self._slow_start_s = slow_start_s
        self._semaphore = asyncio.Semaphore(slots)

    async def start(self, port: int = 0) -> None:
        """Listen, and begin the slow start."""
        await super().start(port)
        self.started_s = time.monotonic()

    def kill(self) -> None:
        """Act like a killed process: close the listener, and reset all connections."""
        if self._server:
            self._server.close()
        for connection in self.connections:
            if not connection.writer.is_closing():
                reset(connection.writer)
        self.connections.clear()

    def capacity_per_s(self, at_s: float) -> float:
        """Return the capacity at a time, in requests per second. It grows during the slow start."""
        full_per_s = self._slots / self._service_s
        if not self._slow_start_s:
            return full_per_s
        progress = min(1.0, max(0.0, at_s - self.started_s) / self._slow_start_s)
        return full_per_s * (INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * progress)

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Respond to requests until the connection ends."""
        connection = Connection(reader, writer)
        self.connections.append(connection)
        with suppress(OSError, EOFError, http1.MalformedError, asyncio.CancelledError):
            while True:
                request = await http1.read_request(reader)
                await self._admit(request, writer)
        writer.close()
        with suppress(ValueError):
            self.connections.remove(connection)

    async def _admit(self, request: http1.Request, writer: asyncio.StreamWriter) -> None:
        self.log.arrivals_s.append(time.monotonic())
        number = len(self.log.arrivals_s)
        if _is_nth(self.faults.reject_every_nth, number) or self.queued >= self._max_queued:
            self._respond(writer, 503, headers=b"X-Never-Ran: 1\r\n")
            return
        self.queued += 1
        async with self._semaphore:
            self.queued -= 1
            self.in_flight += 1
            try:
                await self._execute(request, writer, number)
            finally:
                self.in_flight -= 1

    async def _execute(self, request: http1.Request, writer: asyncio.StreamWriter, number: int) -> None:
        trace_id = request.headers.get(b"x-trace-id", b"").decode("latin-1")
        request_class = request.target.split(b"/")[1].decode("latin-1")
        now_s = time.monotonic()
        self.log.executions.append(Execution(trace_id, request_class, now_s))
        await asyncio.sleep(self._slots / self.capacity_per_s(now_s))
        if self.faults.is_silent:
            await asyncio.Event().wait()
        elif _is_nth(self.faults.reset_every_nth, number):
            reset(writer)
        elif _is_nth(self.faults.error_every_nth, number):
            self._respond(writer, 500, b"no\n")
        else:
            self._respond(writer, 200, trace_id.encode())

    def _respond(
        self, writer: asyncio.StreamWriter, status: int, body: bytes = b"", headers: bytes = b""
    ) -> None:
        load = b"Endpoint-Load-Metrics: TEXT inflight=%d, queue=%d\r\n" % (self.in_flight, self.queued)
        writer.write(http1.encode_response(status, body, load + headers))


def _is_nth(every_nth: int, number: int) -> bool:
    return every_nth > 0 and number % every_nth == 0
