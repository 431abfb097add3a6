"""An endpoint of the soak: records what arrives, and rejects, fails, resets or holds requests."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress

from anisespool.fakes import http1
from anisespool.fakes.server import Connection, FakeServer, reset
from tests.soak.records import Arrival, RunRecord

MEAN_SERVICE_S = 0.015
REPEAT_MARK = "~"
"""Separates a task from the mark of an id that its client sends once more."""
HOSTILE_ID = b"hostile-"
"""Start of the ids of hostile clients, whose requests are not judged."""


class SoakEndpoint(FakeServer):
    """One endpoint. The path of a request names its sidecar.

    Attributes:
        hangs: Whether requests get no answer for now.
        is_down: Whether connections are reset for now.
    """

    def __init__(self, number: int, record: RunRecord, fault_share: float, seed: int) -> None:
        super().__init__()
        self.hangs = False
        self.is_down = False
        self._number = number
        self._record = record
        self._fault_share = fault_share
        self._draws = random.Random(seed * 1000 + number)

    def go_down(self) -> None:
        """Reset all connections, and new ones until `is_down` is false again."""
        self.is_down = True
        for connection in self.connections:
            if not connection.writer.is_closing():
                reset(connection.writer)
        self.connections.clear()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer requests until the connection ends."""
        if self.is_down:
            reset(writer)
            return
        self.connections.append(Connection(reader, writer))
        with suppress(OSError, EOFError, http1.MalformedError):
            while True:
                await self._answer(await http1.read_request(reader), writer)
        writer.close()

    async def _answer(self, request: http1.Request, writer: asyncio.StreamWriter) -> None:
        is_rejected = self._draws.random() < self._fault_share
        if not request.headers[b"x-trace-id"].startswith(HOSTILE_ID):
            self._record.arrivals.append(self._arrival(request, executed=not is_rejected))
        if is_rejected:
            writer.write(http1.encode_response(503, headers=b"X-Never-Ran: 1\r\n"))
            return
        await asyncio.sleep(self._draws.expovariate(1 / MEAN_SERVICE_S))
        while self.hangs:
            await asyncio.sleep(0.05)
        draw = self._draws.random()
        if draw < self._fault_share / 2:
            reset(writer)
        elif draw < self._fault_share:
            writer.write(http1.encode_response(500))
        else:
            writer.write(http1.encode_response(200, request.headers[b"x-trace-id"]))

    def _arrival(self, request: http1.Request, executed: bool) -> Arrival:
        _, _, sidecar, task = request.target.decode().split("/")
        task, _, repeat = task.partition(REPEAT_MARK)
        return Arrival(
            trace_id=request.headers[b"x-trace-id"].decode(),
            task=task,
            endpoint=self._number,
            sidecar=int(sidecar),
            at_s=time.monotonic(),
            told_s=int(request.headers[b"x-expires-in-ms"]) / 1000,
            executed=executed,
            is_repeat=bool(repeat),
        )
