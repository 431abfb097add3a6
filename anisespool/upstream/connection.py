"""One HTTP/1.1 connection to an endpoint. It carries one attempt at a time and never resends a request."""

from __future__ import annotations

import asyncio
import select
import socket
import time

from anisespool import tcp
from anisespool.balancer.interface import AttemptStatus
from anisespool.buffer_budget import SMALL_BYTES, BufferHolder
from anisespool.codec import http1
from anisespool.codec.load_report import parse_load_report
from anisespool.log import log_event
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.attempt_outcome import NEVER_RAN_HEADER, status_of_loss, status_of_response
from anisespool.upstream.connection_pool import ConnectionPool

FORWARDED_HEADERS = {
    b"x-trace-id": b"X-Trace-Id",
    b"idempotency-key": b"Idempotency-Key",
    b"content-type": b"Content-Type",
}
PARSE_BYTES = 16 * 1024  # limit on the input that is parsed at once
NO_INPUT = memoryview(b"")
LOAD_REPORT_HEADER = b"endpoint-load-metrics"
RESPONSE_HEADERS = frozenset((LOAD_REPORT_HEADER, NEVER_RAN_HEADER))


class Connection(asyncio.BufferedProtocol):
    """A connection and the attempt that it carries, if any.

    The high-water mark of the transport's write buffer is 0, so that `pause_writing` and `resume_writing`
    show exactly whether part of a request is still in the buffer.
    """

    def __init__(self, pool: ConnectionPool, sock: socket.socket) -> None:
        """Create the protocol object; `connection_made` is called once the connection is established.

        Args:
            pool: The endpoint's pool.
            sock: The transport's socket, with `tcp.discard_undelivered_on_close`.
        """
        self.has_unsent_bytes = False
        """Whether the kernel lacks part of the request. If so, the endpoint can't have executed it."""
        self.idle_since_s = 0.0
        """Time of the last return to the pool (monotonic)."""
        self._pool = pool
        self._socket = sock
        self._attempt: Attempt | None = None
        self._parser: http1.ResponseParser | None = None
        self._transport: asyncio.Transport | None = None
        self._poll: select.poll | None = None
        self._request_size = 0
        self._held = BufferHolder(pool.settings.budget)
        self._unparsed = NO_INPUT  # rest of a long read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection as open, and prepare to monitor its socket and write buffer."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._poll = select.poll()
        self._poll.register(self._socket.fileno(), select.POLLIN)
        transport.set_write_buffer_limits(high=0)
        self._pool.open_connections.add(self)

    def pause_writing(self) -> None:
        """Note that the write buffer holds unsent bytes."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Note that the write buffer is empty."""
        self.has_unsent_bytes = False

    @property
    def is_closing(self) -> bool:
        """Whether the transport is closing or closed."""
        assert self._transport
        return self._transport.is_closing()

    def is_usable(self) -> bool:
        """Whether a request may be written: the connection is open and has no unread input.

        The endpoint may have just closed an idle connection, with the close still unread in the kernel.
        A request written to it would end as a reset, which does not prove that the request was not executed.
        """
        if self.is_closing:
            return False
        assert self._poll
        return not self._poll.poll(0)

    def start(self, attempt: Attempt) -> None:
        """Start the attempt by writing its request."""
        assert self._transport
        data = _encode(attempt, self._pool.host_header)
        self._attempt = attempt
        attempt.connection = self
        self._pool.active.add(self)
        self._parser = http1.ResponseParser(header_names=RESPONSE_HEADERS)
        self._request_size = len(data)
        self._transport.write(data)
        # A write that fails immediately closes the transport and empties the buffer, but nothing was sent.
        self.has_unsent_bytes = self.has_unsent_bytes or self._transport.is_closing()

    @property
    def nothing_sent(self) -> bool:
        """Whether no byte of the request has been handed to the kernel."""
        return bool(self._transport and self._transport.get_write_buffer_size() >= self._request_size > 0)

    def withdraw(self) -> None:
        """End the attempt as not executed. Requires `nothing_sent`."""
        self._finish_attempt(AttemptStatus.CONNECT_FAILED)

    def on_response_timeout(self, since_ns: int) -> None:
        """Close the endpoint's idle connections if it has sent nothing since `since_ns` (monotonic)."""
        self._pool.close_idle_if_silent(since_ns)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share: it is emptied at once.

        Without it asyncio would allocate 256 KiB for each read, which costs more than the read itself.
        """
        return self._pool.settings.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the response, and end the attempt once the response is complete or invalid."""
        data = bytes(self._pool.settings.read_buffer[:nbytes])
        self._pool.last_received_ns = time.monotonic_ns()
        if self._attempt is None or self._parser is None:
            self.abort()  # unsolicited data
        elif len(data) <= PARSE_BYTES:
            self._parse(data)
        else:
            self._unparsed = memoryview(data)
            assert self._transport
            self._transport.pause_reading()
            self._pool.settings.scheduler.submit(self, is_short=False)

    def handle_input(self) -> bool:
        """Parse the next part of a long read; return whether there is more."""
        data = self._unparsed[:PARSE_BYTES]
        self._unparsed = self._unparsed[PARSE_BYTES:]
        if data:
            self._parse(data)
        if not self._unparsed and self._transport and not self.is_closing:
            self._transport.resume_reading()
        return bool(self._unparsed)

    def _parse(self, data: bytes | memoryview) -> None:
        if self._attempt is None or self._parser is None:
            return
        response = self._parser.feed(data)
        if response:
            self._on_response(response)
        elif self._parser.failed or self._is_out_of_memory(self._parser.stored_bytes):
            self._finish_attempt(status_of_loss(self.has_unsent_bytes))

    def _is_out_of_memory(self, response_bytes: int) -> bool:
        """Whether the response has to be given up, as connections hold too much and it is no short one."""
        self._held.hold(response_bytes + len(self._unparsed))
        budget = self._pool.settings.budget
        if not budget.is_exceeded or response_bytes <= SMALL_BYTES:
            return False
        if count := self._pool.given_up_limit.count_to_log(""):
            address = self._pool.host_header.decode()
            log_event("response_given_up", address=address, bytes=response_bytes, count=count)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Leave the pool and end the attempt, with its response if the close completes the response."""
        self._pool.open_connections.discard(self)
        if self in self._pool.idle:
            self._pool.idle.remove(self)
        while self._unparsed:
            self.handle_input()
        if self._attempt is None or self._parser is None:
            return
        response = self._parser.feed_eof() if exc is None else None
        if response:
            self._on_response(response)
        else:
            self._finish_attempt(status_of_loss(self.has_unsent_bytes))

    def abort(self) -> None:
        """Close now. The part of a request that the endpoint has not received is never sent.

        The transport would close the socket only in the event loop's next turn, after the response to the
        client is written, and the kernel would go on sending until then.
        """
        self._attempt = None
        self._unparsed = NO_INPUT
        self._pool.active.discard(self)
        self._close_parser()
        self._pool.open_connections.discard(self)
        if self._transport:
            self._transport.abort()
            tcp.close_without_delivering(self._socket)

    def _on_response(self, response: http1.Response) -> None:
        reusable = response.keep_alive and not self.has_unsent_bytes and not self._unparsed
        status = status_of_response(response.status, response.headers)
        self._finish_attempt(status, response, reusable)

    def _finish_attempt(
        self, status: AttemptStatus, response: http1.Response | None = None, reusable: bool = False
    ) -> None:
        attempt = self._attempt
        self._attempt = None
        assert attempt
        attempt.connection = None
        self._pool.active.discard(self)
        self._close_parser()
        if response:
            report = response.headers.get(LOAD_REPORT_HEADER)
            attempt.load = parse_load_report(report, self._pool.settings.report_columns)
        if reusable:
            # Otherwise stray bytes that the endpoint holds back would arrive only with the next request.
            tcp.acknowledge_now(self._socket)
            self._pool.release(self)
        else:
            self.abort()
        attempt.finish(status, response)

    def _close_parser(self) -> None:
        self._held.hold(0)
        if self._parser:
            self._parser.close()
            self._parser = None


def _encode(attempt: Attempt, host: bytes) -> bytes:
    """Encode the attempt's request, including the time until its deadline."""
    remaining_ms = max(1, (attempt.deadline_ns - time.monotonic_ns()) // 1_000_000)
    received = attempt.request.headers
    headers = {name: received[key] for key, name in FORWARDED_HEADERS.items() if key in received}
    headers[b"X-Expires-In-Ms"] = b"%d" % remaining_ms
    return http1.encode_request(attempt.request, host, headers)
