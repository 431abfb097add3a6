"""Ordered requests: those with the same key run one at a time, in the order of their arrival."""

from typing import NamedTuple

from anisespool.balancer.interface import AttemptStatus
from anisespool.balancer.request import PendingRequest

MAY_STILL_EXECUTE = frozenset((AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED))


class Turn(NamedTuple):
    """When an ordered request may be sent."""

    useful_ns: int
    """Longest time that the request may still wait; 0 or less: it gives up now."""
    wait_ns: int
    """Longest time to wait for its turn; 0: it may be sent now."""


class KeyOrdering:
    """The queue of each ordering key, and the pauses after attempts that may still be executing.

    Attributes:
        queues: Requests by key, in the order of arrival; a key without requests has no queue.
    """

    def __init__(self, settle_ns: int) -> None:
        self._settle_ns = settle_ns
        self.queues: dict[int, list[PendingRequest]] = {}
        self._pause_ends: dict[int, int] = {}  # end by key, monotonic ns; the earliest first

    def enqueue(self, request: PendingRequest) -> None:
        """Append a new request to its key's queue."""
        self.queues.setdefault(request.ordering_key, []).append(request)

    def position(self, request: PendingRequest) -> int:
        """Return how many requests precede this one in its key's queue."""
        return self.queues[request.ordering_key].index(request)

    def pause_ns(self, request: PendingRequest, now: int) -> int:
        """Return the rest of the pause of the request's key; 0 if its own attempts have caused the pause."""
        if request.attempts:
            return 0
        return max(0, self._pause_ends.get(request.ordering_key, 0) - now)

    def on_attempt_end(self, key: int, status: AttemptStatus, now: int) -> None:
        """Pause the key if the attempt that ended may still be executing, and forget pauses that are over."""
        if status not in MAY_STILL_EXECUTE:
            return
        self._pause_ends.pop(key, None)
        self._pause_ends[key] = now + self._settle_ns
        while next(iter(self._pause_ends.values())) < now:
            del self._pause_ends[next(iter(self._pause_ends))]

    def remove(self, request: PendingRequest) -> list[PendingRequest]:
        """Remove a request, and return the one now first in its queue, if any."""
        queue = self.queues[request.ordering_key]
        queue.remove(request)
        if not queue:
            del self.queues[request.ordering_key]
        return queue[:1]
