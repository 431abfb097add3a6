"""Exponential backoff with jitter: delays between attempts to reach a peer.

The jitter spreads the reconnections of clients that lost the same peer at the same moment. Pure: the caller
provides the source of randomness and does the waiting.
"""

from __future__ import annotations

from random import Random

GROWTH_FACTOR = 2
# The jitter leaves at least this share of a delay; otherwise a retry could follow without a pause.
MIN_JITTER_SHARE = 0.5


class Backoff:
    """Delays between attempts, which double up to a maximum until the backoff is reset."""

    def __init__(self, initial_s: float, max_s: float, random: Random) -> None:
        """Start with the initial delay.

        Args:
            initial_s: First delay in seconds, before jitter.
            max_s: Longest delay in seconds, before jitter.
            random: Source of the jitter; one number is drawn for each delay.
        """
        self._initial_s = initial_s
        self._max_s = max_s
        self._random = random
        self._next_s = initial_s

    def next_delay_s(self, max_s: float | None = None) -> float:
        """Return the delay before the next attempt, and double the following one up to the maximum.

        Args:
            max_s: Longest delay in seconds instead of the backoff's own maximum; also limits the next one.

        Returns:
            The delay in seconds, multiplied by a random factor from MIN_JITTER_SHARE to 1.
        """
        limit_s = self._max_s if max_s is None else max_s
        delay_s = min(self._next_s, limit_s)
        self._next_s = min(GROWTH_FACTOR * delay_s, limit_s)
        return delay_s * self._random.uniform(MIN_JITTER_SHARE, 1.0)

    def reset(self) -> None:
        """Start again with the initial delay."""
        self._next_s = self._initial_s

    def reset_after(self, uptime_s: float) -> None:
        """Reset if a connection lasted at least the longest delay; one that fails sooner is no recovery."""
        if uptime_s >= self._max_s:
            self.reset()
