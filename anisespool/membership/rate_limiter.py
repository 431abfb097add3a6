"""Bounds the datagrams that one member sends, so that no fault of the protocol floods the network."""

from __future__ import annotations


class RateLimiter:
    """A token bucket that starts full and holds the tokens of one second."""

    def __init__(self, datagrams_per_s: float, now_s: float) -> None:
        """Create a full bucket.

        Args:
            datagrams_per_s: Tokens added each second; also the highest burst.
            now_s: Monotonic time.
        """
        self._datagrams_per_s = datagrams_per_s
        self._tokens = datagrams_per_s
        self._refilled_at_s = now_s

    def try_consume(self, now_s: float) -> bool:
        """Consume the token of one datagram, and return whether there was one.

        Args:
            now_s: Monotonic time, no earlier than in the last call.
        """
        refill = (now_s - self._refilled_at_s) * self._datagrams_per_s
        self._tokens = min(self._datagrams_per_s, self._tokens + refill)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
