"""Tells for how long the discovery service has been heard without a break. Pure: no I/O and no clock.

A service that is down, or cut off, learns nothing. How far it is behind can only shrink while it is heard.
"""

from __future__ import annotations

from anisespool.discovery.timeouts import SILENCE_TIMEOUT_S

# A longer silence breaks the contact; discovery sends at least an empty line every 2 s.
MAX_SILENCE_NS = int(SILENCE_TIMEOUT_S * 1e9)


class DiscoveryContact:
    """The current period of contact with the service that is watched now."""

    def __init__(self) -> None:
        """Begin without contact."""
        self._since_ns = 0
        self._latest_ns = 0

    def record(self, now_ns: int) -> None:
        """Note that the service was heard at this monotonic time."""
        if now_ns > self._latest_ns + MAX_SILENCE_NS:
            self._since_ns = now_ns
        self._latest_ns = now_ns

    def interrupt(self) -> None:
        """End the period, because another service will be watched."""
        self._since_ns = self._latest_ns = 0

    def heard_ns_since(self, start_ns: int) -> int:
        """Return for how long after a monotonic time the service has been heard without a break."""
        return max(0, self._latest_ns - max(start_ns, self._since_ns))
