"""Arrival time of input that a client connection reads late, because reading was paused.

A request's time counts from the arrival of its last byte, which may lie unread in the kernel, or behind it in
the client's own, for as long as reading is paused. What is read afterwards counts as arrived at the earliest
possible time, so that no request gets more time than its client has left.

The class is pure: it uses no I/O and no clock. Times are monotonic ns.
"""

from __future__ import annotations

BACKLOG_READ_NS = 10_000_000  # reading for so long also reads what the client could not send during a pause


class InputArrival:
    """The earliest time at which input may have arrived, from the first pause of a connection on.

    Attributes:
        is_behind: Whether input may be read later than it arrived.
    """

    __slots__ = ("_arrived_at", "_reading_since", "_was_empty", "is_behind")

    def __init__(self, read_at: int) -> None:
        """Begin with the first pause; the input before it was read at `read_at`."""
        self.is_behind = True
        self._arrived_at = read_at  # lower bound for input that is unread while `is_behind`
        self._reading_since = read_at
        self._was_empty = False  # whether the socket had no unread input when it was last looked at

    def reading_paused(self, read_at: int) -> None:
        """Note that reading pauses again; the input before this pause was read at `read_at`."""
        if not self.is_behind:
            self._arrived_at = read_at
        self.is_behind = True
        self._was_empty = False

    def input_empty(self, now: int) -> None:
        """Note during a pause that no input is unread, so that all later input arrives later."""
        self._arrived_at = now
        self._was_empty = True

    def reading_resumed(self, now: int) -> None:
        """Note that input is read again."""
        self._reading_since = now

    def input_read(self, now: int) -> int:
        """Return the arrival time of the input that is read now."""
        if self._was_empty and now - self._reading_since > BACKLOG_READ_NS:
            self.is_behind = False
        return self._arrived_at if self.is_behind else now

    def read_finished(self, is_empty: bool) -> None:
        """Note whether the socket had no unread input after a read."""
        self._was_empty = is_empty
