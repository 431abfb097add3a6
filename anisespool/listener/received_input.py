"""What has been read from one client and not been handled: bytes, the partial request, complete requests.

Input is parsed in steps, so that a read with thousands of requests does not hold up the event loop. Pure: no
I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus

from anisespool.buffer_budget import BufferBudget, BufferHolder
from anisespool.codec import http1
from anisespool.listener.pipeline import PipelinedRequest, RequestPipeline
from anisespool.listener.request import HEALTH_CHECK_PATH, REQUEST_HEADERS

PARSE_BYTES = 4096  # limit on the input that is parsed in one step
SHORT_INPUT_BYTES = 2048  # input that takes so little time that it need not wait for its turn
NO_INPUT = memoryview(b"")


class ReceivedInput:
    """The input of one connection.

    Attributes:
        pipeline: Complete requests that have not been started.
        has_more_unread: Whether the last read left input in the kernel.
    """

    __slots__ = (
        "_arrived_at",
        "_held",
        "_parser",
        "_requests_in_read",
        "_unparsed",
        "has_more_unread",
        "pipeline",
    )

    def __init__(self, budget: BufferBudget, timeout_ns_of: Callable[[http1.Request], int | None]) -> None:
        """Begin without input.

        Args:
            budget: Limits the requests that are kept, and is told of all input.
            timeout_ns_of: Returns how long a request's client waits for its response; None without a limit.
        """
        self.pipeline = RequestPipeline(budget, timeout_ns_of)
        self.has_more_unread = False
        self._parser = http1.RequestParser(http1.MAX_REQUEST_BODY_BYTES, REQUEST_HEADERS)
        self._held = BufferHolder(budget)
        self._unparsed = NO_INPUT  # rest of the last read
        self._arrived_at = 0
        self._requests_in_read = 0

    def __bool__(self) -> bool:
        """Return whether anything is left to be handled or completed, or to be answered by an error."""
        is_pending = bool(self.pipeline) or bool(self._unparsed) or self._parser.partial
        return is_pending or bool(self._parser.error_status)

    @property
    def is_parsed(self) -> bool:
        """Whether all input has been parsed."""
        return not self._unparsed

    @property
    def is_short(self) -> bool:
        """Whether what is left to parse takes little time."""
        return len(self._unparsed) <= SHORT_INPUT_BYTES

    @property
    def is_partial(self) -> bool:
        """Whether part of a request has been received."""
        return self._parser.partial

    @property
    def partial_bytes(self) -> int:
        """Memory that the partial request takes."""
        return self._parser.stored_bytes

    @property
    def error_status(self) -> int:
        """Status of the response to invalid input, after which nothing more is parsed; 0 without an error."""
        return self._parser.error_status

    @property
    def must_read_first(self) -> bool:
        """Whether the next request waits until all input is read, as its client's close may be behind it.

        A health check does not wait, because nothing is sent for it.
        """
        if self.is_parsed and not self.has_more_unread:
            return False
        first = self.pipeline.first
        return first is not None and first.request.target.partition(b"?")[0] != HEALTH_CHECK_PATH

    def add(self, data: bytes, arrived_at: int) -> None:
        """Add what was read. Requires that all earlier input has been parsed.

        Args:
            data: The input.
            arrived_at: The earliest time of its arrival, as far as the connection knows (monotonic ns).
        """
        assert self.is_parsed
        self._unparsed = memoryview(data)
        self._arrived_at = arrived_at
        self._requests_in_read = 0
        self._update_held()

    def parse(self, arrival_of: Callable[[int, bool], int]) -> None:
        """Parse the next part, and append the requests that it completes to the pipeline.

        Args:
            arrival_of: Returns the arrival of a request, given that of its input and whether nothing follows
                it, so that it ends with the last input.
        """
        requests = self._parser.feed(self._unparsed[:PARSE_BYTES])
        self._unparsed = NO_INPUT if self._parser.error_status else self._unparsed[PARSE_BYTES:]
        if not requests:
            self._update_held()
            return
        self._requests_in_read += len(requests)
        is_last = self._requests_in_read == 1 and self.is_parsed and not self._parser.partial
        received_ns = arrival_of(self._arrived_at, is_last)
        for request in requests:
            self.pipeline.append(PipelinedRequest.of(request, received_ns))
            self._update_held()

    def take_next(self) -> PipelinedRequest | None:
        """Remove the request whose turn it is; None if it was not kept. Requires that there is one."""
        pipelined = self.pipeline.pop()
        self._update_held()
        return pipelined

    def take_expectation(self) -> bool:
        """Return whether the client waits for `100 Continue`, once."""
        expects_continue = self._parser.expects_continue
        self._parser.expects_continue = False
        return expects_continue

    def give_up_partial(self) -> None:
        """Drop the partial request and what follows it. Its response has the status 503."""
        self._parser.fail(HTTPStatus.SERVICE_UNAVAILABLE)
        self._unparsed = NO_INPUT
        self._update_held()

    def clear(self) -> None:
        """Drop everything. Nothing more is parsed."""
        self._parser.close()
        self._unparsed = NO_INPUT
        self.pipeline.clear()
        self._update_held()

    def _update_held(self) -> None:
        self._held.hold(len(self._unparsed) + self._parser.stored_bytes + self.pipeline.size_bytes)
