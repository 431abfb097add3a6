"""Requests that have been read and wait for earlier ones on their connection.

A client may send requests faster than they can be answered one after another. Up to a limit they are kept.
What comes beyond it is only counted, and rejected in its turn: reading goes on, so that the close of a client
is seen however much it has sent before, and memory is bounded. Pure: no I/O and no clock.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple, Self

from anisespool.buffer_budget import BufferBudget
from anisespool.codec.http1.message import Request

MAX_PIPELINE_BYTES = 2 * 1024 * 1024  # limit on the memory of the requests that wait on one connection
REQUEST_OVERHEAD_BYTES = 1024  # objects of a request besides its own bytes
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


class RequestPipeline:
    """The requests of one connection, in the order of their arrival.

    Attributes:
        size_bytes: Memory that the kept requests take.
        rejected_count: Number of requests behind the kept ones that were not kept.
    """

    __slots__ = ("_budget", "_requests", "rejected_count", "size_bytes")

    def __init__(self, budget: BufferBudget) -> None:
        """Create an empty pipeline.

        Args:
            budget: No further request is kept behind another one if that would exceed it.
        """
        self._budget = budget
        self._requests: deque[PipelinedRequest] = deque()
        self.size_bytes = 0
        self.rejected_count = 0

    def __len__(self) -> int:
        return len(self._requests) + self.rejected_count

    @property
    def first(self) -> PipelinedRequest | None:
        """The request whose turn it is; None if it was not kept, or there is none."""
        return self._requests[0] if self._requests else None

    def append(self, pipelined: PipelinedRequest) -> None:
        """Add a request, or only count it if there is no room or an earlier one was not kept either."""
        size_bytes = pipelined.size_bytes
        if self.rejected_count or not self._has_room(size_bytes):
            self.rejected_count += 1
            return
        self._requests.append(pipelined)
        self.size_bytes += size_bytes

    def pop(self) -> PipelinedRequest | None:
        """Remove the request whose turn it is; None if it was not kept. Requires that there is one."""
        if not self._requests:
            self.rejected_count -= 1
            return None
        pipelined = self._requests.popleft()
        self.size_bytes -= pipelined.size_bytes
        return pipelined

    def clear(self) -> None:
        """Remove all requests."""
        self._requests.clear()
        self.size_bytes = 0
        self.rejected_count = 0

    def _has_room(self, size_bytes: int) -> bool:
        if not self._requests:
            return True
        return self.size_bytes + size_bytes <= MAX_PIPELINE_BYTES and self._budget.has_room(size_bytes)
