"""The listener: binds the address, accepts client connections and times them out."""

from __future__ import annotations

import asyncio
import socket
import time

from anisespool.balancer import Settings
from anisespool.config.platform import Address, NameIndex
from anisespool.listener.connection import ClientConnection
from anisespool.listener.connection_table import ConnectionTable
from anisespool.listener.keepalive import KeepAlivePolicy
from anisespool.listener.listener_context import RejectionCallback
from anisespool.listener.timeouts import IDLE_TIMEOUT_S
from anisespool.listener.tracked_connection import TrackedConnection
from anisespool.log import log_event
from anisespool.proxy.proxy import Proxy

BACKLOG_CONNECTIONS = 512  # accepted by the kernel; it drops more
MAX_ACCEPTED_CONNECTIONS = 8  # in one iteration of the event loop
ACCEPT_RETRY_S = 0.05  # with no descriptor left
SWEEP_INTERVAL_S = 0.1


class Server:
    """Accepts connections itself, so that nothing in the backlog is reset when it closes.

    Attributes:
        proxy: Carries out valid requests.
        names: Request classes and tenants by name.
        settings: The platform's settings.
        table: All connections.
        stopping: Whether a graceful shutdown has begun; connections close with their response.
        idle_timeout_s: After which an idle connection that was used before is closed.
        open_trace_ids: Trace ids of the open requests.
        on_reject: Called with each response that the listener gives itself; None: not needed.
    """

    def __init__(
        self, proxy: Proxy, names: NameIndex, settings: Settings, max_connections: int, descriptors: int
    ) -> None:
        """Create a listener without a socket.

        Args:
            proxy: Carries out valid requests.
            names: Request classes and tenants by name.
            settings: The platform's settings.
            max_connections: Limit on client connections.
            descriptors: Limit on descriptors of the whole process.
        """
        self.proxy = proxy
        self.names = names
        self.settings = settings
        self.table = ConnectionTable(KeepAlivePolicy(descriptors), max_connections)
        self.stopping = False
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.open_trace_ids: set[bytes] = set()
        self.on_reject: RejectionCallback | None = None
        self._listener: socket.socket | None = None
        self._accept_tasks: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> list[TrackedConnection]:
        """All open connections."""
        return self.table.connections

    def bind(self, address: Address) -> None:
        """Reserve the address; connections are refused until `listen`.

        Raises:
            OSError: The address is in use or not available.
        """
        # Unless the protocol is named, asyncio leaves TCP_NODELAY off on accepted sockets: a response behind
        # another would be delayed by the kernel, and lost with a reset.
        self._listener = listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(address)

    def listen(self) -> Address:
        """Accept connections from now on; returns the bound address.

        Raises:
            OSError: Another process listens on the address.
        """
        assert self._listener
        self._listener.listen(BACKLOG_CONNECTIONS)
        self._start_accepting()
        return Address(*self._listener.getsockname())

    async def sweep(self) -> None:
        """Apply the timeouts of inactive connections until cancelled, in place of a timer for each."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now_s = time.monotonic()
            self.table.close_silent(now_s)
            for connection in self.table.inactive:
                connection.apply_timeouts(now_s)
            for connection in list(self.table.paused):
                connection.close_if_peer_closed()

    async def close_listener(self) -> None:
        """Accept the connections in the backlog, then close the socket."""
        if self._listener:
            asyncio.get_running_loop().remove_reader(self._listener)
            while self._accept_one():  # closing resets whatever is left in the backlog
                pass
            self._listener.close()
            self._listener = None
        if self._accept_tasks:
            await asyncio.wait(self._accept_tasks)

    def _start_accepting(self) -> None:
        if self._listener:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        """Accept at most `MAX_ACCEPTED_CONNECTIONS`.

        Each may evict another connection, whose descriptor is free only in the loop's next iteration.
        """
        for _ in range(MAX_ACCEPTED_CONNECTIONS):
            if not self._accept_one():
                return

    def _accept_one(self) -> bool:
        """Accept one connection; returns whether there may be more."""
        loop = asyncio.get_running_loop()
        if not self._listener:
            return False
        try:
            client_socket, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as error:
            # With no descriptor left the listener stays readable, and the loop would spin on it.
            log_event("listener_accept_failed", error=error, retry_s=ACCEPT_RETRY_S)
            loop.remove_reader(self._listener)
            loop.call_later(ACCEPT_RETRY_S, self._start_accepting)
            return False
        self.table.evict_if_full()
        client_socket.setblocking(False)
        self.table.accepting += 1
        task = loop.create_task(self._connect(client_socket))
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)
        return True

    async def _connect(self, client_socket: socket.socket) -> None:
        """Make an accepted socket a connection."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self, self.table), client_socket)
        except OSError:  # the client may have reset it already
            self.table.accepting -= 1
