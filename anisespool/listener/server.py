"""The listener: what its client connections share, and the periodic check of their timeouts."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from anisespool.balancer import Settings
from anisespool.buffer_budget import BufferBudget
from anisespool.codec.http1 import Request
from anisespool.config.platform import Address, NameIndex
from anisespool.input_scheduler import InputScheduler
from anisespool.listener.acceptor import Acceptor
from anisespool.listener.connection import ClientConnection
from anisespool.listener.connection_table import ConnectionTable
from anisespool.listener.keepalive import KeepAlivePolicy
from anisespool.listener.listener_context import RejectionCallback
from anisespool.listener.request import timeout_ns_of
from anisespool.listener.timeouts import IDLE_TIMEOUT_S
from anisespool.listener.tracked_connection import TrackedConnection
from anisespool.log import EventLimit, log_event
from anisespool.loop_delay import CHECK_INTERVAL_NS, LoopDelay
from anisespool.proxy.proxy import Proxy

READ_BYTES = 64 * 1024
TURNS_TO_READ = 3  # turns of the event loop after which it has read what arrived before the first one
SWEEP_INTERVAL_S = CHECK_INTERVAL_NS / 1e9


class Server:
    """All client connections of a sidecar.

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
        self._acceptor = Acceptor(self.table, lambda: ClientConnection(self, self.table))

    @property
    def connections(self) -> list[TrackedConnection]:
        """All open connections."""
        return self.table.connections

    def bind(self, address: Address) -> None:
        """Reserve the address; connections are refused until `listen` is called.

        Raises:
            OSError: The address is in use or not available.
        """
        self._acceptor.bind(address)

    def listen(self) -> Address:
        """Start accepting connections, and return the bound address.

        Raises:
            OSError: Another process listens on the address.
        """
        return self._acceptor.listen()

    async def close_listener(self, timeout_s: float) -> None:
        """Accept the connections in the backlog, as far as that takes no longer, then close the listener."""
        await self._acceptor.close(timeout_s)

    def timeout_ns_of(self, request: Request) -> int | None:
        """Return how long the client of a request waits for its response; None without a limit."""
        return timeout_ns_of(request, self.names, self.settings)

    def may_read_late(self, now_ns: int) -> bool:
        """Return whether input that is read now may have arrived a while ago, as others came first."""
        return self.scheduler.is_busy or self._acceptor.is_behind(now_ns)

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
