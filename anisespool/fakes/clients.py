"""Clients of sidecars, as an open-loop load generator.

Each request is sent when it is due, whatever became of those before it, so that a slow sidecar does not
reduce its own load.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

from anisespool.config.platform import Address
from anisespool.fakes import http1
from anisespool.fakes.platform import REQUEST_CLASSES, TENANTS, RequestClass
from anisespool.fakes.server import Connection

CLASS_SHARES = (0.38, 0.35, 0.27)
"""Of the requests, in the order of REQUEST_CLASSES."""
DEADLINE_TOLERANCE_S = 0.05
"""Past a deadline, as the rules count it on sockets."""
BODY_BYTES = 200


class ClientOutcome(StrEnum):
    """How a request ended for its client; the values are those of the demo's `--json` output."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """One request, as its client saw it.

    Attributes:
        trace_id: Unique.
        request_class: The name of its class.
        due_s: When it was to be sent, monotonic.
        latency_s: From sending to the end of the response, or until the client gave up.
        status: Of the response; 0: no complete response.
        is_echoed: The body of the response was made for this request.
        is_late: The response came after the deadline.
        has_extra_bytes: Something came after the one response.
    """

    trace_id: str
    request_class: str
    due_s: float
    latency_s: float = 0.0
    status: int = 0
    is_echoed: bool = False
    is_late: bool = False
    has_extra_bytes: bool = False

    @property
    def outcome(self) -> ClientOutcome:
        """How it ended."""
        if self.status == 200:
            return ClientOutcome.SERVED
        return ClientOutcome.REJECTED if self.status in (429, 503) else ClientOutcome.FAILED


@dataclass(slots=True)
class ClientLog:
    """All requests of a set of clients, in the order in which they were sent."""

    requests: list[ClientRequest] = field(default_factory=list)

    def outcomes_by_class(self) -> dict[str, Counter[str]]:
        """Counts of outcomes, by the name of the request class."""
        counts = {request_class.name: Counter[str]() for request_class in REQUEST_CLASSES}
        for request in self.requests:
            counts[request.request_class][request.outcome] += 1
        return counts


class Client:
    """One application beside one sidecar. It reuses idle connections, and opens one more if all are busy."""

    def __init__(self, address: Address, load: ClientLog, seed: int, name: str) -> None:
        """Create a client.

        Args:
            address: The sidecar's.
            load: Where its requests are noted.
            seed: Of the requests and their times.
            name: Begins its trace ids.
        """
        self._address = address
        self._load = load
        self._name = name
        self._random = random.Random(seed)
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0

    async def run(self, rate_per_s: float, until_s: float, stop: asyncio.Event | None = None) -> None:
        """Send requests as a Poisson process, and return when all of them have ended.

        Args:
            rate_per_s: Their mean rate.
            until_s: When to send no more, monotonic.
            stop: Ends it earlier.
        """
        due_s = time.monotonic() + self._random.expovariate(rate_per_s)
        while due_s < until_s and not (stop and stop.is_set()):
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self._send_request(due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += self._random.expovariate(rate_per_s)
        if self._tasks:
            await asyncio.wait(self._tasks)
        for connection in self._idle:
            connection.writer.close()
        self._idle.clear()

    async def _send_request(self, due_s: float) -> None:
        request_class = self._random.choices(REQUEST_CLASSES, CLASS_SHARES)[0]
        self._number += 1
        request = ClientRequest(f"{self._name}-{self._number}", request_class.name, due_s)
        self._load.requests.append(request)
        data = self._encode(request, request_class)
        deadline_s = request_class.deadline_ms / 1e3
        sent_s = time.monotonic()
        with suppress(TimeoutError):
            async with asyncio.timeout(deadline_s + 2 * DEADLINE_TOLERANCE_S):
                await self._exchange(request, data)
        request.latency_s = time.monotonic() - sent_s
        request.is_late = request.latency_s > deadline_s + DEADLINE_TOLERANCE_S

    def _encode(self, request: ClientRequest, request_class: RequestClass) -> bytes:
        method = "GET" if request_class.effect == "repeatable" else "POST"
        body = b"" if method == "GET" else b"x" * BODY_BYTES
        tenant = self._random.choice(TENANTS)
        lines = [
            f"{method} /{request_class.name}/{self._random.randrange(1000)} HTTP/1.1",
            "Host: a",
            f"X-Trace-Id: {request.trace_id}",
            f"X-Customer: {tenant}",
            f"X-Expires-In-Ms: {request_class.deadline_ms}",
            f"Content-Length: {len(body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body

    async def _exchange(self, request: ClientRequest, data: bytes) -> None:
        """Send a request, on an idle connection if there is one.

        A connection that was idle and ends before any response is replaced by a new one, once: the sidecar
        may close a connection between two requests.
        """
        if self._idle and await self._exchange_on(self._idle.pop(), request, data):
            return
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*self._address)
            await self._exchange_on(Connection(reader, writer), request, data)

    async def _exchange_on(self, connection: Connection, request: ClientRequest, data: bytes) -> bool:
        """Whether there was a complete response."""
        reader, writer = connection
        try:
            writer.write(data)
            response = await http1.read_response(reader)
        except (OSError, EOFError, http1.MalformedError):
            writer.transport.abort()
            return False
        request.status = response.status
        request.is_echoed = response.body == request.trace_id.encode()
        request.has_extra_bytes = bool(reader._buffer)  # type: ignore[attr-defined]
        if response.keep_alive and not request.has_extra_bytes:
            self._idle.append(connection)
        else:
            writer.close()
        return True
