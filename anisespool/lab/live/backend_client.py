"""Starts and controls the process of a run's endpoints, over its standard input and output."""

from __future__ import annotations

import asyncio
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from typing import TypeVar

import msgspec

from anisespool.lab.live.backend_messages import BackendReady, BackendReport, RunOrder
from anisespool.lab.live.timing import wait_bounded
from anisespool.lab.scenario import Link

MAX_LINE_BYTES = 2**26

MessageT = TypeVar("MessageT")


class BackendClient:
    """Sends messages to the endpoints' process and reads its replies."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdin
        assert process.stdout
        self._stdin = process.stdin
        self._stdout = process.stdout

    def send_order(self, order: RunOrder) -> None:
        """Send the scenario and the seed of the run."""
        self._write(msgspec.json.encode(order))

    async def wait_ready(self) -> BackendReady:
        """Wait until the process has opened its sockets."""
        return await self._read(BackendReady)

    def begin(self, first: int) -> None:
        """Start the run; `first` is its first moment, monotonic ns."""
        self._write(b"%d" % first)

    def add_link(self, link: Link) -> None:
        """Add a faulty link; its `at_s` counts from now."""
        self._write(msgspec.json.encode(link))

    async def finish(self) -> BackendReport:
        """End the run, and return what the endpoints and the network counted."""
        self._stdin.close()
        return await self._read(BackendReport)

    def _write(self, line: bytes) -> None:
        self._stdin.write(line + b"\n")

    async def _read(self, message: type[MessageT]) -> MessageT:
        line = await self._stdout.readline()
        if not line:
            raise RuntimeError("the endpoints' process ended early; see its error above")
        return msgspec.json.decode(line, type=message)


@asynccontextmanager
async def backend_process(env: dict[str, str]) -> AsyncIterator[BackendClient]:
    """Start the process with `env` added to its environment, and kill it on exit if it still runs."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "anisespool.lab.live.backend_process",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        limit=MAX_LINE_BYTES,
        env=os.environ | env,
    )
    try:
        yield BackendClient(process)
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await wait_bounded(process.wait())
