"""The listener: binds the address, accepts client connections and applies their timeouts."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable

from anisespool.balancer import Settings
from anisespool.buffer_budget import BufferBudget
from anisespool.config.platform import Address, NameIndex
from anisespool.input_scheduler import InputScheduler
from anisespool.listener.connection import ClientConnection
from anisespool.listener.connection_table import ConnectionTable
from anisespool.listener.keepalive import KeepAlivePolicy
from anisespool.listener.listener_context import RejectionCallback
from anisespool.listener.timeouts import IDLE_TIMEOUT_S
from anisespool.listener.tracked_connection import TrackedConnection
from anisespool.log import EventLimit, log_event
from anisespool.loop_delay import CHECK_INTERVAL_NS, LoopDelay
from anisespool.proxy.proxy import Proxy

BACKLOG_CONNECTIONS = 512  # limit on connections that wait in the kernel, which drops further ones
# Limits for each iteration of the event loop: on accepted connections, and on those of them that were
# accepted while others had to be closed for them, whose descriptors are free only in the next iteration.
MAX_ACCEPTED_CONNECTIONS = 64
MAX_EVICTING_CONNECTIONS = 8
ACCEPT_RETRY_S = 0.05  # delay before accepting again after an error such as a lack of descriptors
FULL_RETRY_S = 0.02  # delay before accepting again at the limit on connections
READ_BYTES = 64 * 1024
TURNS_TO_READ = 3  # turns of the event loop after which it has read what arrived before the first one
SWEEP_INTERVAL_S = CHECK_INTERVAL_NS / 1e9


class Server:
    """Accepts connections without asyncio's server, so that closing the listener resets none in the backlog.

    Attributes:
        proxy: Handles valid requests.
        names: Request classes and tenants by name.
        settings: The platform's settings.
        table: All connections.
        stopping: Whether a graceful shutdown has begun, during which connections close after their response.
        idle_timeout_s: Idle time after which a connection that has sent a request is closed.
        open_trace_ids: Trace ids of the open requests.
        on_reject: Called with each response that the listener itself produces; None if not needed.
        loop_delay: The delay of the event loop, which the sweep checks.
        budget: What connections hold in memory, and its limit.
        scheduler: Shares the event loop between connections with input.
        read_buffer: The buffer of the read in progress.
    """

    def __init__(
        self,
        proxy: Proxy,
        names: NameIndex,
        settings: Settings,
        max_connections: int,
        descriptors: int,
        loop_delay: LoopDelay,
        budget: BufferBudget,
        scheduler: InputScheduler,
        on_sweep: Callable[[int], None],
    ) -> None:
        """Create a listener without a socket.

        Args:
            proxy: Handles valid requests.
            names: Request classes and tenants by name.
            settings: The platform's settings.
            max_connections: Limit on the number of client connections.
            descriptors: Limit on the number of descriptors of the whole process.
            loop_delay: The delay of the event loop.
            budget: What connections hold in memory, and its limit.
            scheduler: Shares the event loop between connections with input.
            on_sweep: Called by each sweep with the number of open connections.
        """
        self.proxy = proxy
        self.names = names
        self.settings = settings
        self.table = ConnectionTable(KeepAlivePolicy(descriptors), max_connections)
        self.stopping = False
        self.idle_timeout_s = IDLE_TIMEOUT_S
        self.open_trace_ids: set[bytes] = set()
        self.on_reject: RejectionCallback | None = None
        self.loop_delay = loop_delay
        self.budget = budget
        self.scheduler = scheduler
        self.read_buffer = memoryview(bytearray(READ_BYTES))
        self._on_sweep = on_sweep
        self._delay_limit = EventLimit()
        self._listening_socket: socket.socket | None = None
        self._accept_tasks: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> list[TrackedConnection]:
        """All open connections."""
        return self.table.connections

    def bind(self, address: Address) -> None:
        """Reserve the address; connections are refused until `listen` is called.

        Raises:
            OSError: The address is in use or not available.
        """
        # asyncio sets TCP_NODELAY on accepted sockets only if the protocol is explicit. Without TCP_NODELAY,
        # the kernel would delay a response that follows another one, and a reset would discard it.
        self._listening_socket = listening_socket = socket.socket(
            socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
        )
        listening_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening_socket.setblocking(False)
        listening_socket.bind(address)

    def listen(self) -> Address:
        """Start accepting connections, and return the bound address.

        Raises:
            OSError: Another process listens on the address.
        """
        assert self._listening_socket
        self._listening_socket.listen(BACKLOG_CONNECTIONS)
        self._start_accepting()
        return Address(*self._listening_socket.getsockname())

    async def sweep(self) -> None:
        """Close connections after timeouts and, if they are paused, after disconnects. Runs until cancelled.

        One periodic check replaces a timer for each connection, and shows how late the event loop is.
        """
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            await self._check_delay()
            self._on_sweep(len(self.table))
            now_s = time.monotonic()
            self.table.close_silent(now_s)
            for connection in self.table.inactive:
                connection.apply_timeouts(now_s)
            for connection in list(self.table.paused):
                connection.check_paused()

    async def _check_delay(self) -> None:
        """Check how late the event loop is.

        In the first turn of a late loop timers may run before any input is read: a process that continues
        after a stop returns from its wait for events without one (EINTR). Therefore the check counts as run
        only some turns later.
        """
        if self.loop_delay.is_overdue(time.monotonic_ns()):
            for _ in range(TURNS_TO_READ):
                await asyncio.sleep(0)
        delay_ns = self.loop_delay.check_ran(time.monotonic_ns())
        if delay_ns and (count := self._delay_limit.count_to_log("")):
            open_requests = len(self.table.active)
            log_event("event_loop_delayed", delay_ms=delay_ns // 1_000_000, open=open_requests, count=count)

    async def close_listener(self) -> None:
        """Accept the connections in the backlog, then close the listening socket."""
        if self._listening_socket:
            asyncio.get_running_loop().remove_reader(self._listening_socket)
            while self._accept_one():  # closing would reset connections left in the backlog
                pass
            self._listening_socket.close()
            self._listening_socket = None
        if self._accept_tasks:
            await asyncio.wait(self._accept_tasks)

    def _start_accepting(self) -> None:
        if self._listening_socket:
            asyncio.get_running_loop().add_reader(self._listening_socket, self._accept)

    def _accept(self) -> None:
        """Accept the connections that wait, up to the limits for one iteration."""
        evicting = 0
        for _ in range(MAX_ACCEPTED_CONNECTIONS):
            if self.table.is_full:
                self._make_room()
                return
            evicting += self.table.is_at_limit
            if evicting > MAX_EVICTING_CONNECTIONS or not self._accept_one():
                return

    def _make_room(self) -> None:
        """End some connections, and accept others once their descriptors are free."""
        for _ in range(MAX_EVICTING_CONNECTIONS):
            self.table.evict_if_full()
        self._pause_accepting(FULL_RETRY_S)

    def _pause_accepting(self, pause_s: float) -> None:
        """Accept no connection for a while. Those that clients open meanwhile wait in the kernel."""
        if self._listening_socket:
            loop = asyncio.get_running_loop()
            loop.remove_reader(self._listening_socket)
            loop.call_later(pause_s, self._start_accepting)

    def _accept_one(self) -> bool:
        """Accept one connection, and return whether there may be more."""
        loop = asyncio.get_running_loop()
        if not self._listening_socket:
            return False
        try:
            client_socket, _ = self._listening_socket.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return False
        except OSError as error:
            # Without a free descriptor the listening socket stays readable, and the event loop would spin.
            log_event("listener_accept_failed", error=error, retry_s=ACCEPT_RETRY_S)
            self._pause_accepting(ACCEPT_RETRY_S)
            return False
        self.table.evict_if_full()
        client_socket.setblocking(False)
        self.table.accepting += 1
        task = loop.create_task(self._create_connection(client_socket))
        self._accept_tasks.add(task)
        task.add_done_callback(self._accept_tasks.discard)
        return True

    async def _create_connection(self, client_socket: socket.socket) -> None:
        """Create the `ClientConnection` of an accepted socket."""
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: ClientConnection(self, self.table), client_socket)
        except OSError:  # the client may have reset the connection already
            self.table.accepting -= 1
