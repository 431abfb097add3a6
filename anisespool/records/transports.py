"""Channels to a syslog receiver: UDP (RFC 5426), TCP (RFC 6587) and Unix datagram sockets.

Sockets are written directly, so that after every write, even a failed one, the number of frames that were
completely handed to the kernel is known. Only the sending task waits for a receiver. TLS: tls_channel.py.
"""

from __future__ import annotations

import asyncio
import errno
import socket
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol

from anisespool import tcp
from anisespool.config.platform import Address

MAX_WRITE_BYTES = 16_384
# Delay after ENOBUFS, as no readiness event announces that buffers are available again.
NO_BUFFERS_RETRY_S = 0.01
# Limits the data that a stalled receiver leaves in the sender's kernel.
SEND_BUFFER_BYTES = 65_536
READ_BYTES = 4096


class DatagramTooLongError(Exception):
    """The first frame that was not sent, at index `frames_sent`, is longer than a datagram can be."""

    def __init__(self, size_bytes: int) -> None:
        """Create the error for a frame of `size_bytes`."""
        super().__init__(f"frame of {size_bytes} bytes is too long for a datagram")
        self.size_bytes = size_bytes


class Channel(Protocol):
    """An open channel to the receiver.

    Attributes:
        max_write_bytes: Recommended maximum size of one write.
        frames_sent: Number of frames of the last write that were completely handed to the kernel.
        is_stream: Whether data sent shortly before the channel is lost may not have arrived.
    """

    max_write_bytes: int
    frames_sent: int
    is_stream: bool

    async def write(self, frames: list[bytes]) -> None:
        """Hand all frames to the kernel, waiting as needed; `frames_sent` is correct even after an error.

        Raises:
            OSError: The channel is lost.
            DatagramTooLongError: The next frame is too long to be sent at all.
        """

    def closed(self) -> asyncio.Future[None]:
        """Return a future that is done once the receiver has closed the channel."""

    @property
    def unacknowledged_bytes(self) -> int:
        """Number of bytes handed to the kernel that the receiver's kernel has not acknowledged."""

    def close(self) -> None:
        """Close the channel."""


ChannelOpener = Callable[[], Awaitable[Channel]]
"""Opens a new channel to the receiver. Raises OSError or ValueError on failure."""


async def wait_writable(sock: socket.socket) -> None:
    """Wait until a socket accepts more bytes."""
    loop = asyncio.get_running_loop()
    ready = asyncio.Event()
    loop.add_writer(sock, ready.set)
    try:
        await ready.wait()
    finally:
        loop.remove_writer(sock)


async def connect_tcp(address: Address) -> socket.socket:
    """Return a connected, non-blocking TCP socket with a bounded send buffer. Raises OSError on failure."""
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
    """A channel over UDP or a Unix datagram socket, with one frame per datagram. See `Channel`."""

    max_write_bytes = MAX_WRITE_BYTES
    is_stream = False

    def __init__(self, sock: socket.socket) -> None:
        """Create a channel from a connected socket."""
        self.frames_sent = 0
        self._sock = sock
        self._closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @classmethod
    def open(cls, destination: Address | Path) -> DatagramChannel:
        """Open a channel to an address or a socket's path. Raises OSError if there is no such socket."""
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
        """Return whether the frame was sent. If not, wait first until another attempt can succeed."""
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
        """Always 0 because datagrams are not acknowledged."""
        return 0

    def closed(self) -> asyncio.Future[None]:
        """Return a future that is never done, as a receiver of datagrams can't close the channel."""
        return self._closed

    def close(self) -> None:
        """See `Channel.close`."""
        self._sock.close()


class TcpChannel:
    """A TCP channel. See `Channel`.

    A partially sent frame has to be sent again from its start on another connection, so each write counts the
    bytes that were sent.
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
        """Open a connection. Raises OSError if the receiver refuses it or is unreachable."""
        return cls(await connect_tcp(address))

    async def write(self, frames: list[bytes]) -> None:
        """See `Channel.write`."""
        self.frames_sent = 0
        data = memoryview(b"".join(frames))
        sent_bytes = 0
        complete_bytes = 0  # Total size of the completely sent frames.
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
        """Detect that the receiver closed. Receivers send nothing (RFC 6587, 3.1); bytes are discarded."""
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
        return tcp.unacknowledged_bytes(self._sock)

    def close(self) -> None:
        """See `Channel.close`."""
        self._set_closed()
        self._sock.close()
