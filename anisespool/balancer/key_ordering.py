"""Whose turn is it among requests of one key? They run one at a time, in the order of their arrival."""

from typing import NamedTuple

from anisespool.balancer.interface import AttemptStatus
from anisespool.balancer.request import PendingRequest

MAY_STILL_EXECUTE = frozenset((AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED))


class Turn(NamedTuple):
    """When an ordered request is sent."""

    useful_ns: int
    """How long it may still wait; 0 or less: it gives up now."""
    wait_ns: int
    """0: it is its turn."""


class KeyOrdering:
    """The queue of each ordering key, and the pauses after attempts that may still be executing.

    Attributes:
        queues: By key, in the order of arrival; a key without requests has none.
    """

    def __init__(self, settle_ns: int) -> None:
        self._settle_ns = settle_ns
        self.queues: dict[int, list[PendingRequest]] = {}
        self._pause_ends: dict[int, int] = {}  # by key, monotonic ns; the first to end comes first

    def enqueue(self, request: PendingRequest) -> None:
        """Put a new request at the end of its key's queue."""
        self.queues.setdefault(request.ordering_key, []).append(request)

    def position(self, request: PendingRequest) -> int:
        """Return how many requests of its key are before it."""
        return self.queues[request.ordering_key].index(request)

    def pause_ns(self, request: PendingRequest, now: int) -> int:
        """Return how long its key still pauses; a request with an attempt does not wait for itself."""
        if request.attempts:
            return 0
        return max(0, self._pause_ends.get(request.ordering_key, 0) - now)

    def on_attempt_end(self, key: int, status: AttemptStatus, now: int) -> None:
        """Hold the key's next request back where the attempt that ended may still be executing."""
        if status not in MAY_STILL_EXECUTE:
            return
        self._pause_ends.pop(key, None)
        self._pause_ends[key] = now + self._settle_ns
        while next(iter(self._pause_ends.values())) < now:
            del self._pause_ends[next(iter(self._pause_ends))]

    def remove(self, request: PendingRequest) -> list[PendingRequest]:
        """Remove a request, and return the one that is first in the queue afterwards, if any."""
        queue = self.queues[request.ordering_key]
        queue.remove(request)
        if not queue:
            del self.queues[request.ordering_key]
        return queue[:1]
