"""The clients of one sidecar: open loop, on kept connections, some of which leave early or give up."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from typing import Any

from anisespool.config.platform import Address
from anisespool.fakes import http1
from anisespool.fakes.server import Connection, reset
from tests.soak.endpoint import REPEAT_MARK
from tests.soak.records import ClientEnd, RunRecord, SentRequest

LEAVING_SHARE = 0.2
GIVING_UP_SHARE = 0.5  # of the others: close when their time is over
SHORT_WAIT_SHARE = 0.3
SHORT_WAIT_S = (0.03, 0.1)
MAX_LATE_ANSWER_S = 0.5
MAX_RETRIES = 2
REPEATING_SHARE = 0.3  # of those that have left
REPEAT_WAIT_S = 0.5


def _close(writer: asyncio.StreamWriter) -> None:
    writer.close()


def _half_close(writer: asyncio.StreamWriter) -> None:
    writer.write_eof()


DISCONNECTS: tuple[Callable[[asyncio.StreamWriter], None], ...] = (_close, _half_close, reset)


class SoakClient:
    """Sends the requests of one sidecar's application."""

    def __init__(
        self, sidecar: int, address: Address, classes: list[dict[str, Any]], record: RunRecord, seed: int
    ) -> None:
        self._sidecar = sidecar
        self._address = address
        self._classes = classes
        self._record = record
        self._draws = random.Random(seed * 1000 + 500 + sidecar)
        self._idle: list[Connection] = []
        self._half_closed: list[Connection] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def run(self, rate_per_s: float, until_s: float) -> None:
        """Send requests as a Poisson process, and return when all have ended."""
        due_s = time.monotonic()
        while due_s < until_s:
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            task = asyncio.get_running_loop().create_task(self._perform())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            due_s += self._draws.expovariate(rate_per_s)
        while self._tasks:
            await asyncio.wait(self._tasks)
        for connection in self._idle + self._half_closed:
            connection.writer.transport.abort()

    async def _perform(self) -> None:
        """Send a request, and again as far as a client may retry it."""
        row = self._draws.choice(self._classes)
        self._count += 1
        task = f"k{self._sidecar}-{self._count}"
        for retry in range(1 + MAX_RETRIES):
            request = self._draw_request(row, task, f"t{self._sidecar}-{self._count}-{retry}")
            self._count += 1
            await self._send(request, row)
            if request.end is ClientEnd.LEFT and self._draws.random() < REPEATING_SHARE:
                await self._send_again(request, row)
            if request.status == 200 or request.end is ClientEnd.LEFT:
                return
            is_harmless = request.status == 503 or request.end is ClientEnd.NOT_CONNECTED
            if not is_harmless and row["effect"] != "repeatable":
                return
            await asyncio.sleep(self._draws.uniform(0.005, 0.05))

    def _draw_request(self, row: dict[str, Any], task: str, trace_id: str) -> SentRequest:
        wait_s = row["deadline-ns"] / 1e9 * self._draws.uniform(0.2, 1.0)
        if self._draws.random() < SHORT_WAIT_SHARE:
            wait_s = self._draws.uniform(*SHORT_WAIT_S)
        wait_s = int(wait_s * 1000) / 1000
        return SentRequest(trace_id, task, row["effect"], self._sidecar, time.monotonic(), wait_s)

    async def _send(self, request: SentRequest, row: dict[str, Any]) -> None:
        connection = await self._connect()
        if connection is None:
            request.end = ClientEnd.NOT_CONNECTED
            return
        self._record.requests.append(request)
        request.sent_s = time.monotonic()
        leaves = self._draws.random() < LEAVING_SHARE
        stays_s = request.wait_s * self._draws.uniform(0.1, 0.9) if leaves else request.wait_s
        gives_up = leaves or self._draws.random() < GIVING_UP_SHARE
        try:
            connection.writer.write(_encode(request, row))
            async with asyncio.timeout(stays_s if gives_up else request.wait_s + MAX_LATE_ANSWER_S):
                response = await http1.read_response(connection.reader)
        except TimeoutError:
            request.ended_s = time.monotonic()
            request.end = ClientEnd.LEFT if gives_up else ClientEnd.NO_ANSWER
            self._leave(connection)
        except (OSError, EOFError):
            request.ended_s = time.monotonic()
            request.end = ClientEnd.CLOSED
            connection.writer.close()
        else:
            request.ended_s = time.monotonic()
            request.end = ClientEnd.ANSWERED
            request.status = response.status
            request.body = response.body
            self._keep(connection, response)

    async def _send_again(self, request: SentRequest, row: dict[str, Any]) -> None:
        """Send the same id once more on a new connection, as if the request had been lost."""
        await asyncio.sleep(self._draws.uniform(0.0, 0.1))
        repeat = replace(request, task=f"{request.task}{REPEAT_MARK}again", wait_s=REPEAT_WAIT_S)
        with suppress(OSError, EOFError, TimeoutError):
            reader, writer = await asyncio.open_connection(*self._address)
            try:
                writer.write(_encode(repeat, row))
                async with asyncio.timeout(REPEAT_WAIT_S):
                    await http1.read_response(reader)
            finally:
                writer.close()

    def _leave(self, connection: Connection) -> None:
        disconnect = self._draws.choice(DISCONNECTS)
        with suppress(OSError):
            disconnect(connection.writer)
        self._half_closed.append(connection)

    def _keep(self, connection: Connection, response: http1.Response) -> None:
        if response.keep_alive:
            self._idle.append(connection)
        else:
            connection.writer.close()

    async def _connect(self) -> Connection | None:
        while self._idle:
            connection = self._idle.pop()
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        try:
            return Connection(*await asyncio.open_connection(*self._address))
        except OSError:
            return None


def _encode(request: SentRequest, row: dict[str, Any]) -> bytes:
    is_safe = row["effect"] == "repeatable"
    lines = [
        f"{'GET' if is_safe else 'POST'} /{row['name']}/{request.sidecar}/{request.task} HTTP/1.1",
        "Host: a",
        f"X-Trace-Id: {request.trace_id}",
        "X-Customer: tiendas-sol",
        f"X-Expires-In-Ms: {round(request.wait_s * 1000)}",
    ]
    if row["effect"] == "by_key":
        lines.append(f"Idempotency-Key: {request.task.partition(REPEAT_MARK)[0]}")
    if not is_safe:
        lines.append("Content-Length: 4")
    return "\r\n".join([*lines, "", ""]).encode() + (b"" if is_safe else b"body")
