"""Which connections close when descriptors run short.

Connections with an open request never do. New ones have sent no request yet; idle ones have had a response.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from anisespool.listener.tracked_connection import TrackedConnection

NEW_CONNECTION_GRACE_S = 0.2  # a client that opens a connection for a request has sent it by then
MAX_CANDIDATE_CONNECTIONS = 16  # of each kind, to bound the time that one accepted connection costs


def connection_to_evict(
    new: Iterable[TrackedConnection], idle: Iterable[TrackedConnection], now_s: float
) -> TrackedConnection | None:
    """Return the connection to abort so that one just accepted can be served; None: there is none.

    Hundreds of connections without a request must not displace those with one. So the oldest new ones go
    first, then those idle longest, and connections just opened only if there is nothing else. A connection
    whose request waits unread is passed over.

    Args:
        new: New connections, the oldest first.
        idle: Idle connections, the one idle longest first.
        now_s: Monotonic clock.
    """
    latest_s = now_s - NEW_CONNECTION_GRACE_S
    silent = (connection for connection in new if connection.inactive_since_s < latest_s)
    candidates = chain(
        islice(silent, MAX_CANDIDATE_CONNECTIONS),
        islice(idle, MAX_CANDIDATE_CONNECTIONS),
        islice(new, MAX_CANDIDATE_CONNECTIONS),
    )
    return next((connection for connection in candidates if not connection.has_unread_input), None)


def silent_connections(new: Iterable[TrackedConnection], now_s: float) -> list[TrackedConnection]:
    """Return the new connections whose first request is overdue (`now_s`: monotonic clock)."""
    return [
        connection
        for connection in new
        if now_s - connection.inactive_since_s > NEW_CONNECTION_GRACE_S and connection.is_idle
    ]
