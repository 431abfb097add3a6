"""Opens one connection to an endpoint."""

from __future__ import annotations

import asyncio
import socket
from functools import partial

from anisespool import tcp
from anisespool.upstream.connection import Connection
from anisespool.upstream.connection_pool import ConnectionPool


async def open_connection(pool: ConnectionPool, since_ns: int) -> Connection | None:
    """Open a connection for a pool within its connect timeout; return None if that fails.

    Args:
        pool: The endpoint's pool. After a timeout, its idle connections are closed if the endpoint has sent
            nothing since `since_ns`.
        since_ns: Start time of the attempt that waits for the connection (monotonic ns).
    """
    loop = asyncio.get_running_loop()
    connection: Connection | None = None
    sock: socket.socket | None = None
    try:
        # asyncio sets TCP_NODELAY only on sockets that are created with an explicit protocol.
        kind = socket.SOCK_STREAM | socket.SOCK_NONBLOCK
        sock = socket.socket(socket.AF_INET, kind, socket.IPPROTO_TCP)
        # Set from the start, because it also has to hold when the process is killed.
        tcp.discard_undelivered_on_close(sock)
        # create_connection() without a socket would resolve the address each time, at twice the cost.
        async with asyncio.timeout(pool.settings.connect_timeout_s):
            await loop.sock_connect(sock, pool.address)
        # This call is outside the timeout, which could expire after the new connection took over the socket.
        _, connection = await loop.create_connection(partial(Connection, pool, sock), sock=sock)
    except TimeoutError:
        pool.close_idle_if_silent(since_ns)
    except OSError:
        pass
    finally:
        if sock and connection is None:
            sock.close()
    return connection
