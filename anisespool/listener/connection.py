"""One client connection, which reads pipelined requests and sends their responses in the same order."""

from __future__ import annotations

import asyncio
import select
import time
from collections import deque
from http import HTTPStatus
from typing import NamedTuple

from anisespool import tcp
from anisespool.codec import http1
from anisespool.listener import timeouts
from anisespool.listener.close_reason import CloseReason
from anisespool.listener.connection_table import ConnectionTable
from anisespool.listener.input_arrival import InputArrival
from anisespool.listener.keepalive import ReuseHistory
from anisespool.listener.listener_context import ListenerContext
from anisespool.listener.request import (
    REQUEST_HEADERS,
    DuplicateTraceId,
    InvalidRequest,
    validate_request,
)
from anisespool.listener.timeouts import TimeoutAction
from anisespool.listener.transport import PEER_CLOSED_EVENTS, encode_final_response, poll_now
from anisespool.proxy.call import FinalResponse

MAX_PIPELINED_REQUESTS = 64  # requests read ahead on one connection
MAX_PIPELINED_BODY_BYTES = http1.MAX_BODY_BYTES  # limit on their total size; hundreds of clients may pipeline
MIN_QUEUE_WAIT_NS = 1_000_000  # a shorter wait in the pipeline is not subtracted from the client's timeout
DISCARD_PAUSE_S = 0.004  # pause between two reads of discarded input


class PipelinedRequest(NamedTuple):
    """A request that waits for earlier requests on its connection."""

    request: http1.Request
    received_ns: int


class ClientConnection(asyncio.Protocol):
    """A client connection with one open request at a time.

    Input is read even while a request is open, because a client cancels by ending its output.

    Attributes:
        history: Reuse of the connection so far, for the keep-alive policy.
        has_sent_request: Whether a complete request has been received.
        inactive_since_s: Time when the connection was opened, its last request ended or the first byte of the
            next one arrived, whichever is latest (monotonic clock).
    """

    def __init__(self, listener: ListenerContext, table: ConnectionTable) -> None:
        """Create the protocol object; `connection_made` adds the transport."""
        self.history = ReuseHistory()
        self.has_sent_request = False
        self.inactive_since_s = time.monotonic()
        self._listener = listener
        self._table = table
        self._transport: asyncio.Transport | None = None
        self._parser = http1.RequestParser(http1.MAX_REQUEST_BODY_BYTES, REQUEST_HEADERS)
        # Plain attributes, because a class for the pipeline would cost two more calls for each request.
        self._pipelined: deque[PipelinedRequest] = deque()
        self._pipelined_body_bytes = 0
        self._arrival: InputArrival | None = None  # set by the first pause of reading
        self._idle_before_request_s = 0.0
        # State of the open request. Its id is 0 until the proxy's `start_request` has returned.
        self._has_open_request = False
        self._request_id = 0
        self._trace_id = b""
        self._keep_alive = True
        self._closing = False
        self._closed_by_policy = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, pipelined or partly received, and the connection is not closing."""
        return not (self._closing or self._has_open_request or self._pipelined or self._parser.partial)

    @property
    def has_pending_response(self) -> bool:
        """Whether a request waits for its response, or a response may not have been sent completely."""
        return self._closing or self._has_open_request or bool(self._pipelined)

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""
        return poll_now(self._transport, select.POLLIN)

    @property
    def _has_more_input(self) -> bool:
        """Whether the client has sent more input after the request that was just answered.

        Closing now would reset the connection and lose the response just written. Once the listener has
        closed, the client could not send the remaining requests anywhere else either.
        """
        return bool(self._pipelined) or self._parser.partial or self.has_unread_input

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is in the write buffer, because the client has not read enough."""
        return bool(self._transport and self._transport.get_write_buffer_size())

    @property
    def _pipeline_full(self) -> bool:
        return (
            len(self._pipelined) > MAX_PIPELINED_REQUESTS
            or self._pipelined_body_bytes > MAX_PIPELINED_BODY_BYTES
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._table.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse input, and start the next request unless one is open."""
        if self._closing or self._parser.error_status:
            self._discard_input()
            return
        now_ns = time.monotonic_ns()
        begins_request = not self._parser.partial
        requests = self._parser.feed(data)
        received_ns = self._received_at(now_ns, len(requests) == 1 and not self._parser.partial)
        for request in requests:
            self._pipelined.append(PipelinedRequest(request, received_ns))
            self._pipelined_body_bytes += len(request.body)
        if begins_request and not self._has_open_request:
            now_s = now_ns / 1e9
            self._idle_before_request_s = now_s - self.inactive_since_s
            self.inactive_since_s = now_s
        if self._parser.expects_continue and self._transport and not self._has_open_request:
            self._parser.expects_continue = False
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._pipeline_full:
            self._pause_reading(now_ns)
        elif self._arrival and self._arrival.is_behind:
            self._arrival.read_finished(is_empty=not self.has_unread_input)
        self._start_requests()

    def _received_at(self, now_ns: int, is_last: bool) -> int:
        """Return the time when the input arrived that is read now, or the earliest possible one.

        Args:
            now_ns: The current time, monotonic.
            is_last: Whether nothing else follows the request, so that it ends with the last input.
        """
        read_at = self._arrival.input_read(now_ns) if self._arrival else now_ns
        loop_delay = self._listener.loop_delay
        earliest_at = loop_delay.earliest_input_at(now_ns)
        if earliest_at == now_ns or not self._transport:
            return read_at
        sock = self._transport.get_extra_info("socket")
        waited_ns = tcp.ns_since_last_input(sock) if is_last else None
        return min(read_at, loop_delay.input_arrived_at(now_ns, waited_ns))

    def eof_received(self) -> None:
        """Cancel the client's requests.

        Ending its output is the only way in which the platform's protocol lets a client cancel. The transport
        closes by itself once the client has read earlier responses.
        """
        self._cancel()
        self._table.mark_inactive(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the client's requests and unregister the connection."""
        self._cancel()
        self._table.discard(self)
        if not self._closed_by_policy:
            self._table.keep_alive_policy.connection_closed(self.history)
        self._parser.close()

    def _pause_reading(self, now_ns: int) -> None:
        """Read no more requests ahead."""
        if not self._transport:
            return
        self._transport.pause_reading()
        self._table.paused.add(self)
        if self._arrival:
            self._arrival.reading_paused(now_ns)
        else:
            self._arrival = InputArrival(now_ns)

    def _continue_reading(self) -> None:
        """Read requests again if reading is paused."""
        if self not in self._table.paused or not self._transport:
            return
        self._note_unread_input()
        if self._arrival:
            self._arrival.reading_resumed(time.monotonic_ns())
        self._transport.resume_reading()
        self._table.paused.discard(self)

    def _note_unread_input(self) -> None:
        """Note during a pause of reading whether the client has sent more by now."""
        if self._arrival and not self.has_unread_input:
            self._arrival.input_empty(time.monotonic_ns())

    def _discard_input(self) -> None:
        """Throttle a client that keeps sending after an error; reading all its input would use up the CPU."""
        if self._transport and not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(DISCARD_PAUSE_S, self._resume_reading)

    def _resume_reading(self) -> None:
        if self._transport and not self._transport.is_closing():
            self._transport.resume_reading()

    def _cancel(self) -> None:
        """Cancel the open request and discard the pipelined ones, because the client has disconnected."""
        self._closing = True
        self._pipelined.clear()
        self._table.paused.discard(self)
        self._release_trace_id()
        if self._has_open_request and self._request_id:
            self._listener.proxy.client_disconnected(self._request_id)
            self._has_open_request = False

    def _start_requests(self) -> None:
        """Start received requests in order, up to the first one without an immediate response."""
        while not self._has_open_request and not self._closing:
            if not self._pipelined:
                if self._parser.error_status:
                    self._reject(FinalResponse(self._parser.error_status))
                return
            request, received_ns = self._pipelined.popleft()
            self._pipelined_body_bytes -= len(request.body)
            if not self._pipeline_full:
                self._continue_reading()
            self._has_open_request = True
            self._request_id = 0
            self._keep_alive = request.keep_alive
            self.has_sent_request = True
            self._table.keep_alive_policy.request_received(self.history, self._idle_before_request_s)
            self._table.mark_active(self)
            self._start(request, received_ns)

    def _start(self, request: http1.Request, received_ns: int) -> None:
        """Respond to a request directly, or pass it to the proxy."""
        if request.target.partition(b"?")[0] == b"/healthz":
            self._respond(FinalResponse(200 if self._listener.proxy.ready else 503))
            return
        if self._table.overloaded:
            self._keep_alive = False
            response = FinalResponse(503, b"too many connections\n")
            self._report_rejection(response, request)
            self._respond(response)
            return
        try:
            call = validate_request(request, self._listener.names, self._listener.settings)
            self._reserve_trace_id(request.headers[b"x-trace-id"])
        except InvalidRequest as error:
            self._reject(FinalResponse(error.status, f"{error}\n".encode()), request)
            return
        waited_ns = time.monotonic_ns() - received_ns
        if waited_ns > MIN_QUEUE_WAIT_NS:
            call = call._replace(timeout_ns=max(0, call.timeout_ns - waited_ns))
        proxy = self._listener.proxy
        request_id = proxy.start_request(call, self._respond_and_continue, self._client_has_left)
        if self._has_open_request:
            self._request_id = request_id

    def _client_has_left(self) -> bool:
        """Whether the client has ended its output, which may lie unread behind its requests."""
        if self._closing or not self._transport or self._transport.is_closing():
            return True
        return poll_now(self._transport, PEER_CLOSED_EVENTS)

    def _reserve_trace_id(self, trace_id: bytes) -> None:
        """Reserve the trace id for as long as the request is open.

        If two open requests had the same id, a client could receive the response to the other request, or an
        endpoint could execute one request twice.

        Raises:
            DuplicateTraceId: Another open request has this id.
        """
        if trace_id in self._listener.open_trace_ids:
            raise DuplicateTraceId("a request with this X-Trace-Id is open")
        self._trace_id = trace_id
        self._listener.open_trace_ids.add(trace_id)

    def _release_trace_id(self) -> None:
        if self._trace_id:
            self._listener.open_trace_ids.discard(self._trace_id)
            self._trace_id = b""

    def _respond_and_continue(self, response: FinalResponse) -> None:
        """Send the proxy's response and start the next request."""
        self._respond(response)
        if self._request_id:  # if 0, `_start_requests` is still running and continues
            self._request_id = 0
            self._start_requests()

    def _respond(self, response: FinalResponse) -> None:
        """Send the response to the open request, and close the connection unless it is kept alive."""
        self._has_open_request = False
        self._release_trace_id()
        if self._closing or not self._transport:
            return
        close = not (self._keep_alive and self._may_keep_alive())
        self._transport.write(encode_final_response(response, close))
        if close:
            self._closing = True
            self._transport.close()
        self._table.mark_inactive(self)

    def _may_keep_alive(self) -> bool:
        """Whether the listener and the keep-alive policy keep the connection open.

        The connection is never closed once the client has sent its next request, even if that is unread.
        """
        if self._listener.stopping:
            return self._has_more_input
        if self._pipelined or self._parser.partial:
            return True
        if self._table.may_keep_alive(self.history) or self.has_unread_input:
            return True
        self._closed_by_policy = True
        self._table.log_close(CloseReason.KEEP_ALIVE_POLICY)
        return False

    def _reject(self, response: FinalResponse, request: http1.Request | None = None) -> None:
        """Send an error response and end the connection.

        If the connection stayed open, the client would repeat the error at once. If it were closed with
        unread input, the kernel would reset it and the client would never read the response. Therefore only
        the output ends, and the client has `LINGER_TIMEOUT_S` (timeouts.py) to close its side.
        """
        self._has_open_request = False
        self._closing = True
        self._report_rejection(response, request)
        self._pipelined.clear()
        self._parser.close()
        self._table.mark_inactive(self)
        if self._transport:
            self._transport.write(encode_final_response(response, close=True))
            self._transport.write_eof()

    def _report_rejection(self, response: FinalResponse, request: http1.Request | None) -> None:
        """Log a response that the listener itself produced, and pass it to `on_reject`, if it is set."""
        reason = response.body.decode().strip() or HTTPStatus(response.status).phrase
        trace_id = request.headers.get(b"x-trace-id", b"") if request else b""
        self._table.log_rejection(response.status, reason, trace_id)
        if self._listener.on_reject:
            self._listener.on_reject(response, request)

    def apply_timeouts(self, now_s: float) -> None:
        """Close or reject a connection without an open request if its client took too long.

        Otherwise, clients that send nothing, half a request or more input after an error would occupy
        descriptors indefinitely.
        """
        inactive_s = now_s - self.inactive_since_s
        if self._closing or self.has_unsent_output:
            action = timeouts.write_action(inactive_s, self.has_unsent_output)
        else:
            idle_timeout_s = self._listener.idle_timeout_s
            if not self.has_sent_request:
                idle_timeout_s = timeouts.FIRST_REQUEST_TIMEOUT_S
            action = timeouts.read_action(inactive_s, self._parser.partial, idle_timeout_s)
        if action is not None:
            self._apply(action)

    def _apply(self, action: TimeoutAction) -> None:
        if action is TimeoutAction.ABORT:
            self.abort(CloseReason.UNREAD_RESPONSE)
        elif action is TimeoutAction.REJECT:
            self._reject(FinalResponse(HTTPStatus.REQUEST_TIMEOUT))
        else:
            self.close_if_idle(CloseReason.IDLE_TIMEOUT)

    def check_paused(self) -> None:
        """Look at the socket while reading is paused.

        Closes the connection and cancels its requests if the client has disconnected.
        """
        if poll_now(self._transport, PEER_CLOSED_EVENTS):
            self.abort(CloseReason.CLIENT_CLOSED)
            self._cancel()
        else:
            self._note_unread_input()

    def close_if_idle(self, reason: CloseReason) -> bool:
        """Close the connection if it is idle and has no unread input; return whether it was closed."""
        if not self.is_idle or not self._transport or self.has_unread_input:
            return False
        self._table.log_close(reason)
        self._closing = True
        self._transport.close()
        return True

    def abort(self, reason: CloseReason) -> None:
        """Close immediately, without sending buffered output."""
        self._table.log_close(reason)
        self._closing = True
        if self._transport:
            self._transport.abort()
