"""Selects the connections to close when descriptors run short.

Connections with an open request are never closed. New connections have not sent a request yet; idle ones have
received a response.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from anisespool.listener.tracked_connection import TrackedConnection

NEW_CONNECTION_GRACE_S = 0.2  # a client that opens a connection to use it sends a request within this time
MAX_CANDIDATE_CONNECTIONS = 16  # limit on each group of candidates, to bound the time for one accept


def connection_to_evict(
    new: Iterable[TrackedConnection], idle: Iterable[TrackedConnection], now_s: float
) -> TrackedConnection | None:
    """Return the connection to abort so that a newly accepted one can be served, or None if there is none.

    Hundreds of connections without a request must not displace those with one. Therefore the oldest new
    connections are selected first, then those that have been idle longest, and recently opened ones only as a
    last resort. Connections with an unread request are skipped.

    Args:
        new: New connections, the oldest first.
        idle: Idle connections, the one that has been idle longest first.
        now_s: Current time (monotonic clock).
    """
    opened_before_s = now_s - NEW_CONNECTION_GRACE_S
    silent = (connection for connection in new if connection.inactive_since_s < opened_before_s)
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
