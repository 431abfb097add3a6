"""Due times of the protocol's periodic jobs, in monotonic ns."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import Enum


class Timer(Enum):
    """The periodic jobs, in the order in which their random delays are drawn at the start."""

    PROBE = "probe"
    GOSSIP = "gossip"
    ANTI_ENTROPY = "anti-entropy"
    RECONNECT = "reconnect"


class Schedule:
    """The next due time of each timer."""

    def __init__(self) -> None:
        self._due_at_ns = dict.fromkeys(Timer, 0)

    def restart(self, now_ns: int, spread_ns: int, random_below: Callable[[int], int]) -> None:
        """Set each timer to a random time, so that members that start together do not send together.

        Args:
            spread_ns: Length of the period after `now_ns` in which the times lie.
            random_below: Takes n and returns a random integer from 0 to n - 1; called in the order of timers.
        """
        for timer in Timer:
            self._due_at_ns[timer] = now_ns + random_below(max(1, spread_ns))

    def set(self, timer: Timer, at_ns: int) -> None:
        """Set a timer's next due time."""
        self._due_at_ns[timer] = at_ns

    def bring_forward(self, timer: Timer, at_ns: int) -> None:
        """Make a timer due at `at_ns`, unless it is due sooner."""
        self._due_at_ns[timer] = min(self._due_at_ns[timer], at_ns)

    def is_due(self, timer: Timer, now_ns: int) -> bool:
        """Return whether a timer is due."""
        return now_ns >= self._due_at_ns[timer]

    def due_times(self, is_gossip_pending: bool) -> Iterator[int]:
        """Yield the next due times.

        Args:
            is_gossip_pending: Whether updates are queued. If not, the gossip timer is left out.
        """
        for timer, at_ns in self._due_at_ns.items():
            if timer is not Timer.GOSSIP or is_gossip_pending:
                yield at_ns
