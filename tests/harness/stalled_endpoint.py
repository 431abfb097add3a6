"""An endpoint that accepts one connection, with a small receive buffer, and reads only what a test reads."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import termios
from array import array
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from anisespool.codec.http1 import Request
from anisespool.config.platform import Address

RECEIVE_BUFFER_BYTES = 8192
"""Far less than a sidecar's kernel takes at once, so that the rest of a long request stays there."""
LONG_BODY = b"x" * 60_000
LONG_POST = Request(b"POST", b"/send-one/1", {b"x-trace-id": b"t1"}, LONG_BODY, True)
READ_TIMEOUT_S = 1.0


class Received(NamedTuple):
    """What arrived on a connection, and how the connection ended."""

    data: bytes
    was_reset: bool


@asynccontextmanager
async def stalled_endpoint() -> AsyncIterator[tuple[Address, asyncio.Future[socket.socket]]]:
    """Listen; the future's result is the first connection, from which nothing is read."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        listener.setblocking(False)
        accepted = asyncio.ensure_future(_accept(listener))
        yield Address(*listener.getsockname()), accepted
        (await accepted).close()


async def _accept(listener: socket.socket) -> socket.socket:
    connection, _ = await asyncio.get_running_loop().sock_accept(listener)
    return connection


def read_to_end(connection: socket.socket) -> Received:
    """Return what arrives until the connection ends or is silent for READ_TIMEOUT_S. Blocks."""
    connection.settimeout(READ_TIMEOUT_S)
    data = b""
    try:
        while chunk := connection.recv(65536):
            data += chunk
    except ConnectionResetError:
        return Received(data, True)
    except TimeoutError:
        pass
    return Received(data, False)


def unread_bytes(connection: socket.socket) -> int:
    """Return how many bytes have arrived and were not read."""
    result = array("i", [0])
    fcntl.ioctl(connection, termios.FIONREAD, result)
    return result[0]
