"""Internals of a sidecar's own connections that tests need, and why each has no public form."""

from __future__ import annotations

import asyncio

from anisespool.listener.connection import ClientConnection
from anisespool.upstream.connection import Connection


def transport_of(connection: object) -> asyncio.Transport:
    """The transport of a client's connection, or of one to an endpoint.

    Private, as only the connection itself may write to its transport or pause it. Tests stop its reading, so
    that input stays in the kernel at an instant that no peer could hit, and read its socket's options.
    """
    assert isinstance(connection, ClientConnection | Connection)
    transport = connection._transport
    assert transport
    return transport


def parsed_bytes(connection: object) -> int:
    """Bytes of the response that a connection to an endpoint has parsed; 0 where it has no attempt.

    Private, as a response is used only once it is complete. Tests end a connection at a given byte of one.
    """
    assert isinstance(connection, Connection)
    parser = connection._parser
    return parser._message.raw_bytes if parser else 0
