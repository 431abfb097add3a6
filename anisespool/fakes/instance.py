"""A fake of an instance's control socket, written from docs/fleet.md.

It keeps a generation and drains, and can respond late, not at all, with errors or with arbitrary bytes.
Hundreds of instances fit into one process.
"""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple, Self

from anisespool.fakes import http1
from anisespool.fakes.control_client import content_digest

EMPTY_CONTENT_DIGEST = content_digest({})
CONTROL_VERSION = 1
APPLY_TARGET = b"/v1/apply"


class ChangeGate:
    """Holds changes back between their arrival at an instance and its response.

    Attributes:
        arrived: Set once a change has arrived.
        opened: Set it to let changes be applied and answered.
    """

    def __init__(self) -> None:
        self.arrived = asyncio.Event()
        self.opened = asyncio.Event()

    async def pass_change(self) -> None:
        """Wait until the gate is open."""
        self.arrived.set()
        await self.opened.wait()


@dataclass(slots=True)
class InstanceFaults:
    """Faults to inject into the responses."""

    response_delay_s: float = 0.0
    is_silent: bool = False
    """Reads requests and never responds."""
    raw_response: bytes = b""
    """Bytes that are sent in place of each response; empty: none."""
    rejection: str = ""
    """Text with which every change is rejected; empty: none is rejected."""
    change_gate: ChangeGate | None = None
    """Gate that each change passes before it is applied; other requests do not."""
    max_acknowledged: int | None = None
    """Number of acknowledged changes. Later ones are applied, and the connection is closed unanswered."""


class Reply(NamedTuple):
    """A response of the control socket."""

    status: int
    fields: dict[str, Any]


class Instance:
    """The control socket of one sidecar.

    Attributes:
        name: Name of the sidecar.
        path: Path of the socket.
        faults: Faults to inject from now on.
        boot: Number of starts.
        generation: Generation applied last; 0: none.
        digest: Digest of its configuration.
        drained: Ids of the endpoints that the operator drains.
        drains_revision: Revision of these drains.
        endpoints: Ids of all endpoints; empty: a drain of the last endpoint is not rejected.
        applied_generations: Generations of the applied changes, in order.
        received_generations: Generations of the received changes, in order.
    """

    def __init__(self, directory: Path, name: str) -> None:
        """Create an instance that does not listen yet. Its socket will be in `directory`."""
        self.name = name
        self.path = directory / f"{name}.sock"
        self.faults = InstanceFaults()
        self.boot = 1
        self.generation = 0
        self.digest = EMPTY_CONTENT_DIGEST
        self.drained: list[str] = []
        self.drains_revision = 0
        self.endpoints: list[str] = []
        self.applied_generations: list[int] = []
        self.received_generations: list[int] = []
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Self]:
        """Listen until the block ends."""
        await self.start()
        try:
            yield self
        finally:
            self.stop()

    async def start(self) -> None:
        """Listen on the socket."""
        self.path.unlink(missing_ok=True)
        self._server = await asyncio.start_unix_server(self._handle_connection, str(self.path))

    def stop(self, leave_file: bool = False) -> None:
        """Act like a process that exits, or with `leave_file` like a killed one."""
        if self._server:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()
        if not leave_file:
            self.path.unlink(missing_ok=True)

    async def restart(self) -> None:
        """Start again, without the changes and drains of the earlier run."""
        self.stop(leave_file=True)
        self.boot += 1
        self.generation = 0
        self.digest = EMPTY_CONTENT_DIGEST
        self.drained = []
        self.drains_revision = 0
        await self.start()

    def state(self) -> dict[str, Any]:
        """Return what it reports about itself."""
        return {
            "name": self.name,
            "pid": os.getpid(),
            "boot": f"{self.name}-{self.boot}",
            "build": "stand-in",
            "uptime_s": 1.0,
            "phase": "serving",
            "generation": self.generation,
            "digest": self.digest,
            "drained": self.drained,
            "drained_fleet": self.drained,
            "drains_revision": self.drains_revision,
        }

    async def _handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        with suppress(OSError, EOFError, http1.MalformedError, asyncio.CancelledError):
            while True:
                request = await http1.read_request(reader)
                if self.faults.is_silent:
                    await asyncio.Event().wait()
                await asyncio.sleep(self.faults.response_delay_s)
                if self.faults.change_gate and request.target == APPLY_TARGET:
                    await self.faults.change_gate.pass_change()
                if self.faults.raw_response:
                    writer.write(self.faults.raw_response)
                    continue
                reply = self._reply_to(request)
                if reply is None:
                    writer.transport.abort()
                    return
                data = json.dumps({"version": CONTROL_VERSION} | reply.fields).encode()
                writer.write(http1.encode_response(reply.status, data))
        self._writers.discard(writer)
        writer.close()

    def _reply_to(self, request: http1.Request) -> Reply | None:
        """Return the response to a request; None: close the connection without one."""
        body = json.loads(request.body) if request.body else {}
        if request.target == APPLY_TARGET:
            return self._apply(body)
        target = request.target.decode()
        if target == "/v1/validate" and self.faults.rejection:
            return _error_reply(400, "invalid", self.faults.rejection)
        if target == "/v1/endpoints/drained":
            return self._set_drained(body)
        return Reply(200, self.state())

    def _set_drained(self, body: dict[str, Any]) -> Reply:
        if body["revision"] < self.drains_revision:
            return _error_reply(409, "older", "older")
        is_last_drained = bool(self.endpoints) and not set(self.endpoints) - set(body["ids"])
        if is_last_drained and not body.get("force"):
            return _error_reply(409, "last-endpoint", "it would leave no endpoint; add force to mean it")
        if not body.get("check"):
            self.drains_revision = body["revision"]
            self.drained = sorted(body["ids"])
        return Reply(200, self.state())

    def _apply(self, body: dict[str, Any]) -> Reply | None:
        generation = body["generation"]
        self.received_generations.append(generation)
        error = self._check_change(body)
        if error:
            return error
        if generation == self.generation:
            return Reply(200, self.state())
        self.generation = generation
        self.digest = body["digest"]
        self.applied_generations.append(generation)
        limit = self.faults.max_acknowledged
        if limit is not None and len(self.applied_generations) > limit:
            return None
        return Reply(200, self.state())

    def _check_change(self, body: dict[str, Any]) -> Reply | None:
        """Return the error of a change that cannot be applied; None: it can be."""
        if content_digest(body["content"]) != body["digest"]:
            return _error_reply(400, "damaged", "the content does not match its digest")
        if self.faults.rejection:
            return _error_reply(400, "invalid", self.faults.rejection)
        if body["generation"] < self.generation:
            return _error_reply(409, "older", f"has {self.generation}")
        if body["generation"] == self.generation:
            if body["digest"] != self.digest:
                return _error_reply(409, "conflict", "another document")
            return None
        if body["base"] != self.digest:
            return _error_reply(409, "base", "made for another")
        return None


def _error_reply(status: int, code: str, text: str) -> Reply:
    return Reply(status, {"error": {"code": code, "text": text}})
