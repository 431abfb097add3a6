"""Ids of requests that may have been executed, so that none of them is executed again.

A client that leaves, or loses its connection with an answer unread, may send the request once more under the
same id. An endpoint would execute it a second time. The platform gives each request an id of its own, retries
of a client too, so that an id that comes again is the same request. Pure: no I/O and no clock.
"""

from __future__ import annotations

MAX_IDS = 8192
RETENTION_NS = 60_000_000_000  # longer than any client waits for an answer


class ExecutedIds:
    """The latest ids, for a limited time."""

    __slots__ = ("_added_at",)

    def __init__(self) -> None:
        """Begin without an id."""
        self._added_at: dict[bytes, int] = {}  # by id, the earliest first; monotonic ns

    def add(self, trace_id: bytes, now: int) -> None:
        """Remember an id, and forget the oldest one if there are too many."""
        self._added_at.pop(trace_id, None)
        self._added_at[trace_id] = now
        if len(self._added_at) > MAX_IDS:
            del self._added_at[next(iter(self._added_at))]

    def contains(self, trace_id: bytes, now: int) -> bool:
        """Return whether a request with this id may have been executed lately."""
        added_at = self._added_at.get(trace_id)
        return added_at is not None and now - added_at < RETENTION_NS
