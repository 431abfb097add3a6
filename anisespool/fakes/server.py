"""The base class of the fakes that serve HTTP on a loopback port, and their connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple, Self

from anisespool.config.platform import Address

LOOPBACK = "127.0.0.1"
READ_LIMIT_BYTES = 2**18
ACCEPT_BACKLOG = 1024
LINGER_ZERO_TIMEOUT = struct.pack("ii", 1, 0)
"""The SO_LINGER value that discards unsent data, so that closing the socket sends a reset."""


class Connection(NamedTuple):
    """The two streams of an accepted connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset in place of an orderly shutdown."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO_TIMEOUT)
    writer.transport.abort()


class FakeServer:
    """Listens on a loopback port. Subclasses implement `handle_connection`.

    Attributes:
        address: Address on which it listens; without meaning before `start`.
        connections: Connections that the subclass keeps, in the order in which it added them.
    """

    def __init__(self) -> None:
        self.address = Address("", 0)
        self.connections: list[Connection] = []
        self._server: asyncio.Server | None = None

    @asynccontextmanager
    async def serve(self) -> AsyncIterator[Self]:
        """Listen on a free port until the block ends."""
        await self.start()
        try:
            yield self
        finally:
            self.stop()

    async def start(self, port: int = 0) -> None:
        """Listen on `port`; 0: any free port."""
        self._server = await asyncio.start_server(
            self.handle_connection, LOOPBACK, port, limit=READ_LIMIT_BYTES, backlog=ACCEPT_BACKLOG
        )
        self.address = Address(*self._server.sockets[0].getsockname())

    def stop(self) -> None:
        """Close the listener, and abort all connections."""
        if self._server:
            self._server.close()
        for connection in self.connections:
            connection.writer.transport.abort()

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one accepted connection."""
        raise NotImplementedError
