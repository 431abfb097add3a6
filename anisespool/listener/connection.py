"""One client connection, which reads pipelined requests and sends their responses in the same order."""

from __future__ import annotations

import asyncio
import math
import time
from http import HTTPStatus

from anisespool.buffer_budget import SMALL_BYTES, BufferHolder
from anisespool.codec import http1
from anisespool.listener import responses, timeouts
from anisespool.listener.close_reason import CloseReason
from anisespool.listener.connection_table import ConnectionTable
from anisespool.listener.input_arrival import BACKLOG_READ_NS
from anisespool.listener.keepalive import ReuseHistory
from anisespool.listener.listener_context import ListenerContext
from anisespool.listener.open_request import OpenRequest
from anisespool.listener.output import UnsentOutput
from anisespool.listener.reading import Reading
from anisespool.listener.received_input import ReceivedInput
from anisespool.listener.request import HEALTH_CHECK_PATH, InvalidRequest, validate_request
from anisespool.listener.timeouts import TimeoutAction
from anisespool.listener.trace_id import TraceIdReservation
from anisespool.listener.transport import (
    PEER_CLOSED_EVENTS,
    encode_final_response,
    end_output,
    poll_now,
)
from anisespool.proxy.call import FinalResponse

MIN_QUEUE_WAIT_NS = 1_000_000  # a shorter wait in the pipeline is not subtracted from the client's timeout
TIGHT_READ_BYTES = 16 * 1024  # limit on a read while connections hold much in memory
STEP_NS = 200_000  # time to parse in one step; the body of a large request takes less
MAX_STARTED_REQUESTS = 16  # limit on the requests that are started in one step
MAX_UNREAD_WAIT_NS = 250_000_000  # a request is rejected if its client is still sending more after this time


class ClientConnection(asyncio.BufferedProtocol):
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
        self._reading: Reading | None = None
        self._input = ReceivedInput(listener.budget, listener.timeout_ns_of)
        self._held = BufferHolder(listener.budget)  # besides the input
        self._unsent = UnsentOutput(listener.budget)
        self._read_limit = 0
        self._is_submitted = False  # to the input scheduler
        self._is_waiting_to_read = False  # until the scheduler's next step
        self._idle_before_request_s = 0.0
        self._request = OpenRequest()
        self._trace_id = TraceIdReservation(listener.open_trace_ids, listener.proxy)
        self._closing = False
        self._closed_by_policy = False

    @property
    def is_idle(self) -> bool:
        """Whether no request is open, pipelined or partly received, and the connection is not closing."""
        return not (self._closing or self._request.is_open or self._input)

    @property
    def has_read_input(self) -> bool:
        """Whether part of a request, or one that has not been started, has been read."""
        return bool(self._input)

    @property
    def has_pending_response(self) -> bool:
        """Whether a request waits for its response, or a response may not have been sent completely."""
        has_waiting_request = bool(self._input.pipeline) or not self._input.is_parsed
        return self._closing or self._request.is_open or has_waiting_request

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""
        return bool(self._reading and self._reading.has_unread_input)

    @property
    def has_unsent_output(self) -> bool:
        """Whether part of a response is in the write buffer, because the client has not read enough."""
        return self._unsent.size_bytes > 0

    # Events of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._reading = Reading(transport, self._listener.loop_delay, self._listener.may_read_late)
        self._unsent.attach(transport)
        self._table.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share: it is emptied at once.

        Where memory is short only a part of it is used.
        """
        buffer = self._listener.read_buffer
        self._read_limit = TIGHT_READ_BYTES if self._listener.budget.is_tight else len(buffer)
        return buffer[: self._read_limit]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the input that has been read."""
        assert self._reading
        if self._closing or self._input.error_status:
            self._reading.discard()
            return
        now_ns = time.monotonic_ns()
        if not self._request.is_open and not self._input:
            now_s = now_ns / 1e9
            self._idle_before_request_s = now_s - self.inactive_since_s
            self.inactive_since_s = now_s
        self._note_unread_input(now_ns, is_full=nbytes == self._read_limit)
        self._input.add(bytes(self._listener.read_buffer[:nbytes]), self._reading.read(now_ns))
        self._submit()
        if self._is_submitted:
            self._update_reading()  # pauses, as the next read would replace the input that waits for its turn

    def pause_writing(self) -> None:
        """Note that the client has not read all responses."""
        self._unsent.exists = True
        self._table.unsent[self] = None

    def resume_writing(self) -> None:
        """Continue with the next request, as all responses have been sent."""
        self._unsent.exists = False
        self._table.unsent.pop(self, None)
        self._update_held()
        self._check_unread_input()

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
        self._held.hold(0)

    # Input.

    def _note_unread_input(self, now_ns: int, is_full: bool) -> None:
        """Note whether more input has to be read before a request starts, and look again after a while."""
        assert self._reading
        self._input.has_more_unread = self._reading.may_miss_input(now_ns, is_full)
        if self._input.has_more_unread and not is_full:
            asyncio.get_running_loop().call_later(BACKLOG_READ_NS / 1e9, self._check_unread_input)

    def _check_unread_input(self) -> None:
        """Start the next request if nothing is left to be read before it."""
        if not self._closing:
            self._input.has_more_unread = self.has_unread_input
            self._submit()

    def _submit(self) -> None:
        """Have the input handled, unless that is scheduled already."""
        if not self._is_submitted:
            self._is_submitted = True
            self._listener.scheduler.submit(self, self._input.is_short)

    def handle_input(self) -> bool:
        """Parse some of the input and start some requests; return whether there is more to do."""
        ends_at = time.monotonic_ns() + STEP_NS
        while not self._input.is_parsed:
            self._parse()
            if time.monotonic_ns() >= ends_at:
                break
        self._limit_open_request()
        can_start_more = self._start_requests()
        has_more = can_start_more or not self._input.is_parsed
        if not has_more:
            self._is_waiting_to_read = has_more = self._must_wait_to_read()
        self._is_submitted = has_more
        self._update_reading()
        return has_more

    def _parse(self) -> None:
        assert self._reading
        self._input.parse(self._reading.arrival_of)
        if self._input.take_expectation() and self._transport and not self._request.is_open:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self._input.is_partial:
            self._table.mark_receiving(self, self._input.partial_bytes)
        else:
            self._table.mark_received(self)
        if self._listener.budget.is_exceeded:
            self._table.relieve(self._listener.budget)

    def _must_wait_to_read(self) -> bool:
        """Whether a long request is read on only in a later step, as others have input to handle, too."""
        if self._closing or self._is_waiting_to_read:
            return False
        return self._input.is_partial and self._listener.scheduler.is_busy

    def _update_reading(self) -> None:
        """Read on, unless input is left to be parsed, or responses to be read by the client."""
        if not self._reading:
            return
        has_work = not self._input.is_parsed or self._is_waiting_to_read or self._unsent.is_full
        was_paused = self._reading.is_paused
        self._reading.update(may_read=self._closing or not has_work)
        if self._reading.is_paused and not was_paused:
            self._table.paused.add(self)
        elif was_paused and not self._reading.is_paused:
            self._table.paused.discard(self)

    def _update_held(self) -> None:
        """Report the memory that the open request and unsent output take; all together may be too much."""
        self._held.hold(self._request.size_bytes + self._unsent.size_bytes)
        if self._listener.budget.is_exceeded:
            self._table.relieve(self._listener.budget)

    def give_up_partial_request(self) -> None:
        """Reject the request that is being received, after the responses to those before it."""
        self._input.give_up_partial()
        self._table.mark_received(self)
        self._submit()

    def _cancel(self) -> None:
        """Cancel the open request and discard the pipelined ones, because the client has disconnected."""
        self._closing = True
        self._input.clear()
        self._table.paused.discard(self)
        self._trace_id.release()
        if self._request.is_open and self._request.id:
            self._listener.proxy.client_disconnected(self._request.id)
            self._request.end()
        self._update_held()

    # Requests and responses.

    @property
    def _can_start(self) -> bool:
        """Whether the next request can be started now."""
        if self._closing or self._request.is_open or self._unsent.is_full:
            return False
        if not self._input.pipeline:
            return bool(self._input.error_status) and self._input.is_parsed
        return not self._input.must_read_first or self._has_waited_too_long()

    def _has_waited_too_long(self) -> bool:
        first = self._input.pipeline.first
        return first is not None and time.monotonic_ns() - first.received_ns > MAX_UNREAD_WAIT_NS

    def _start_requests(self) -> bool:
        """Start received requests in order, up to the first one without an immediate response.

        Returns:
            Whether more can be started, as there were too many for one step.
        """
        for _ in range(MAX_STARTED_REQUESTS):
            if not self._can_start:
                return False
            if self._input.pipeline:
                self._start_next()
            else:
                self._reject(responses.response_to_error(self._input.error_status))
        return self._can_start

    def _start_next(self) -> None:
        """Take the next request from the pipeline, and respond to it or pass it to the proxy."""
        is_sending = self._input.must_read_first
        is_out_of_memory = self._listener.budget.is_exceeded
        pipelined = self._input.take_next()
        self._request.begin(keep_alive=pipelined is None or pipelined.request.keep_alive)
        self.has_sent_request = True
        self._table.keep_alive_policy.request_received(self.history, self._idle_before_request_s)
        self._table.mark_active(self)
        if pipelined is None or is_sending:
            self._refuse(responses.NOT_KEPT, pipelined.request if pipelined else None)
        elif is_out_of_memory and pipelined.size_bytes > SMALL_BYTES:
            self._refuse(responses.OUT_OF_MEMORY, pipelined.request)
        else:
            self._request.size_bytes = pipelined.size_bytes
            self._update_held()
            self._start(pipelined.request, pipelined.received_ns)

    def _start(self, request: http1.Request, received_ns: int) -> None:
        """Respond to a request directly, or pass it to the proxy."""
        if request.target.partition(b"?")[0] == HEALTH_CHECK_PATH:
            self._respond(FinalResponse(200 if self._listener.proxy.ready else 503))
            return
        if self._table.overloaded:
            self._request.keep_alive = False
            self._refuse(responses.OVERLOADED, request)
            return
        try:
            call = validate_request(request, self._listener.names, self._listener.settings)
            self._trace_id.reserve(call)
        except InvalidRequest as error:
            self._reject(FinalResponse(error.status, f"{error}\n".encode()), request)
            return
        now_ns = time.monotonic_ns()
        waited_ns = now_ns - received_ns
        if waited_ns > MIN_QUEUE_WAIT_NS:
            call = call._replace(timeout_ns=call.timeout_ns - waited_ns, queued_ns=waited_ns)
        is_next_overdue = bool(self._input.pipeline) and self._input.pipeline.responses_due_at() <= now_ns
        if call.timeout_ns <= 0 or is_next_overdue:
            self._refuse(responses.NO_TIME, request)
            return
        proxy = self._listener.proxy
        request_id = proxy.start_request(call, self._respond_and_continue, self._client_has_left)
        if self._request.is_open:
            self._request.id = request_id
            self._limit_open_request()

    def _limit_open_request(self) -> None:
        """Have the open request answered before a later one is lost, whose response has to follow."""
        if not self._request.id or not self._input.pipeline:
            return
        due_at = self._input.pipeline.responses_due_at()
        if due_at < math.inf:
            self._listener.proxy.limit_deadline(self._request.id, int(due_at))

    def _client_has_left(self) -> bool:
        """Whether the client has ended its output, which may lie unread behind its requests."""
        if self._closing or not self._transport or self._transport.is_closing():
            return True
        return poll_now(self._transport, PEER_CLOSED_EVENTS)

    def _respond_and_continue(self, response: FinalResponse) -> None:
        """Send the proxy's response and start the next request."""
        self._respond(response)
        if self._request.id:  # if 0, `_start_requests` is still running and continues
            self._request.id = 0
            if self._input.pipeline or self._input.error_status:
                self._submit()

    def _respond(self, response: FinalResponse) -> None:
        """Send the response to the open request, and close the connection unless it is kept alive."""
        self._request.end()
        self._trace_id.release()
        if self._closing or not self._transport:
            return
        close = not (self._request.keep_alive and self._may_keep_alive())
        self._transport.write(encode_final_response(response, close))
        if close:
            self._closing = True
            self._transport.close()
        self._table.mark_inactive(self)
        self._update_held()

    def _may_keep_alive(self) -> bool:
        """Whether the listener and the keep-alive policy keep the connection open.

        The connection is never closed once the client has sent its next request, even if that is unread:
        closing would reset the connection and lose the response just written. Once the listener has closed,
        the client could not send the remaining requests anywhere else either.
        """
        if self._input or self._listener.stopping:
            return bool(self._input) or self.has_unread_input
        if self._table.may_keep_alive(self.history) or self.has_unread_input:
            return True
        self._closed_by_policy = True
        self._table.log_close(CloseReason.KEEP_ALIVE_POLICY)
        return False

    def _refuse(self, response: FinalResponse, request: http1.Request | None) -> None:
        """Send the listener's own response to the open request, which is not passed to the proxy."""
        self._report_rejection(response, request)
        self._respond(response)

    def _reject(self, response: FinalResponse, request: http1.Request | None = None) -> None:
        """Send an error response and end the connection.

        If the connection stayed open, the client would repeat the error at once. If it were closed with
        unread input, the kernel would reset it and the client would never read the response. Therefore only
        the output ends, and the client has `LINGER_TIMEOUT_S` (timeouts.py) to close its side.
        """
        self._request.end()
        self._closing = True
        self._report_rejection(response, request)
        self._input.clear()
        self._table.mark_inactive(self)
        self._table.mark_lingering(self)
        if self._transport:
            self._transport.write(encode_final_response(response, close=True))
            end_output(self._transport)
        self._update_held()

    def _report_rejection(self, response: FinalResponse, request: http1.Request | None) -> None:
        """Log a response that the listener itself produced, and pass it to `on_reject`, if it is set."""
        trace_id = request.headers.get(b"x-trace-id", b"") if request else b""
        self._table.log_rejection(response.status, responses.reason_of(response), trace_id)
        if self._listener.on_reject:
            self._listener.on_reject(response, request)

    # Timeouts and closing.

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
            action = timeouts.read_action(inactive_s, self._input.is_partial, idle_timeout_s)
        if action is TimeoutAction.ABORT:
            self.abort(CloseReason.UNREAD_RESPONSE)
        elif action is TimeoutAction.REJECT:
            self._reject(FinalResponse(HTTPStatus.REQUEST_TIMEOUT))
        elif action is TimeoutAction.CLOSE_IF_IDLE:
            self.close_if_idle(CloseReason.IDLE_TIMEOUT)

    def check_paused(self) -> None:
        """Look at the socket while reading is paused.

        Closes the connection and cancels its requests if the client has disconnected.
        """
        if poll_now(self._transport, PEER_CLOSED_EVENTS):
            self.abort(CloseReason.CLIENT_CLOSED)
            self._cancel()
        elif self._reading:
            self._reading.note_unread_input()

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
