"""Graceful shutdown of a listener: every request that this process received gets its response."""

from __future__ import annotations

import asyncio

from anisespool.listener.close_reason import CloseReason
from anisespool.listener.server import Server
from anisespool.listener.tracked_connection import TrackedConnection
from anisespool.log import log_event

PARTIAL_REQUEST_GRACE_S = 1.0  # time to receive the rest of a request after the listener closes
POLL_INTERVAL_S = 0.01
BACKLOG_SHARE = 0.25  # of the time that is left, to accept what waits before the listener closes
FLUSH_RESERVE_S = 0.05  # time from the proxy's last response to the end of the shutdown (proxy/deadlines.py)


async def shut_down(server: Server, accept_s: float, timeout_s: float) -> None:
    """Accept connections for a while longer, respond to all received requests and close all connections.

    Args:
        server: The listener. From now on its connections close after their response.
        accept_s: How long new connections are still accepted, in seconds.
        timeout_s: Limit on the whole shutdown, whatever endpoints do and however long clients would wait.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    server.stopping = True
    server.proxy.set_shutdown_deadline(int((deadline_s - FLUSH_RESERVE_S) * 1e9))
    # Clients would keep using an idle connection. If it closes now, they can still reconnect.
    server.table.close_idle(CloseReason.SHUTDOWN)
    await asyncio.sleep(min(accept_s, timeout_s))
    await server.close_listener(max(0.0, deadline_s - loop.time()) * BACKLOG_SHARE)
    await _wait_for_connections(server, deadline_s)
    server.table.close_idle(CloseReason.SHUTDOWN)
    # The process may write its records for some time yet. A request completed meanwhile could be executed
    # without a response to its client.
    for connection in server.connections:
        connection.abort(CloseReason.SHUTDOWN)
    await asyncio.sleep(0)  # lets the event loop close the connections


async def _wait_for_connections(server: Server, deadline_s: float) -> None:
    """Wait until no connection is in use, or until the deadline (loop time)."""
    loop = asyncio.get_running_loop()
    partial_until_s = min(loop.time() + PARTIAL_REQUEST_GRACE_S, deadline_s)
    # A request may still be arriving on any connection, including those just accepted.
    await asyncio.sleep(2 * POLL_INTERVAL_S)
    while any(_in_use(connection, partial_until_s) for connection in server.connections):
        if loop.time() >= deadline_s:
            count = sum(_in_use(connection, partial_until_s) for connection in server.connections)
            log_event("graceful_shutdown_timed_out", count=count)
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def _in_use(connection: TrackedConnection, partial_until_s: float) -> bool:
    """Whether a response is due or unsent, input unread, or a request incomplete until `partial_until_s`."""
    if connection.has_pending_response or connection.has_unsent_output:
        return True
    if not connection.is_idle and asyncio.get_running_loop().time() < partial_until_s:
        return True
    return connection.has_unread_input
