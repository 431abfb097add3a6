"""Selects the connections to close when descriptors run short.

Connections with an open request are never closed. New connections have not sent a request yet; idle ones have
received a response.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import chain, islice

from anisespool.listener.tracked_connection import TrackedConnection

NEW_CONNECTION_GRACE_S = 0.2  # a client that opens a connection to use it sends a request within this time
LINGER_GRACE_S = 0.05  # time to read an error, after which its connection is closed for another
MAX_CANDIDATE_CONNECTIONS = 16  # limit on each group of candidates, to bound the time for one accept


def connection_to_evict(
    lingering: Iterable[TrackedConnection],
    new: Iterable[TrackedConnection],
    idle: Iterable[TrackedConnection],
    now_s: float,
) -> TrackedConnection | None:
    """Return the connection to abort so that a newly accepted one can be served, or None if there is none.

    Hundreds of connections without a request must not displace those with one. Therefore the first one is
    selected whose client has had time to read an error and has not closed, then the oldest new connections,
    then those that have been idle longest, and recently opened ones only as a last resort. Connections with a
    request, or a part of one, that is unread or waits are skipped.

    Args:
        lingering: Connections with an error as their last response, the first one first.
        new: New connections, the oldest first.
        idle: Idle connections, the one that has been idle longest first.
        now_s: Current time (monotonic clock).
    """
    answered_before_s = now_s - LINGER_GRACE_S
    oldest = next(iter(lingering), None)
    if oldest and oldest.inactive_since_s < answered_before_s:
        return oldest
    opened_before_s = now_s - NEW_CONNECTION_GRACE_S
    silent = (connection for connection in new if connection.inactive_since_s < opened_before_s)
    candidates = chain(
        islice(silent, MAX_CANDIDATE_CONNECTIONS),
        islice(idle, MAX_CANDIDATE_CONNECTIONS),
        islice(new, MAX_CANDIDATE_CONNECTIONS),
    )
    return next((connection for connection in candidates if not _may_have_request(connection)), None)


def _may_have_request(connection: TrackedConnection) -> bool:
    return connection.has_read_input or connection.has_unread_input


def silent_connections(new: Iterable[TrackedConnection], now_s: float) -> list[TrackedConnection]:
    """Return the new connections whose first request is overdue (`now_s`: monotonic clock)."""
    return [
        connection
        for connection in new
        if now_s - connection.inactive_since_s > NEW_CONNECTION_GRACE_S and connection.is_idle
    ]
