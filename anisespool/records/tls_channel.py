"""A channel to a syslog receiver over TLS (RFC 5425)."""

from __future__ import annotations

import asyncio
import socket
import ssl
from contextlib import suppress
from typing import NamedTuple

from anisespool.config.platform import Address
from anisespool.records.transports import TcpChannel, connect_tcp, wait_writable

# Maximum plaintext of a TLS record (RFC 8446, 5.1).
MAX_TLS_RECORD_BYTES = 16_384
READ_BYTES = 65_536


class TlsSettings(NamedTuple):
    """Settings that verify the receiver."""

    context: ssl.SSLContext
    server_name: str
    """The name that the receiver's certificate has to have."""


def load_tls_settings(
    ca_file: str, server_name: str, certificate_file: str | None, key_file: str | None
) -> TlsSettings:
    """Return settings that verify the receiver's certificate with `ca_file` (RFC 5425, 4.2.1).

    Raises:
        OSError: A file is missing or invalid (ssl.SSLError is a subclass).
    """
    context = ssl.create_default_context(cafile=ca_file)
    if certificate_file:
        context.load_cert_chain(certificate_file, key_file)
    return TlsSettings(context, server_name)


class TlsChannel(TcpChannel):
    """A TLS channel. See `Channel`.

    Each write is one TLS record, which the receiver can read only once its last byte has arrived. Its frames
    therefore count as sent only when all of its bytes are sent.
    """

    max_write_bytes = MAX_TLS_RECORD_BYTES

    def __init__(
        self, sock: socket.socket, tls: ssl.SSLObject, incoming: ssl.MemoryBIO, outgoing: ssl.MemoryBIO
    ) -> None:
        """Create a channel from a connected socket after its TLS handshake."""
        self._tls = tls
        self._incoming = incoming
        self._outgoing = outgoing
        super().__init__(sock)

    @classmethod
    async def connect_tls(cls, address: Address, settings: TlsSettings) -> TlsChannel:
        """Open a connection and verify the receiver.

        Raises:
            OSError: The connection failed, or the certificate is invalid (ssl.SSLError is a subclass).
            ValueError: TLS can't request this server name.
        """
        sock = await connect_tcp(address)
        incoming = ssl.MemoryBIO()
        outgoing = ssl.MemoryBIO()
        try:
            tls = settings.context.wrap_bio(incoming, outgoing, server_hostname=settings.server_name)
            await _handshake(sock, tls, incoming, outgoing)
            return cls(sock, tls, incoming, outgoing)
        except BaseException:
            sock.close()
            raise

    async def write(self, frames: list[bytes]) -> None:
        """See `Channel.write`."""
        self.frames_sent = 0
        self._tls.write(b"".join(frames))
        data = memoryview(self._outgoing.read())
        sent_bytes = 0
        while sent_bytes < len(data):
            try:
                sent_bytes += self._sock.send(data[sent_bytes:])
            except BlockingIOError:
                await wait_writable(self._sock)
        self.frames_sent = len(frames)

    def _on_readable(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
            self._incoming.write(data)
            while data and self._tls.read(READ_BYTES):
                pass
        except (BlockingIOError, ssl.SSLWantReadError):
            return  # Session tickets, for example, contain no data to read.
        except OSError:  # An alert from the receiver, for example.
            pass
        self._set_closed()

    def close(self) -> None:
        """See `Channel.close`. Sends close_notify if the kernel accepts it at once."""
        with suppress(OSError):
            self._tls.unwrap()
        with suppress(OSError):
            self._sock.send(self._outgoing.read())
        super().close()


async def _handshake(
    sock: socket.socket, tls: ssl.SSLObject, incoming: ssl.MemoryBIO, outgoing: ssl.MemoryBIO
) -> None:
    loop = asyncio.get_running_loop()
    while True:
        try:
            tls.do_handshake()
        except ssl.SSLWantReadError:
            await loop.sock_sendall(sock, outgoing.read())
            data = await loop.sock_recv(sock, READ_BYTES)
            if not data:
                raise ConnectionResetError("connection closed during the TLS handshake") from None
            incoming.write(data)
            continue
        await loop.sock_sendall(sock, outgoing.read())
        return
