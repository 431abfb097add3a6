"""The listening socket: accepts connections as far as descriptors allow.

Connections are accepted without asyncio's server, so that closing the listener resets none in the backlog.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from enum import Enum

from anisespool.config.platform import Address
from anisespool.listener.connection_table import ConnectionTable
from anisespool.log import log_event

BACKLOG_CONNECTIONS = 512  # limit on connections that wait in the kernel, which drops further ones
# Limits for each iteration of the event loop: on accepted connections, and on those that are closed for them,
# whose descriptors are free only in the next iteration.
MAX_ACCEPTED_CONNECTIONS = 64
MAX_EVICTED_CONNECTIONS = 12
MAX_GIVEN_UP_REQUESTS = 32  # limit on the partial requests that are given up at once for their descriptors
ACCEPT_RETRY_S = 0.05  # delay before accepting again after an error such as a lack of descriptors
FULL_RETRY_S = 0.002  # delay before accepting again if no connection could be closed for another
MAX_BACKLOG_S = 0.5  # time to accept the backlog before the listener closes
BEHIND_NS = 1_000_000_000  # after accepting was limited, connections may have waited for so long


class _Accepted(Enum):
    CONNECTION = "connection"
    NONE = "none"
    """No connection waits."""
    FAILED = "failed"
    """Descriptors or memory of the system are short."""


class Acceptor:
    """Accepts connections, and ends others for them at the limit of the connection table."""

    def __init__(
        self, table: ConnectionTable, make_connection: Callable[[], asyncio.BufferedProtocol]
    ) -> None:
        """Create an acceptor without a socket.

        Args:
            table: The connections, and their limit.
            make_connection: Creates the protocol object of an accepted connection.
        """
        self._table = table
        self._make_connection = make_connection
        self._socket: socket.socket | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._limited_at = -BEHIND_NS

    def bind(self, address: Address) -> None:
        """Reserve the address; connections are refused until `listen` is called.

        Raises:
            OSError: The address is in use or not available.
        """
        # asyncio sets TCP_NODELAY on accepted sockets only if the protocol is explicit. Without TCP_NODELAY,
        # the kernel would delay a response that follows another one, and a reset would discard it.
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.setblocking(False)
        self._socket.bind(address)

    def listen(self) -> Address:
        """Start accepting connections, and return the bound address.

        Raises:
            OSError: Another process listens on the address.
        """
        assert self._socket
        self._socket.listen(BACKLOG_CONNECTIONS)
        self._start()
        return Address(*self._socket.getsockname())

    def is_behind(self, now_ns: int) -> bool:
        """Return whether connections that are new now may have waited to be accepted."""
        return now_ns - self._limited_at < BEHIND_NS

    async def close(self, timeout_s: float) -> None:
        """Accept the connections in the backlog, then close the listening socket.

        Closing resets those that are left in the backlog because no descriptor is free in time.

        Args:
            timeout_s: Limit on the time to accept them; at most `MAX_BACKLOG_S` is used.
        """
        loop = asyncio.get_running_loop()
        if self._socket:
            loop.remove_reader(self._socket)
            deadline_s = loop.time() + min(timeout_s, MAX_BACKLOG_S)
            is_empty = self._accept_some()
            while not is_empty and loop.time() < deadline_s:
                await asyncio.sleep(FULL_RETRY_S)
                is_empty = self._accept_some()
            loop.remove_reader(self._socket)
            self._socket.close()
            self._socket = None
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start(self) -> None:
        if self._socket:
            asyncio.get_running_loop().add_reader(self._socket, self._accept_some)

    def _pause(self, pause_s: float) -> None:
        """Accept no connection for a while. Those that clients open meanwhile wait in the kernel."""
        if self._socket:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._socket)
            loop.call_later(pause_s, self._start)

    def _accept_some(self) -> bool:
        """Accept connections up to the limits of one iteration; return whether none is left."""
        evicted = 0
        for _ in range(MAX_ACCEPTED_CONNECTIONS):
            if self._table.is_at_limit:
                if evicted == MAX_EVICTED_CONNECTIONS:
                    break
                evicted += 1
                if not self._table.evict() and self._table.is_full:
                    self._table.give_up_partial_requests(MAX_GIVEN_UP_REQUESTS)
                    self._pause(FULL_RETRY_S)
                    break
            accepted = self._accept_one()
            if accepted is not _Accepted.CONNECTION:
                return accepted is _Accepted.NONE
        self._limited_at = time.monotonic_ns()
        return False

    def _accept_one(self) -> _Accepted:
        if not self._socket:
            return _Accepted.NONE
        try:
            client_socket, _ = self._socket.accept()
        except (BlockingIOError, InterruptedError):
            return _Accepted.NONE
        except ConnectionError:  # this one has ended while it waited; others may wait behind it
            return _Accepted.CONNECTION
        except OSError as error:
            # Without a free descriptor the listening socket stays readable, and the event loop would spin.
            log_event("listener_accept_failed", error=error, retry_s=ACCEPT_RETRY_S)
            self._pause(ACCEPT_RETRY_S)
            return _Accepted.FAILED
        client_socket.setblocking(False)
        self._table.accepting += 1
        task = asyncio.get_running_loop().create_task(self._create_connection(client_socket))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return _Accepted.CONNECTION

    async def _create_connection(self, client_socket: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(self._make_connection, client_socket)
        except OSError:  # the client may have reset the connection already
            self._table.accepting -= 1
