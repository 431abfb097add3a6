"""The connections to one endpoint, idle or active, and the attempts that wait for a connection."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from anisespool.balancer.interface import AttemptStatus
from anisespool.config.platform import Address
from anisespool.log import EventLimit
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.connection_settings import ConnectionSettings
from anisespool.upstream.pooled_connection import PooledConnection


@dataclass(slots=True, eq=False)
class ConnectionPool:
    """The connections to one endpoint at one address, for one run of its process."""

    address: Address
    started_ns: int
    """Start time of the endpoint's process in the endpoint list (monotonic ns; 0 if not given).

    A restart changes it.
    """
    accepts_requests: bool
    """Whether attempts may start: the endpoint is ready and not draining."""
    settings: ConnectionSettings
    open_connections: set[PooledConnection]
    """Open connections to all endpoints, shared by all pools to enforce the limit on sockets."""
    last_received_ns: int = 0
    """Time of the last input from the endpoint (monotonic ns); 0 before the first."""
    idle: list[PooledConnection] = field(default_factory=list)
    """Idle connections, the most recently used one last."""
    active: set[PooledConnection] = field(default_factory=set)
    """Connections that carry an attempt."""
    connecting: set[Attempt] = field(default_factory=set)
    """Attempts that wait for a new connection."""
    given_up_limit: EventLimit = field(default_factory=EventLimit)
    """Limits the log lines on responses that were given up."""
    host_header: bytes = field(init=False)

    def __post_init__(self) -> None:
        """Encode the Host header, which is the same for each request."""
        self.host_header = f"{self.address.host}:{self.address.port}".encode()

    def take_idle(self) -> PooledConnection | None:
        """Remove and return the most recently used idle connection that may carry a request, if any.

        Some responses are followed by a duplicate or by stray bytes. If these were read as the response to
        the next request, they would reach the wrong client. A connection is therefore reused only after
        `reuse_delay_s`, and only if there is nothing more to read. What the endpoint writes within this time,
        less a round trip, has arrived by then, because each response is acknowledged at once.
        """
        now_s = time.monotonic()
        # Connections may have reached the idle timeout since the last sweep.
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
        """Keep a connection for reuse; abort it if its transport closes, or the pool is full or retired."""
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
        """Close all idle connections if the endpoint has sent nothing since `since_ns` (monotonic).

        A machine that loses power or its network leaves its connections open. A request written to one of
        them would time out, or be reset after the machine's restart, and would count as possibly executed.
        A failed connect proves that nothing was executed.
        """
        if self.last_received_ns < since_ns:
            self.close_idle()

    def retire(self) -> None:
        """Stop using the endpoint: it is draining, no longer listed, or replaced by a new process.

        An attempt that waits for a connection or whose request is still entirely unsent would reach the
        endpoint after the drain. It ends as not executed, so that the balancer may retry it elsewhere. Other
        attempts continue.
        """
        self.accepts_requests = False
        self.close_idle()
        for attempt in list(self.connecting):
            attempt.finish(AttemptStatus.CONNECT_FAILED)
        for connection in [active for active in self.active if active.nothing_sent]:
            connection.withdraw()
