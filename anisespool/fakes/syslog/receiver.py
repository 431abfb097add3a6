"""A receiver of syslog messages that can stall, read slowly, reset connections, and stop listening."""

from __future__ import annotations

import asyncio
import socket
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Self

from anisespool.config.platform import Address
from anisespool.fakes.server import LINGER_ZERO_TIMEOUT, LOOPBACK
from anisespool.fakes.syslog.framing import FrameDecoder
from anisespool.fakes.syslog.parser import Message, SyslogError, parse

MAX_READ_BYTES = 65_536
DATAGRAM_BUFFER_BYTES = 2**22
DATAGRAMS_PER_EVENT = 1000
ACCEPT_BACKLOG = 100
ERROR_MESSAGE_BYTES = 200


@dataclass(slots=True)
class ReceiverOptions:
    """How a receiver reads. All options but the buffer and the framing may change while it runs.

    Attributes:
        is_octet_counted: Whether streams are framed by octet counting; otherwise newlines end messages.
        is_reading: Whether connections are read; otherwise they are only accepted.
        max_read_bytes: Maximum number of bytes read at a time.
        reset_after_bytes: Bytes received after which a connection is reset; 0: never.
        receive_buffer_bytes: SO_RCVBUF; 0: the default.
    """

    is_octet_counted: bool = True
    is_reading: bool = True
    max_read_bytes: int = MAX_READ_BYTES
    reset_after_bytes: int = 0
    receive_buffer_bytes: int = 0


class Receiver:
    """Receives messages by one transport, and counts them and their errors.

    Attributes:
        options: How it reads.
        on_message: Called with each message; None: messages are collected in `messages`.
        messages: Collected messages, in order.
        errors: One line for each message or frame that violated the grammar.
        message_count: Number of valid messages.
        connection_count: Number of connections that were opened.
        truncated_streams: Number of connections that ended within a frame.
        unread_messages: Number of complete messages left unread when their connection was reset.
        address: Address on which it listens.
        path: Path of the Unix socket; empty: none.
    """

    def __init__(self, options: ReceiverOptions | None = None) -> None:
        self.options = options or ReceiverOptions()
        self.on_message: Callable[[Message], None] | None = None
        self.messages: list[Message] = []
        self.errors: list[str] = []
        self.message_count = 0
        self.connection_count = 0
        self.truncated_streams = 0
        self.unread_messages = 0
        self.address = Address("", 0)
        self.path = ""
        self._streams: set[_Stream] = set()
        self._no_streams = asyncio.Event()
        self._no_streams.set()
        self._listener: socket.socket | None = None
        self._handshakes: set[asyncio.Task[Any]] = set()
        self._tls: ssl.SSLContext | None = None
        self._datagram_sockets: list[socket.socket] = []

    @asynccontextmanager
    async def stream(self, tls: ssl.SSLContext | None = None) -> AsyncIterator[Self]:
        """Listen on TCP, with TLS if `tls` is given, until the block ends."""
        self._tls = tls
        await self.listen()
        try:
            yield self
        finally:
            self.disconnect()

    @asynccontextmanager
    async def datagrams(self, path: Path | None = None) -> AsyncIterator[Self]:
        """Receive by UDP, or from a Unix socket at `path`, until the block ends."""
        sock = socket.socket(socket.AF_UNIX if path else socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        buffer_bytes = self.options.receive_buffer_bytes or DATAGRAM_BUFFER_BYTES
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
        sock.bind(str(path) if path else (LOOPBACK, self.address.port))
        self.path = str(path or "")
        if not path:
            self.address = Address(*sock.getsockname())
        self._datagram_sockets.append(sock)
        self.set_reading(self.options.is_reading)
        try:
            yield self
        finally:
            asyncio.get_running_loop().remove_reader(sock)
            self._datagram_sockets.remove(sock)
            sock.close()
            if path:
                path.unlink()

    @property
    def is_listening(self) -> bool:
        """Whether it accepts connections."""
        return self._listener is not None

    async def listen(self) -> None:
        """Accept connections, each time on the same port."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.options.receive_buffer_bytes:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.options.receive_buffer_bytes)
        listener.setblocking(False)
        listener.bind((LOOPBACK, self.address.port))
        listener.listen(ACCEPT_BACKLOG)
        self.address = Address(*listener.getsockname())
        self._listener = listener
        asyncio.get_running_loop().add_reader(listener, self._accept, listener)

    def disconnect(self) -> None:
        """Close the listener, and reset all connections."""
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None
        for stream in list(self._streams):
            stream.reset()

    def set_reading(self, is_reading: bool) -> None:
        """Stall, or resume reading."""
        self.options.is_reading = is_reading
        for stream in self._streams:
            stream.update_reading()
        loop = asyncio.get_running_loop()
        for sock in self._datagram_sockets:
            loop.remove_reader(sock)
            if is_reading:
                loop.add_reader(sock, self._receive_datagrams, sock)

    async def wait_until_disconnected(self) -> None:
        """Return once the senders have ended all connections."""
        while self._streams:
            await self._no_streams.wait()

    def receive(self, data: bytes) -> None:
        """Parse one message, and count it and pass it on, or note the error."""
        try:
            message = parse(data)
        except SyslogError as error:
            self.errors.append(f"{error}: {data[:ERROR_MESSAGE_BYTES]!r}")
            return
        self.message_count += 1
        if self.on_message:
            self.on_message(message)
        else:
            self.messages.append(message)

    def add_stream(self, stream: _Stream) -> None:
        """Add a connection that was opened."""
        self.connection_count += 1
        self._streams.add(stream)
        self._no_streams.clear()

    def remove_stream(self, stream: _Stream) -> None:
        """Remove a connection that has ended."""
        self._streams.discard(stream)
        if not self._streams:
            self._no_streams.set()

    def _accept(self, listener: socket.socket) -> None:
        """Accept without asyncio's server, which never ends a connection that it accepts while it closes."""
        with suppress(BlockingIOError):
            accepted, _ = listener.accept()
            accepted.setblocking(False)
            loop = asyncio.get_running_loop()
            handshake = loop.connect_accepted_socket(lambda: _Stream(self), accepted, ssl=self._tls)
            task = loop.create_task(handshake)
            self._handshakes.add(task)
            task.add_done_callback(self._on_handshake_done)

    def _on_handshake_done(self, task: asyncio.Task[Any]) -> None:
        self._handshakes.discard(task)
        if not task.cancelled():
            task.exception()  # retrieved, so that asyncio does not log it: the sender reports the failure

    def _receive_datagrams(self, sock: socket.socket) -> None:
        for _ in range(DATAGRAMS_PER_EVENT):
            try:
                self.receive(sock.recv(MAX_READ_BYTES))
            except BlockingIOError:
                return


class _Stream(asyncio.BufferedProtocol):
    """The connection of one sender."""

    def __init__(self, receiver: Receiver) -> None:
        self._receiver = receiver
        self._decoder = FrameDecoder(receiver.options.is_octet_counted)
        self._buffer = memoryview(bytearray(MAX_READ_BYTES))  # asyncio's TLS writes into slices of it
        self._transport: asyncio.Transport | None = None
        self._received_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add the connection, which is open and past any TLS handshake."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._receiver.add_stream(self)
        self.update_reading()

    def update_reading(self) -> None:
        """Read, or pause, according to the receiver's options."""
        if self._transport is None:  # the connection has ended, and is removed next
            return
        if self._receiver.options.is_reading:
            self._transport.resume_reading()
        else:
            self._transport.pause_reading()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into; its size limits the read."""
        return self._buffer[: self._receiver.options.max_read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Process the bytes read, and reset the connection if it reached its limit."""
        self._receive(bytes(self._buffer[:nbytes]))
        self._received_bytes += nbytes
        limit_bytes = self._receiver.options.reset_after_bytes
        if limit_bytes and self._received_bytes >= limit_bytes:
            self.reset()

    def _receive(self, data: bytes) -> None:
        try:
            for frame in self._decoder.feed(data):
                self._receiver.receive(frame)
        except SyslogError as error:
            self._receiver.errors.append(str(error))
            self.reset()

    def reset(self) -> None:
        """Reset the connection, and count the complete messages that were not read."""
        transport = self._transport
        self._transport = None
        if transport is None:
            return
        sock = transport.get_extra_info("socket")
        if not transport.get_extra_info("ssl_object"):
            self._count_unread(sock.fileno())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO_TIMEOUT)
        transport.abort()

    def _count_unread(self, descriptor: int) -> None:
        with socket.socket(fileno=socket.dup(descriptor)) as copy:
            try:
                while data := copy.recv(MAX_READ_BYTES):
                    self._receiver.unread_messages += len(self._decoder.feed(data))
            except (BlockingIOError, ConnectionError, SyslogError):
                pass

    def eof_received(self) -> None:
        """Drop the transport: asyncio closes it, and it can no longer be paused."""
        self._transport = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection, and count it if it ended within a frame."""
        self._transport = None
        self._receiver.remove_stream(self)
        self._receiver.truncated_streams += bool(self._decoder.incomplete)
