"""Access to private attributes of a sidecar's connections, with the reason why tests need each."""

from __future__ import annotations

import asyncio

from anisespool.listener.connection import ClientConnection
from anisespool.upstream.connection import Connection


def transport_of(connection: object) -> asyncio.Transport:
    """Return the transport of a client's connection, or of a connection to an endpoint.

    It is private because only the connection itself may write to its transport or pause it. Tests pause its
    reading, so that input stays in the kernel from a moment on that a peer could not hit exactly. They also
    read its socket options.
    """
    assert isinstance(connection, ClientConnection | Connection)
    transport = connection._transport
    assert transport
    return transport


def parsed_bytes(connection: object) -> int:
    """Return how many bytes of the response a connection to an endpoint has parsed; 0 without an attempt.

    The parser is private because a response is used only when it is complete. Tests close a connection at a
    given byte of the response.
    """
    assert isinstance(connection, Connection)
    parser = connection._parser
    return parser._message.raw_bytes if parser else 0
