"""Clients of sidecars: an open-loop load generator.

Each request is sent when it is due, whether or not earlier ones have ended, so that a slow sidecar does not
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
"""Share of the requests in each class, in the order of REQUEST_CLASSES."""
DEADLINE_TOLERANCE_S = 0.05
"""Time past the deadline that the rules allow a response on sockets."""
BODY_BYTES = 200


class ClientOutcome(StrEnum):
    """The outcome of a request for its client; the values are those of the demo's `--json` output."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ClientRequest:
    """One request and its result at the client.

    Attributes:
        trace_id: Unique id of the request.
        request_class: Name of the request class.
        due_s: Scheduled time of sending, monotonic.
        latency_s: Time from sending until the response ended or the client gave up.
        status: Status of the response; 0: no complete response arrived.
        is_echoed: Whether the body of the response is this request's trace id.
        is_late: Whether it took longer than the deadline and DEADLINE_TOLERANCE_S.
        has_extra_bytes: Whether more bytes followed the response.
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
        """The outcome that follows from the status."""
        if self.status == 200:
            return ClientOutcome.SERVED
        return ClientOutcome.REJECTED if self.status in (429, 503) else ClientOutcome.FAILED


@dataclass(slots=True)
class ClientLog:
    """All requests of a set of clients, in the order in which they were sent."""

    requests: list[ClientRequest] = field(default_factory=list)

    def outcomes_by_class(self) -> dict[str, Counter[str]]:
        """Return the counts of outcomes, by name of the request class."""
        counts = {request_class.name: Counter[str]() for request_class in REQUEST_CLASSES}
        for request in self.requests:
            counts[request.request_class][request.outcome] += 1
        return counts


class Client:
    """One application beside one sidecar. It reuses idle connections, and opens another if all are busy."""

    def __init__(self, address: Address, log: ClientLog, seed: int, name: str) -> None:
        """Create a client.

        Args:
            address: Address of the sidecar.
            log: Log to which the requests are added.
            seed: Seed of the requests and their times.
            name: Prefix of the trace ids.
        """
        self._address = address
        self._log = log
        self._name = name
        self._random = random.Random(seed)
        self._idle: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0

    async def run(self, rate_per_s: float, until_s: float, stop: asyncio.Event | None = None) -> None:
        """Send requests as a Poisson process, and return when all of them have ended.

        Args:
            rate_per_s: Mean rate of the requests.
            until_s: Time after which none is sent, monotonic.
            stop: Ends sending earlier once it is set.
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
        self._request_count += 1
        request = ClientRequest(f"{self._name}-{self._request_count}", request_class.name, due_s)
        self._log.requests.append(request)
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

        If that connection ends without a complete response, the request is sent again on a new one: the
        sidecar may close a connection between two requests.
        """
        if self._idle and await self._exchange_on(self._idle.pop(), request, data):
            return
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*self._address)
            await self._exchange_on(Connection(reader, writer), request, data)

    async def _exchange_on(self, connection: Connection, request: ClientRequest, data: bytes) -> bool:
        """Send a request, and return whether a complete response arrived."""
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
