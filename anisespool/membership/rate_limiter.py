"""Limits the datagrams that one member sends, so that a protocol fault cannot flood the network."""

from __future__ import annotations


class RateLimiter:
    """A token bucket that starts full and holds the tokens of one second."""

    def __init__(self, datagrams_per_s: float, now_s: float) -> None:
        """Create a full bucket.

        Args:
            datagrams_per_s: Tokens added per second, which is also the largest burst.
            now_s: Monotonic time.
        """
        self._datagrams_per_s = datagrams_per_s
        self._tokens = datagrams_per_s
        self._refilled_at_s = now_s

    def try_consume(self, now_s: float) -> bool:
        """Consume a token for one datagram, and return whether there was one.

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
