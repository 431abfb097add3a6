"""Requests that have been read and wait for earlier ones on their connection.

A client may send requests faster than they can be answered one after another. Up to a limit they are kept.
What comes beyond it is only counted, and rejected in its turn: reading goes on, so that the close of a client
is seen however much it has sent before, and memory is bounded. Pure: no I/O and no clock.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import NamedTuple, Self

from anisespool.buffer_budget import BufferBudget
from anisespool.codec.http1.message import Request

MAX_PIPELINE_BYTES = 2 * 1024 * 1024  # limit on the memory of the requests that wait on one connection
REQUEST_OVERHEAD_BYTES = 1024  # objects of a request besides its own bytes
LATE_RESPONSE_NS = 250_000_000  # a response so late is of no use to its client, but it is not lost
COPIES = 2  # of a request that is open: itself and, encoded, what an endpoint has not taken of it


class PipelinedRequest(NamedTuple):
    """A request that waits for earlier requests on its connection."""

    request: Request
    received_ns: int
    """Time of its arrival, monotonic."""
    size_bytes: int
    """Memory that it takes once it is open."""

    @classmethod
    def of(cls, request: Request, received_ns: int) -> Self:
        """Return the entry of a request that arrived at `received_ns`."""
        size_bytes = REQUEST_OVERHEAD_BYTES + COPIES * (request.head_bytes + len(request.body))
        return cls(request, received_ns, size_bytes)


class _DueTime(NamedTuple):
    number: int
    """Number of the request."""
    due_at: float
    """Time by which it has to be answered (monotonic ns)."""


class RequestPipeline:
    """The requests of one connection, in the order of their arrival.

    Attributes:
        size_bytes: Memory that the kept requests take.
        rejected_count: Number of requests behind the kept ones that were not kept.
    """

    __slots__ = (
        "_budget",
        "_due_times",
        "_first_number",
        "_rejected_due_at",
        "_requests",
        "_timeout_ns_of",
        "_unseen_number",
        "rejected_count",
        "size_bytes",
    )

    def __init__(self, budget: BufferBudget, timeout_ns_of: Callable[[Request], int | None]) -> None:
        """Create an empty pipeline.

        Args:
            budget: No further request is kept behind another one if that would exceed it.
            timeout_ns_of: Returns how long a request's client waits for its response; None without a limit.
        """
        self._budget = budget
        self._timeout_ns_of = timeout_ns_of
        self._requests: deque[PipelinedRequest] = deque()
        # The kept requests have consecutive numbers, from `_first_number` on. Those before `_unseen_number`
        # are in `_due_times`, in order and with increasing times: one is left out if a later one is due
        # earlier.
        self._first_number = 0
        self._unseen_number = 0
        self._due_times: deque[_DueTime] = deque()
        self._rejected_due_at = math.inf
        self.size_bytes = 0
        self.rejected_count = 0

    def __len__(self) -> int:
        return len(self._requests) + self.rejected_count

    @property
    def first(self) -> PipelinedRequest | None:
        """The request whose turn it is; None if it was not kept, or there is none."""
        return self._requests[0] if self._requests else None

    def responses_due_at(self) -> float:
        """Return when all requests have to be answered, as the first of them is lost after it; inf if never.

        Responses are sent in order, so that a request has to be answered before those behind it, too.
        """
        self._unseen_number = max(self._unseen_number, self._first_number)
        for pipelined in islice(self._requests, self._unseen_number - self._first_number, None):
            due_at = self._due_at(pipelined)
            while self._due_times and self._due_times[-1].due_at >= due_at:
                self._due_times.pop()
            self._due_times.append(_DueTime(self._unseen_number, due_at))
            self._unseen_number += 1
        kept_due_at = self._due_times[0].due_at if self._due_times else math.inf
        return min(kept_due_at, self._rejected_due_at)

    def _due_at(self, pipelined: PipelinedRequest) -> float:
        timeout_ns = self._timeout_ns_of(pipelined.request)
        return math.inf if timeout_ns is None else pipelined.received_ns + timeout_ns + LATE_RESPONSE_NS

    def append(self, pipelined: PipelinedRequest) -> None:
        """Add a request, or only count it if there is no room or an earlier one was not kept either."""
        size_bytes = pipelined.size_bytes
        if self.rejected_count or not self._has_room(size_bytes):
            self.rejected_count += 1
            self._rejected_due_at = min(self._rejected_due_at, self._due_at(pipelined))
            return
        self._requests.append(pipelined)
        self.size_bytes += size_bytes

    def pop(self) -> PipelinedRequest | None:
        """Remove the request whose turn it is; None if it was not kept. Requires that there is one."""
        if not self._requests:
            self.rejected_count -= 1
            if not self.rejected_count:
                self._rejected_due_at = math.inf
            return None
        pipelined = self._requests.popleft()
        self.size_bytes -= pipelined.size_bytes
        if self._due_times and self._due_times[0].number == self._first_number:
            self._due_times.popleft()
        self._first_number += 1
        return pipelined

    def clear(self) -> None:
        """Remove all requests."""
        self._first_number += len(self._requests)
        self._requests.clear()
        self._due_times.clear()
        self._rejected_due_at = math.inf
        self.size_bytes = 0
        self.rejected_count = 0

    def _has_room(self, size_bytes: int) -> bool:
        if not self._requests:
            return True
        return self.size_bytes + size_bytes <= MAX_PIPELINE_BYTES and self._budget.has_room(size_bytes)
