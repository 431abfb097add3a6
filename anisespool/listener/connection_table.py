"""The connections of one listener by state, and the limit on their number."""

from __future__ import annotations

import time
from itertools import islice

from anisespool.buffer_budget import SMALL_BYTES, BufferBudget
from anisespool.listener.close_reason import CloseReason
from anisespool.listener.eviction import (
    MAX_CANDIDATE_CONNECTIONS,
    connection_to_evict,
    silent_connections,
)
from anisespool.listener.keepalive import KeepAliveDecision, KeepAlivePolicy, ReuseHistory
from anisespool.listener.tracked_connection import TrackedConnection
from anisespool.log import EventLimit, log_event

# Connections above the limit, which are answered that there are too many, or are closing.
MAX_EXCESS_CONNECTIONS = 8


class ConnectionTable:
    """All open connections: new (no request so far), idle (between requests) and active (request open).

    New and idle connections are ordered by the time when they became inactive. Connections that are closing
    or still sending a response count as idle, too.

    Attributes:
        keep_alive_policy: Decides which connections stay open after a response.
        max_connections: Limit on the number of connections.
        accepting: Number of accepted sockets whose connection has not been added yet.
        paused: Connections that are not being read because too much input is pipelined.
        active: Connections with an open request.
        receiving: Connections with a partial request, the one without input for longest first.
        receiving_large: Those of them whose partial request takes more than `SMALL_BYTES`, in the same order.
        lingering: Connections that wait for their client to read an error and close, the first one first.
        unsent: Connections with unsent output, the one that has had some for longest first.
    """

    def __init__(self, keep_alive_policy: KeepAlivePolicy, max_connections: int) -> None:
        """Create an empty table."""
        self.keep_alive_policy = keep_alive_policy
        self.max_connections = max_connections
        self.accepting = 0
        self.paused: set[TrackedConnection] = set()
        self.active: set[TrackedConnection] = set()
        self.receiving: dict[TrackedConnection, None] = {}
        self.receiving_large: dict[TrackedConnection, None] = {}
        self.lingering: dict[TrackedConnection, None] = {}
        self.unsent: dict[TrackedConnection, None] = {}
        self._close_limit = EventLimit()
        self._rejection_limit = EventLimit()
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
        """Whether so many requests are open that new ones are rejected to keep descriptors free.

        Idle connections don't count: they are closed when descriptors are needed. If they counted, they could
        cause every request to be rejected.
        """
        return len(self.active) > self.max_connections

    def add(self, connection: TrackedConnection) -> None:
        """Add a connection whose socket was accepted."""
        self.accepting -= 1
        self.keep_alive_policy.connection_opened(time.monotonic())
        self.mark_inactive(connection)

    def mark_active(self, connection: TrackedConnection) -> None:
        """Move the connection to the active ones, which are not evicted."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self.active.add(connection)

    def mark_inactive(self, connection: TrackedConnection) -> None:
        """Move the connection to the new or the idle ones, because it has no open request."""
        self._leave_state(connection)
        connection.inactive_since_s = time.monotonic()
        (self._idle if connection.has_sent_request else self._new)[connection] = None

    def discard(self, connection: TrackedConnection) -> None:
        """Remove a connection, if it is in the table."""
        self._leave_state(connection)
        self.mark_received(connection)
        self.unsent.pop(connection, None)
        self.lingering.pop(connection, None)

    def _leave_state(self, connection: TrackedConnection) -> None:
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self.active.discard(connection)

    def mark_receiving(self, connection: TrackedConnection, partial_bytes: int) -> None:
        """Note that a connection has just received a part of a request, of which it holds so many bytes."""
        self.mark_received(connection)
        self.receiving[connection] = None
        if partial_bytes > SMALL_BYTES:
            self.receiving_large[connection] = None

    def mark_received(self, connection: TrackedConnection) -> None:
        """Note that a connection has no partial request."""
        self.receiving.pop(connection, None)
        self.receiving_large.pop(connection, None)

    def mark_lingering(self, connection: TrackedConnection) -> None:
        """Note that a connection has an error as its last response, and its client has to close it."""
        self.mark_received(connection)
        self.lingering[connection] = None

    def relieve(self, budget: BufferBudget) -> None:
        """Give up input and output until the budget is not exceeded any more.

        Partial requests whose clients have sent nothing for longest are rejected first: a client that sends
        without a pause has its request complete soon. Then connections are closed whose responses have not
        been read for longest.
        """
        while budget.is_exceeded and self.receiving_large:
            next(iter(self.receiving_large)).give_up_partial_request()
        while budget.is_exceeded and self.unsent:
            connection = next(iter(self.unsent))
            del self.unsent[connection]
            connection.abort(CloseReason.UNREAD_RESPONSE)

    def may_keep_alive(self, history: ReuseHistory) -> bool:
        """Whether an active connection stays open after its response; may close an idle one to make room."""
        other_active = len(self.active) - 1
        new = len(self._new) + self.accepting
        decision = self.keep_alive_policy.decide(
            time.monotonic(), history, len(self._idle), other_active, new
        )
        if decision is KeepAliveDecision.REPLACE_OLDEST:
            self.close_oldest_idle()
        return decision is not KeepAliveDecision.CLOSE

    def close_oldest_idle(self) -> None:
        """Close the connection that has been idle longest, except those with an unread request.

        At most `MAX_CANDIDATE_CONNECTIONS` are considered.
        """
        for connection in islice(self._idle, MAX_CANDIDATE_CONNECTIONS):
            if connection.close_if_idle(CloseReason.REPLACED):
                self.discard(connection)
                return

    @property
    def is_at_limit(self) -> bool:
        """Whether another connection has to end when one is accepted."""
        return len(self) >= self.max_connections

    @property
    def is_full(self) -> bool:
        """Whether no further connection may be accepted until others have closed."""
        return len(self) >= self.max_connections + MAX_EXCESS_CONNECTIONS

    def evict(self) -> bool:
        """Abort one connection so that another can be accepted; return whether there was one."""
        if connection := connection_to_evict(self.lingering, self._new, self._idle, time.monotonic()):
            self.discard(connection)
            connection.abort(CloseReason.EVICTED)
        return connection is not None

    def give_up_partial_requests(self, count: int) -> None:
        """Reject at most `count` partial requests, whose connections can be evicted soon."""
        for connection in list(islice(self.receiving, count)):
            connection.give_up_partial_request()

    def close_silent(self, now_s: float) -> None:
        """Close connections without a request when they use up the descriptors of a client process.

        Such a client could not open another connection, so `evict` would never be called.
        """
        silent = silent_connections(self._new, now_s)
        excess = max(0, int(len(self) - self.keep_alive_policy.close_silent_above))
        for connection in silent[:excess]:
            if connection.close_if_idle(CloseReason.SILENT):
                self.discard(connection)

    def close_idle(self, reason: CloseReason) -> None:
        """Close every connection that is idle."""
        for connection in self.connections:
            connection.close_if_idle(reason)

    def log_rejection(self, status: int, reason: str, trace_id: bytes) -> None:
        """Log that the listener itself answers a request with an error, and closes its connection.

        Args:
            status: Status of the response.
            reason: One of a small set of texts.
            trace_id: The request's id; empty if it has none that is known.
        """
        if count := self._rejection_limit.count_to_log(f"{status} {reason}"):
            log_event(
                "request_rejected",
                status=status,
                reason=reason,
                trace_id=trace_id.decode("latin-1"),
                connections=len(self),
                count=count,
            )

    def log_close(self, reason: CloseReason) -> None:
        """Log that the listener closes a connection."""
        if count := self._close_limit.count_to_log(reason):
            log_event("client_connection_closed", reason=reason, count=count)
