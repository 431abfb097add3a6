"""The trace id of the request that is open on a client connection."""

from __future__ import annotations

from anisespool.listener.request import DuplicateTraceId
from anisespool.proxy.call import Call
from anisespool.proxy.proxy import Proxy


class TraceIdReservation:
    """Reserves the id of one open request at a time.

    If two open requests had the same id, a client could receive the response to the other request, or an
    endpoint could execute one request twice.
    """

    __slots__ = ("_open_ids", "_proxy", "_trace_id")

    def __init__(self, open_ids: set[bytes], proxy: Proxy) -> None:
        """Begin without an id.

        Args:
            open_ids: The ids that all connections have reserved.
            proxy: Knows the ids of requests that may have been executed.
        """
        self._open_ids = open_ids
        self._proxy = proxy
        self._trace_id = b""

    def reserve(self, call: Call) -> None:
        """Reserve the id of a request for as long as that is open.

        Raises:
            DuplicateTraceId: Another open request has this id, or one that may have been executed.
        """
        if call.trace_id in self._open_ids:
            raise DuplicateTraceId("a request with this X-Trace-Id is open")
        if self._proxy.was_executed(call):
            raise DuplicateTraceId("a request with this X-Trace-Id may have been executed")
        self._trace_id = call.trace_id
        self._open_ids.add(call.trace_id)

    def release(self) -> None:
        """Release the id, if one is reserved."""
        self._open_ids.discard(self._trace_id)
        self._trace_id = b""
