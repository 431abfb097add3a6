"""The connections to one endpoint: idle ones kept for reuse, active ones, and attempts that wait for one."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from anisespool.balancer.interface import AttemptStatus
from anisespool.config.platform import Address
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.connection_settings import ConnectionSettings
from anisespool.upstream.pooled_connection import PooledConnection


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one endpoint at one address, for one start of its process."""

    address: Address
    started_ns: int
    """When the endpoint's process started, by the endpoint list; a restart has another value."""
    accepts_requests: bool
    """Whether attempts may start: the endpoint is ready and not draining."""
    settings: ConnectionSettings
    open_connections: set[PooledConnection]
    """Open connections to all endpoints; shared by all pools, for the limit on sockets."""
    last_received_ns: int = 0
    """When any byte last came from the endpoint (monotonic ns); 0: never."""
    idle: list[PooledConnection] = field(default_factory=list)
    """The most recently used one is the last."""
    active: set[PooledConnection] = field(default_factory=set)
    """Those that carry an attempt."""
    connecting: set[Attempt] = field(default_factory=set)
    """Attempts that wait for a new connection."""
    host_header: bytes = field(init=False)

    def __post_init__(self) -> None:
        """Encode what is the same for each request."""
        self.host_header = f"{self.address.host}:{self.address.port}".encode()

    def take_idle(self) -> PooledConnection | None:
        """Remove and return the most recently used idle connection that may carry a request, if any.

        Some responses are followed by a duplicate or by stray bytes. Read as the response to the next request
        these would reach the wrong client, so a connection is not reused before `reuse_delay_s` has passed
        with nothing more to read.
        """
        now_s = time.monotonic()
        # The endpoint may have closed these since the last sweep.
        self.close_idle_before(now_s - self.settings.idle_timeout_s)
        latest_s = now_s - self.settings.reuse_delay_s
        for index in reversed(range(len(self.idle))):
            if self.idle[index].idle_since_s <= latest_s:
                connection = self.idle.pop(index)
                if connection.is_usable():
                    return connection
                connection.abort()
        return None

    def release(self, connection: PooledConnection) -> None:
        """Keep a connection for reuse. Close it if it is closing, or the pool full or retired."""
        if self.accepts_requests and len(self.idle) < self.settings.max_idle and not connection.is_closing:
            connection.idle_since_s = time.monotonic()
            self.idle.append(connection)
        else:
            connection.abort()

    def close_idle(self) -> None:
        """Close all idle connections."""
        idle = self.idle
        self.idle = []
        for connection in idle:
            connection.abort()

    def close_idle_before(self, time_s: float) -> None:
        """Close the connections that have been idle since before `time_s` (monotonic)."""
        while self.idle and self.idle[0].idle_since_s < time_s:
            self.idle.pop(0).abort()

    def close_idle_if_silent(self, since_ns: int) -> None:
        """Close all idle connections if nothing has come from the endpoint since `since_ns` (monotonic).

        A machine that lost power or network leaves its connections open. A request written to one of them
        would end in a timeout, or in a reset after the machine's restart, and count as possibly executed; a
        connect that fails proves that nothing was executed.
        """
        if self.last_received_ns < since_ns:
            self.close_idle()

    def retire(self) -> None:
        """Stop using the endpoint: it is draining, not listed any more, or another process.

        An attempt that still waits for a connection, or of which no byte was handed to the kernel, would
        arrive after the drain. It ends as not executed, so that the balancer may retry it elsewhere. Others
        finish.
        """
        self.accepts_requests = False
        self.close_idle()
        for attempt in list(self.connecting):
            attempt.finish(AttemptStatus.CONNECT_FAILED)
        for connection in [one for one in self.active if one.nothing_sent]:
            connection.withdraw()
