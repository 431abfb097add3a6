"""How late the event loop runs, so that what it handles late is not taken for new.

A process that was stopped, or got no CPU time, finds everything that happened meanwhile at once: requests,
their clients' closes, changes of the endpoint list, signals. A check that is due periodically shows that the
event loop was late. Whatever is handled before the check has run may have happened any time since the check
before.

The module is pure: it uses no I/O and no clock. Times are monotonic ns.
"""

from __future__ import annotations

CHECK_INTERVAL_NS = 100_000_000
MIN_DELAY_NS = 40_000_000  # a check that runs later than this shows that the event loop was delayed
BACKLOG_NS = 1_000_000_000  # time after a delay in which input may still be read that arrived during it


class LoopDelay:
    """The latest delay of one event loop."""

    __slots__ = ("_checked_at", "_delayed_since", "_delayed_until")

    def __init__(self, now: int) -> None:
        """Begin with a loop that is on time; `check_ran` has to be called every `CHECK_INTERVAL_NS`."""
        self._checked_at = now
        self._delayed_since = 0
        self._delayed_until = 0

    def check_ran(self, now: int) -> int:
        """Note that the periodic check runs; return by how much the loop was delayed, 0 if it was not."""
        delay_ns = 0
        if self.is_overdue(now):
            delay_ns = now - self._checked_at - CHECK_INTERVAL_NS
            self._delayed_since = self._checked_at
            self._delayed_until = now
        self._checked_at = now
        return delay_ns

    def is_overdue(self, now: int) -> bool:
        """Return whether the check is overdue, so that whatever happens now may have waited."""
        return now - self._checked_at > CHECK_INTERVAL_NS + MIN_DELAY_NS

    def is_on_time(self, now: int) -> bool:
        """Return whether the loop has been on time for long enough that all input is read as it arrives."""
        return now >= self._delayed_until + BACKLOG_NS and not self.is_overdue(now)

    def earliest_event_at(self, handled_at: int) -> int:
        """Return the earliest time at which something may have happened that was handled at `handled_at`.

        It is `handled_at` itself unless the loop was delayed then.
        """
        if self.is_overdue(handled_at):
            return self._checked_at
        if self._delayed_since < handled_at <= self._delayed_until:
            return self._delayed_since
        return handled_at

    def earliest_input_at(self, now: int) -> int:
        """Return the earliest time at which input may have arrived that is read now.

        After a delay, connections that waited meanwhile are accepted a few in each turn of the event loop.
        """
        if self._delayed_until < now < self._delayed_until + BACKLOG_NS:
            return self.earliest_event_at(self._delayed_until)
        return self.earliest_event_at(now)

    def input_arrived_at(self, now: int, waited_ns: int | None) -> int:
        """Return when input arrived that is read now, or the earliest possible time.

        Args:
            now: The current time.
            waited_ns: For how long it lay unread, as the kernel tells it; None if it does not.
        """
        earliest_at = self.earliest_input_at(now)
        if waited_ns is not None:
            return max(earliest_at, now - waited_ns)
        return earliest_at if self.is_overdue(now) else now
