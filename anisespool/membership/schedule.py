"""When each of the protocol's periodic jobs is due next. Times are in ns."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum


class Timer(Enum):
    """The periodic jobs; their order is that of the random delays at the start."""

    PROBE = "probe"
    GOSSIP = "gossip"
    ANTI_ENTROPY = "anti-entropy"
    RECONNECT = "reconnect"


class Schedule:
    """The next time of each timer."""

    def __init__(self) -> None:
        self._due_at_ns = dict.fromkeys(Timer, 0)

    def restart(self, now_ns: int, spread_ns: int, random_below: Callable[[int], int]) -> None:
        """Set each timer to a random time within `spread`, so that members don't act in step."""
        for timer in Timer:
            self._due_at_ns[timer] = now_ns + random_below(max(1, spread_ns))

    def set(self, timer: Timer, at_ns: int) -> None:
        """Set the timer's next time."""
        self._due_at_ns[timer] = at_ns

    def bring_forward(self, timer: Timer, at_ns: int) -> None:
        """Let the timer be due by `at`, or sooner if it is already."""
        self._due_at_ns[timer] = min(self._due_at_ns[timer], at_ns)

    def is_due(self, timer: Timer, now_ns: int) -> bool:
        """Whether the timer's time has come."""
        return now_ns >= self._due_at_ns[timer]

    def due_times(self, is_gossip_pending: bool) -> Iterator[int]:
        """The next times; gossip counts only while there is something to send, not to wake for nothing."""
        for timer, at_ns in self._due_at_ns.items():
            if timer is not Timer.GOSSIP or is_gossip_pending:
                yield at_ns
