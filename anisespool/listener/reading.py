"""When a client connection is read, and when what is read has arrived."""

from __future__ import annotations

import asyncio
import select
import time
from collections.abc import Callable

from anisespool import tcp
from anisespool.listener.input_arrival import BACKLOG_READ_NS, InputArrival
from anisespool.listener.transport import poll_now
from anisespool.loop_delay import LoopDelay

DISCARD_PAUSE_S = 0.004  # pause between two reads of discarded input


class Reading:
    """Pauses and resumes the reading of one transport.

    Attributes:
        is_paused: Whether reading is paused by `update`.
    """

    __slots__ = ("_arrival", "_full_read_at", "_loop_delay", "_may_read_late", "_transport", "is_paused")

    def __init__(
        self,
        transport: asyncio.Transport,
        loop_delay: LoopDelay,
        may_read_late: Callable[[int], bool],
    ) -> None:
        """Begin to read.

        Args:
            transport: The transport of the connection.
            loop_delay: The delay of the event loop.
            may_read_late: Returns whether input that is read at a time (monotonic ns) may have arrived
                a while ago though the event loop was on time.
        """
        self.is_paused = False
        self._may_read_late = may_read_late
        self._transport = transport
        self._loop_delay = loop_delay
        self._arrival: InputArrival | None = None  # set by the first pause
        self._full_read_at = 0

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds received bytes that have not been read."""
        return poll_now(self._transport, select.POLLIN)

    def read(self, now_ns: int) -> int:
        """Return the earliest time at which the input may have arrived that is read now."""
        return self._arrival.input_read(now_ns) if self._arrival else now_ns

    def may_miss_input(self, now_ns: int, is_full: bool) -> bool:
        """Return whether the client may have sent more than what has been read by now.

        After a time without reading, the kernel may have been full, and get the rest from the client's kernel
        only some time after it has been emptied.

        Args:
            now_ns: The time of this read.
            is_full: Whether this read was as long as it may be.
        """
        if is_full:
            self._full_read_at = now_ns
            return self.has_unread_input
        is_late = not self._loop_delay.is_on_time(now_ns)
        is_behind = self._arrival is not None and self._arrival.is_behind
        return (is_late or is_behind) and now_ns - self._full_read_at < BACKLOG_READ_NS

    def update(self, may_read: bool) -> None:
        """Pause or resume reading, or note that a read has been handled and reading goes on."""
        if self._transport.is_closing():
            return
        if may_read and self.is_paused:
            self._resume()
        elif not may_read and not self.is_paused:
            self._pause()
        elif may_read and self._arrival and self._arrival.is_behind:
            self._arrival.read_finished(is_empty=not self.has_unread_input)

    def arrival_of(self, read_at: int, is_last: bool) -> int:
        """Return the time when a request arrived that is parsed now, or the earliest possible one.

        Args:
            read_at: The earliest arrival of its input, as `read` returned it.
            is_last: Whether nothing else follows the request, so that it ends with the last input.
        """
        now_ns = time.monotonic_ns()
        is_on_time = self._loop_delay.is_on_time(now_ns)
        if is_on_time and not self._may_read_late(now_ns):
            return read_at
        sock = self._transport.get_extra_info("socket")
        waited_ns = tcp.ns_since_last_input(sock) if is_last else None
        if is_on_time:
            return min(read_at, now_ns - (waited_ns or 0))
        return min(read_at, self._loop_delay.input_arrived_at(now_ns, waited_ns))

    def note_unread_input(self) -> None:
        """Note during a pause whether the client has sent more by now."""
        if self._arrival and not self.has_unread_input:
            self._arrival.input_empty(time.monotonic_ns())

    def discard(self) -> None:
        """Throttle a client that keeps sending after an error; reading all its input would use up the CPU."""
        if not self._transport.is_closing():
            self._transport.pause_reading()
            asyncio.get_running_loop().call_later(DISCARD_PAUSE_S, self._resume_discarding)

    def _pause(self) -> None:
        self._transport.pause_reading()
        self.is_paused = True
        now_ns = time.monotonic_ns()
        if self._arrival:
            self._arrival.reading_paused(now_ns)
        else:
            self._arrival = InputArrival(now_ns)

    def _resume(self) -> None:
        self.note_unread_input()
        if self._arrival:
            self._arrival.reading_resumed(time.monotonic_ns())
        self.is_paused = False
        self._transport.resume_reading()

    def _resume_discarding(self) -> None:
        if not self._transport.is_closing():
            self._transport.resume_reading()
