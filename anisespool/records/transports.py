"""Channels to a syslog receiver: UDP (RFC 5426), TCP (RFC 6587) and Unix datagram sockets.

Sockets are written directly: after every write, also after one that failed, it is known how many frames were
handed to the kernel completely. Only the task that writes waits for a receiver. TLS: tls_channel.py.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import socket
import termios
from array import array
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from anisespool.config.platform import Address

MAX_WRITE_BYTES = 16_384
NO_BUFFERS_RETRY_S = 0.01  # after ENOBUFS: no readiness event announces its end
SEND_BUFFER_BYTES = 65_536  # bounds what a stalled receiver leaves in our kernel
READ_BYTES = 4096


class DatagramTooLongError(Exception):
    """The frame after the `frames_sent` ones is longer than a datagram can be."""

    def __init__(self, size_bytes: int) -> None:
        """Create the error for a frame of `size_bytes`."""
        super().__init__(f"a frame of {size_bytes} bytes")
        self.size_bytes = size_bytes


class Channel(Protocol):
    """An open way to the receiver.

    Attributes:
        max_write_bytes: What one write should hold at most.
        frames_sent: Frames of the last write that were handed to the kernel completely.
        is_stream: What was sent shortly before the channel is lost may not have arrived.
    """

    max_write_bytes: int
    frames_sent: int
    is_stream: bool

    async def write(self, frames: list[bytes]) -> None:
        """Return when all frames are handed to the kernel; `frames_sent` is right after an error too.

        Raises:
            OSError: The channel is lost.
            DatagramTooLongError: The next frame can't be sent at all.
        """

    def closed(self) -> asyncio.Future[None]:
        """A future that is done when the receiver has closed the channel."""

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes handed to the kernel that the receiver's kernel has not acknowledged."""

    def close(self) -> None:
        """Close the channel."""


ChannelOpener = Callable[[], Awaitable[Channel]]
"""Opens a new channel to the receiver. Raises OSError or ValueError where that is not possible."""


async def wait_writable(sock: socket.socket) -> None:
    """Wait until a socket takes more bytes."""
    loop = asyncio.get_running_loop()
    ready = asyncio.Event()
    loop.add_writer(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_writer(sock)


async def connect_tcp(address: Address) -> socket.socket:
    """A connected, non-blocking TCP socket with a bounded send buffer. OSError: no connection."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(sock, address)
    except BaseException:
        sock.close()
        raise
    return sock


class DatagramChannel:
    """UDP or a Unix datagram socket: each frame is a datagram. See `Channel`."""

    max_write_bytes = MAX_WRITE_BYTES
    is_stream = False

    def __init__(self, sock: socket.socket) -> None:
        """Create a channel from a connected socket."""
        self.frames_sent = 0
        self._sock = sock
        self._closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @classmethod
    def open(cls, destination: Address | Path) -> DatagramChannel:
        """Open a channel to an address or a socket's path. OSError: there is no such socket."""
        family = socket.AF_UNIX if isinstance(destination, Path) else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.connect(str(destination) if isinstance(destination, Path) else destination)
        except OSError:
            sock.close()
            raise
        return cls(sock)

    async def write(self, frames: list[bytes]) -> None:
        """See `Channel.write`."""
        self.frames_sent = 0
        for frame in frames:
            while not await self._try_send(frame):
                pass
            self.frames_sent += 1

    async def _try_send(self, frame: bytes) -> bool:
        """Return whether the frame was sent; if not, only when the next attempt can succeed."""
        try:
            self._sock.send(frame)
        except BlockingIOError:
            await wait_writable(self._sock)
            return False
        except OSError as error:
            if error.errno == errno.EMSGSIZE:
                raise DatagramTooLongError(len(frame)) from None
            if error.errno != errno.ENOBUFS:
                raise
            await asyncio.sleep(NO_BUFFERS_RETRY_S)
            return False
        return True

    @property
    def unacknowledged_bytes(self) -> int:
        """0: datagrams are not acknowledged."""
        return 0

    def closed(self) -> asyncio.Future[None]:
        """A future that is never done: a receiver of datagrams can't close the channel."""
        return self._closed

    def close(self) -> None:
        """See `Channel.close`."""
        self._sock.close()


class TcpChannel:
    """TCP. See `Channel`.

    A frame that was sent in part has to be sent again from its start, on another connection; so what was sent
    of a write is counted byte by byte.
    """

    max_write_bytes = MAX_WRITE_BYTES
    is_stream = True

    def __init__(self, sock: socket.socket) -> None:
        """Create a channel from a connected, non-blocking socket."""
        self.frames_sent = 0
        self._sock = sock
        loop = asyncio.get_running_loop()
        self._closed: asyncio.Future[None] = loop.create_future()
        loop.add_reader(sock, self._on_readable)

    @classmethod
    async def connect(cls, address: Address) -> TcpChannel:
        """Open a connection. OSError: it is refused or unreachable."""
        return cls(await connect_tcp(address))

    async def write(self, frames: list[bytes]) -> None:
        """See `Channel.write`."""
        self.frames_sent = 0
        data = memoryview(b"".join(frames))
        sent_bytes = 0
        complete_bytes = 0  # of the frames that were sent completely
        while sent_bytes < len(data):
            try:
                sent_bytes += self._sock.send(data[sent_bytes:])
            except BlockingIOError:
                await wait_writable(self._sock)
                continue
            while (
                self.frames_sent < len(frames)
                and complete_bytes + len(frames[self.frames_sent]) <= sent_bytes
            ):
                complete_bytes += len(frames[self.frames_sent])
                self.frames_sent += 1

    def _on_readable(self) -> None:
        """Notice that the receiver closes. Receivers send nothing (RFC 6587, 3.1); bytes are discarded."""
        try:
            data = self._sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._set_closed()

    def _set_closed(self) -> None:
        asyncio.get_running_loop().remove_reader(self._sock)
        if not self._closed.done():
            self._closed.set_result(None)

    def closed(self) -> asyncio.Future[None]:
        """See `Channel.closed`."""
        return self._closed

    @property
    def unacknowledged_bytes(self) -> int:
        """See `Channel.unacknowledged_bytes`."""
        result = array("i", [0])
        fcntl.ioctl(self._sock, termios.TIOCOUTQ, result)  # SIOCOUTQ of a socket (tcp(7))
        return result[0]

    def close(self) -> None:
        """See `Channel.close`."""
        self._set_closed()
        self._sock.close()
