"""The endpoints of the service: starts attempts, opens connections and limits the number of connections."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from typing import Any, NamedTuple

from anisespool.balancer.interface import AttemptStatus
from anisespool.buffer_budget import MAX_LIMIT_BYTES, BufferBudget
from anisespool.config.platform import Address
from anisespool.input_scheduler import InputScheduler
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.connection_pool import ConnectionPool
from anisespool.upstream.connection_settings import ConnectionSettings
from anisespool.upstream.connector import open_connection
from anisespool.upstream.pooled_connection import PooledConnection
from anisespool.upstream.send_gate import AlwaysOpen, SendGate

# Idle timeout, as a share of the endpoint's keep-alive time. It is below 1 because a request that is sent
# while the endpoint closes the connection ends as a reset.
IDLE_TIMEOUT_SHARE = 0.75
REUSE_DELAY_S = 0.02  # default of `ConnectionSettings.reuse_delay_s`
MAX_IDLE_CONNECTIONS = 48  # default limit for each endpoint
DEFAULT_CONNECT_TIMEOUT_S = 1.0  # used if the platform sets no timeout
SWEEP_INTERVAL_SHARE = 0.25  # time between two sweeps, as a share of the idle timeout
MAX_SWEEP_INTERVAL_S = 1.0


class EndpointConnections(NamedTuple):
    """Number of idle connections to one endpoint, and of attempts that wait for a connection."""

    idle: int
    connecting: int
    """Number of attempts that wait for a new connection."""


class Cluster:
    """The endpoints that requests may be sent to, with a connection pool for each.

    Endpoints are identified by the numbers that the proxy assigns (proxy/endpoint_registry.py).

    Attributes:
        connections: All open connections.
        connecting_count: Number of connects in progress, over all endpoints.
    """

    def __init__(
        self,
        report_columns: tuple[str, ...],
        connect_timeout_ns: int,
        keepalive_ns: int,
        max_connections: int,
        reuse_delay_s: float = REUSE_DELAY_S,
        gate: SendGate | None = None,
        budget: BufferBudget | None = None,
        scheduler: InputScheduler | None = None,
    ) -> None:
        """Create a cluster without endpoints.

        Args:
            report_columns: Columns of an endpoint's load report, in the balancer's order.
            connect_timeout_ns: The platform's connect timeout; 0 selects `DEFAULT_CONNECT_TIMEOUT_S`.
            keepalive_ns: How long an endpoint keeps an idle connection open.
            max_connections: Limit on open connections and connects in progress, over all endpoints.
            reuse_delay_s: See `ConnectionSettings`.
            gate: Holds attempts back; None if nothing does.
            budget: What connections hold in memory, and its limit; None for one of its own.
            scheduler: Shares the event loop between connections with input; None for one of its own.
        """
        self._gate = gate or AlwaysOpen()
        self._default_connect_timeout_s = connect_timeout_ns / 1e9 or DEFAULT_CONNECT_TIMEOUT_S
        self._settings = ConnectionSettings(
            report_columns,
            self._default_connect_timeout_s,
            keepalive_ns / 1e9 * IDLE_TIMEOUT_SHARE,
            reuse_delay_s,
            MAX_IDLE_CONNECTIONS,
            budget or BufferBudget(MAX_LIMIT_BYTES),
            scheduler or InputScheduler(),
        )
        self._max_connections = max_connections
        self._pools: dict[int, ConnectionPool] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.connections: set[PooledConnection] = set()
        self.connecting_count = 0

    @property
    def connect_timeout_ns(self) -> int:
        """The connect timeout of new connections."""
        return round(self._settings.connect_timeout_s * 1e9)

    @property
    def pools(self) -> list[ConnectionPool]:
        """The connection pool of each endpoint."""
        return list(self._pools.values())

    def configure_connections(
        self, max_idle: int, reuse_delay_s: float, connect_timeout_s: float | None
    ) -> None:
        """Change connection settings at run time.

        Open connections stay open; a smaller `max_idle` takes effect as connections are released.

        Args:
            max_idle: Limit on idle connections for each endpoint.
            reuse_delay_s: See `ConnectionSettings`.
            connect_timeout_s: Connect timeout; None selects the platform's.
        """
        self._settings.max_idle = max_idle
        self._settings.reuse_delay_s = reuse_delay_s
        self._settings.connect_timeout_s = connect_timeout_s or self._default_connect_timeout_s

    def connection_counts(self, number: int) -> EndpointConnections:
        """Return the connection counts of an endpoint by its number; both are 0 if it is not listed."""
        pool = self._pools.get(number)
        if pool is None:
            return EndpointConnections(0, 0)
        return EndpointConnections(len(pool.idle), len(pool.connecting))

    def update(self, number: int, address: Address, started_ns: int, accepts_requests: bool) -> None:
        """Add an endpoint, or apply its new entry in the endpoint list.

        A new address or start time means that the process is a different one. Requests on connections to the
        old process would end as resets, so these connections are not used again.
        """
        pool = self._pools.get(number)
        if pool and pool.address == address and pool.started_ns == started_ns:
            if accepts_requests:
                pool.accepts_requests = True
            elif pool.accepts_requests:
                pool.retire()
            return
        if pool:
            pool.retire()
        self._pools[number] = ConnectionPool(
            address, started_ns, accepts_requests, self._settings, self.connections
        )

    def remove(self, number: int) -> None:
        """Remove an endpoint. Attempts that were sent to it continue until they finish."""
        if pool := self._pools.pop(number, None):
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, or hold it back until the gate opens. It may end before this method returns."""
        if self._gate.is_open():
            self._start(attempt)
        else:
            self._create_task(self._start_when_open(attempt))

    async def _start_when_open(self, attempt: Attempt) -> None:
        await self._gate.wait_open()
        if attempt.status is None:
            self._start(attempt)

    def _create_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start(self, attempt: Attempt) -> None:
        pool = self._pools.get(attempt.endpoint)
        if pool is None or not pool.accepts_requests:  # drained or removed after the decision
            attempt.finish(AttemptStatus.MOOT)
            return
        if not attempt.may_begin():
            return
        if connection := pool.take_idle():
            connection.start(attempt)
            return
        if len(self.connections) + self.connecting_count >= self._max_connections and not self._evict_idle():
            attempt.finish(AttemptStatus.CONNECT_FAILED)
            return
        self.connecting_count += 1
        pool.connecting.add(attempt)
        self._create_task(self._connect_and_start(pool, attempt))

    def close_idle(self, number: int) -> None:
        """Close the idle connections to an endpoint."""
        if pool := self._pools.get(number):
            pool.close_idle()

    async def sweep(self) -> None:
        """Close idle connections well before the endpoints would. Runs until it is cancelled."""
        idle_timeout_s = self._settings.idle_timeout_s
        while True:
            await asyncio.sleep(min(MAX_SWEEP_INTERVAL_S, idle_timeout_s * SWEEP_INTERVAL_SHARE))
            for pool in self._pools.values():
                pool.close_idle_before(time.monotonic() - idle_timeout_s)

    async def _connect_and_start(self, pool: ConnectionPool, attempt: Attempt) -> None:
        """Open a connection and start the attempt on it, unless the attempt has ended meanwhile."""
        try:
            connection = await open_connection(pool, attempt.started_ns)
            await self._gate.wait_open()
        finally:
            self.connecting_count -= 1
            pool.connecting.discard(attempt)
        if connection is None:
            attempt.finish(AttemptStatus.CONNECT_FAILED)
        elif not connection.is_usable():
            # The connection was lost before it carried the attempt, so `connection_lost` could not end it.
            connection.abort()
            attempt.finish(AttemptStatus.CONNECT_FAILED)
        elif not attempt.may_begin():
            pool.release(connection)  # the attempt ended meanwhile, and others can use the connection
        else:
            connection.start(attempt)

    def _evict_idle(self) -> bool:
        """Close the connection that has been idle longest at any endpoint; return False if none is idle."""
        pools = [pool for pool in self._pools.values() if pool.idle]
        if not pools:
            return False
        longest_idle_pool = min(pools, key=lambda pool: pool.idle[0].idle_since_s)
        longest_idle_pool.idle.pop(0).abort()
        return True
