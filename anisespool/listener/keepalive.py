"""Keep-alive policy: which client connections stay open after a response, and which close with it.

A client process shares its descriptors among connections with a request, idle ones and new ones. Clients that
send one request and keep the connection can use all of them, so that new requests never reach the listener
although this sidecar has descriptors to spare.

An idle connection is useful if it is reused before its descriptor is needed. By Little's law that is within
idle limit / (responses per second). The connection's own gaps between a response and the next request predict
its reuse; after its first request, the share of other connections that were reused does.

Pure: no I/O and no clock. Times are seconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import exp2

CLIENT_DESCRIPTOR_FRACTION = 1 / 3  # descriptors assumed of a client process, of those of this sidecar
MAX_IDLE_FRACTION = 1 / 3  # of the client's descriptors: the most that may be idle while others have requests
CROWDED_FRACTION = 0.75  # of the client's descriptors: above it connections without a request are closed
MIN_IDLE_CONNECTIONS = 4  # may be idle whatever else is open
RATE_HALF_LIFE_S = 2.0
GAP_WEIGHT = 0.3  # of a connection's newest gap in its mean
FIRST_GAP_WEIGHT = 0.1  # of one connection's first gap in that of all connections
REUSE_WEIGHT = 0.05  # of one connection in the share that was reused after the first request
UNRESTRICTED_FRACTION = 0.5  # of the idle limit: below it every connection stays open
MIN_REUSE_RATIO = 0.5  # reused share at which connections with one request stay open above that
ARRIVAL_RESERVE_S = 0.5  # descriptors are reserved for the new connections of this time
MIN_RESPONSES_PER_S = 1e-9  # before the first response

RATE_STEP_FACTOR = 0.693  # ln 2: an event adds it, over the half-life, to a rate that decays


class KeepAliveDecision(Enum):
    """What happens to a connection after a response."""

    KEEP = "keep"
    REPLACE_OLDEST = "replace_oldest"
    """Keep it, and close the connection that has been idle longest."""
    CLOSE = "close"
    """Close it with its response."""


@dataclass(slots=True, eq=False)
class ReuseHistory:
    """Requests of one connection so far.

    Attributes:
        requests: Their number.
        gap_s: Mean time between a response and the next request; None before the second request.
    """

    requests: int = 0
    gap_s: float | None = None


class KeepAlivePolicy:
    """Decides for all connections of one listener.

    Attributes:
        client_capacity: Connections that a client process is assumed to be able to hold.
        crowded_above: Open connections above which those without a request are closed.
        max_idle_limit: Upper bound of `max_idle`.
        reuse_ratio: Share of connections that were reused after their first request.
    """

    def __init__(self, descriptors: int) -> None:
        """Create a policy for a process that may hold `descriptors` descriptors."""
        self.client_capacity = descriptors * CLIENT_DESCRIPTOR_FRACTION
        self.crowded_above = self.client_capacity * CROWDED_FRACTION
        self.max_idle_limit = max(MIN_IDLE_CONNECTIONS, int(self.client_capacity * MAX_IDLE_FRACTION))
        self.reuse_ratio = 1.0
        self._first_gap_s = 0.0
        self._responses_per_s = 0.0
        self._arrivals_per_s = 0.0
        self._rates_at_s = 0.0

    def connection_opened(self, now_s: float) -> None:
        """Count a new connection."""
        self._decay_rates(now_s)
        self._arrivals_per_s += RATE_STEP_FACTOR / RATE_HALF_LIFE_S

    def request_received(self, history: ReuseHistory, idle_s: float) -> None:
        """Count a request on a connection that was idle for `idle_s` after a response or its opening."""
        history.requests += 1
        if history.requests == 1:
            return
        if history.requests == 2:
            self._update_reuse_ratio(1.0)
            self._first_gap_s += FIRST_GAP_WEIGHT * (idle_s - self._first_gap_s)
        mean_s = idle_s if history.gap_s is None else history.gap_s
        history.gap_s = mean_s + GAP_WEIGHT * (idle_s - mean_s)

    def connection_closed(self, history: ReuseHistory) -> None:
        """Count the end of a connection that this policy had not closed.

        One closed by a decision could not be reused: counted, it would lower the reuse ratio until every new
        connection was closed after its first response.
        """
        if history.requests == 1:
            self._update_reuse_ratio(0.0)

    def max_idle(self, active: int, new: int) -> int:
        """How many connections may be idle beside those with a request and those without one so far.

        There may be hundreds without a request; they time out soon, so MIN_IDLE_CONNECTIONS stays allowed.
        """
        free = self.client_capacity - active - new - self._arrivals_per_s * ARRIVAL_RESERVE_S
        return max(MIN_IDLE_CONNECTIONS, min(self.max_idle_limit, int(free)))

    def decide(
        self, now_s: float, history: ReuseHistory, idle: int, active: int, new: int
    ) -> KeepAliveDecision:
        """Decide on a connection with a response, beside `idle`, `active` and `new` others."""
        self._decay_rates(now_s)
        self._responses_per_s += RATE_STEP_FACTOR / RATE_HALF_LIFE_S
        max_idle = self.max_idle(active, new)
        if idle < max_idle * UNRESTRICTED_FRACTION:
            return KeepAliveDecision.KEEP
        if history.requests <= 1 and self.reuse_ratio < MIN_REUSE_RATIO:
            return KeepAliveDecision.CLOSE
        gap_s = self._first_gap_s if history.gap_s is None else history.gap_s
        if gap_s > self._max_useful_gap_s(max_idle):
            return KeepAliveDecision.CLOSE
        return KeepAliveDecision.KEEP if idle < max_idle else KeepAliveDecision.REPLACE_OLDEST

    def _max_useful_gap_s(self, max_idle: int) -> float:
        """Time in which as many responses are sent as connections may be idle."""
        return max_idle / max(self._responses_per_s, MIN_RESPONSES_PER_S)

    def _update_reuse_ratio(self, reused: float) -> None:
        self.reuse_ratio += REUSE_WEIGHT * (reused - self.reuse_ratio)

    def _decay_rates(self, now_s: float) -> None:
        factor = exp2((self._rates_at_s - now_s) / RATE_HALF_LIFE_S)
        self._responses_per_s *= factor
        self._arrivals_per_s *= factor
        self._rates_at_s = now_s
