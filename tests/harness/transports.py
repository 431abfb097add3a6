"""The transport below a sidecar's own connection."""

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
