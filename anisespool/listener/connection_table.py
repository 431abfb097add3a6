"""Connections of one listener by their state, and their limit."""

from __future__ import annotations

import time
from itertools import islice

from anisespool.listener.eviction import (
    MAX_CANDIDATE_CONNECTIONS,
    connection_to_evict,
    silent_connections,
)
from anisespool.listener.keepalive import KeepAliveDecision, KeepAlivePolicy, ReuseHistory
from anisespool.listener.tracked_connection import TrackedConnection


class ConnectionTable:
    """All open connections: new (no request so far), idle (served before) and active (with a request).

    New and idle connections are ordered by when they became inactive. Those that still send a response and
    those that are closing count as idle, too.

    Attributes:
        keep_alive_policy: Decides which connections stay open after a response.
        max_connections: Limit on connections.
        accepting: Accepted sockets that are no connection yet.
        paused: Connections that are not read because they have pipelined too much.
        active: Connections with an open request.
    """

    def __init__(self, keep_alive_policy: KeepAlivePolicy, max_connections: int) -> None:
        """Create an empty table."""
        self.keep_alive_policy = keep_alive_policy
        self.max_connections = max_connections
        self.accepting = 0
        self.paused: set[TrackedConnection] = set()
        self.active: set[TrackedConnection] = set()
        self._new: dict[TrackedConnection, None] = {}
        self._idle: dict[TrackedConnection, None] = {}

    def __len__(self) -> int:
        return len(self._new) + len(self._idle) + len(self.active) + self.accepting

    @property
    def connections(self) -> list[TrackedConnection]:
        """All connections."""
        return [*self._new, *self._idle, *self.active]

    @property
    def inactive(self) -> list[TrackedConnection]:
        """Connections without an open request."""
        return [*self._new, *self._idle]

    @property
    def overloaded(self) -> bool:
        """Whether so many requests are open that the newest are rejected to keep descriptors free.

        Idle connections don't count: they are closed when descriptors are needed, and would otherwise make
        every request be rejected.
        """
        return len(self.active) > self.max_connections

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection whose socket was accepted."""
        self.accepting -= 1
        self.keep_alive_policy.connection_opened(time.monotonic())
        self.mark_inactive(connection)

    def mark_active(self, connection: TrackedConnection) -> None:
        """Note that a request is open on the connection, which protects it from eviction."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self.active.add(connection)

    def mark_inactive(self, connection: TrackedConnection) -> None:
        """Note that no request is open on the connection."""
        self.discard(connection)
        connection.inactive_since_s = time.monotonic()
        (self._idle if connection.has_sent_request else self._new)[connection] = None

    def discard(self, connection: TrackedConnection) -> None:
        """Remove a connection, if it is there."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self.active.discard(connection)

    def may_keep_alive(self, history: ReuseHistory) -> bool:
        """Whether an active connection stays open after its response; may close another in its place."""
        other_active = len(self.active) - 1
        new = len(self._new) + self.accepting
        decision = self.keep_alive_policy.decide(
            time.monotonic(), history, len(self._idle), other_active, new
        )
        if decision is KeepAliveDecision.REPLACE_OLDEST:
            self.close_oldest_idle()
        return decision is not KeepAliveDecision.CLOSE

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest, unless its next request waits unread."""
        for connection in islice(self._idle, MAX_CANDIDATE_CONNECTIONS):
            if connection.close_if_idle():
                self.discard(connection)
                return

    def evict_if_full(self) -> None:
        """At the connection limit, abort one connection so that the accepted one can be served."""
        if len(self) < self.max_connections:
            return
        if connection := connection_to_evict(self._new, self._idle, time.monotonic()):
            self.discard(connection)
            connection.abort()

    def close_silent(self, now_s: float) -> None:
        """Close connections without a request where they use up what a client process may hold.

        Such a client could open no further connection, so that `evict_if_full` would never be called.
        """
        silent = silent_connections(self._new, now_s)
        excess = max(0, int(len(self) - self.keep_alive_policy.crowded_above))
        for connection in silent[:excess]:
            if connection.close_if_idle():
                self.discard(connection)

    def close_idle(self) -> None:
        """Close every connection that is idle."""
        for connection in self.connections:
            connection.close_if_idle()
