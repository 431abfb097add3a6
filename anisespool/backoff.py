"""Exponential backoff with jitter: delays between attempts to reach a peer.

The jitter keeps clients that lost the same peer at the same moment from reconnecting together. Pure: the
source of randomness is passed in, and the caller does the waiting.
"""

from __future__ import annotations

from random import Random

GROWTH_FACTOR = 2
MIN_JITTER_SHARE = 0.5  # of the delay: without a lower bound retries could follow without a pause


class Backoff:
    """Delays between attempts: doubled after each one, up to a maximum, until it is reset."""

    def __init__(self, initial_s: float, max_s: float, random: Random) -> None:
        """Begin with the initial delay.

        Args:
            initial_s: The first delay before jitter, s.
            max_s: The longest delay, s.
            random: Source of the jitter; one number is drawn for each delay.
        """
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._next_s = initial_s

    def next_delay_s(self, max_s: float | None = None) -> float:
        """Return how long to wait before the next attempt, and lengthen the delay after it.

        Args:
            max_s: The longest delay, s, in place of the backoff's own; it bounds the delay after it too.

        Returns:
            Seconds: the delay times a random factor from MIN_JITTER_SHARE to 1.
        """
        limit_s = self._max_s if max_s is None else max_s
        delay_s = min(self._next_s, limit_s)
        self._next_s = min(GROWTH_FACTOR * delay_s, limit_s)
        return delay_s * self._random.uniform(MIN_JITTER_SHARE, 1.0)

    def reset(self) -> None:
        """Begin with the initial delay again."""
        self._next_s = self._initial_s

    def reset_after(self, uptime_s: float) -> None:
        """Reset if a connection lasted for at least the longest delay: one that fails soon is no recovery."""
        if uptime_s >= self._max_s:
            self.reset()
