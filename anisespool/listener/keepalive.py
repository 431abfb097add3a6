"""Keep-alive policy: decides which client connections stay open after a response.

A client process has a limited number of descriptors for its active, idle and new connections. Clients that
send one request and keep the connection open can use up all of them. New requests then never reach the
listener, although this sidecar has descriptors to spare.

An idle connection is useful if it is reused before its descriptor is needed. By Little's law, the descriptor
is needed after idle limit / (responses per second). The connection's own gaps between a response and the next
request predict its reuse. After its first request, the share of other connections that were reused predicts
it instead.

The policy is pure: it uses no I/O and no clock. Times are seconds of one monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import exp2

CLIENT_DESCRIPTOR_FRACTION = 1 / 3  # assumed descriptors of a client process, relative to this sidecar's
MAX_IDLE_FRACTION = 1 / 3  # limit on idle connections, relative to the client's descriptors
CLOSE_SILENT_FRACTION = 0.75  # share of the client's descriptors above which silent connections close
MIN_IDLE_CONNECTIONS = 4  # allowed regardless of other connections
RATE_HALF_LIFE_S = 2.0  # time in which the weight of an event in the rates halves
GAP_WEIGHT = 0.3  # weight of a connection's newest gap in its mean gap
FIRST_GAP_WEIGHT = 0.1  # weight of one connection's first gap in the average over all connections
REUSE_WEIGHT = 0.05  # weight of one connection in the reuse ratio
UNRESTRICTED_FRACTION = 0.5  # share of the idle limit below which every connection stays open
MIN_REUSE_RATIO = 0.5  # above UNRESTRICTED_FRACTION, needed to keep connections with one request
ARRIVAL_RESERVE_S = 0.5  # descriptors are reserved for the new connections expected in this time
MIN_RESPONSES_PER_S = 1e-9  # prevents a division by 0 before the first response

RATE_STEP_FACTOR = 0.693  # ln 2: an event adds this factor / half-life to an exponentially decaying rate


class KeepAliveDecision(Enum):
    """What happens to a connection after a response."""

    KEEP = "keep"
    REPLACE_OLDEST = "replace_oldest"
    """Keep the connection, and close the one that has been idle longest."""
    CLOSE = "close"
    """Close the connection after its response."""


@dataclass(slots=True, eq=False)
class ReuseHistory:
    """Reuse of one connection so far.

    Attributes:
        requests: Number of requests.
        mean_gap_s: Moving average of the time between a response and the next request; None before the second
            request.
    """

    requests: int = 0
    mean_gap_s: float | None = None


class KeepAlivePolicy:
    """Makes the keep-alive decisions for all connections of one listener.

    Attributes:
        client_capacity: Number of connections that a client process is assumed to be able to hold.
        close_silent_above: Number of open connections above which those without a request are closed.
        max_idle_limit: Upper bound of `max_idle`.
        reuse_ratio: Moving average of the share of connections that were reused after their first request.
    """

    def __init__(self, descriptors: int) -> None:
        """Create a policy for a sidecar with a limit of `descriptors` descriptors."""
        self.client_capacity = descriptors * CLIENT_DESCRIPTOR_FRACTION
        self.close_silent_above = self.client_capacity * CLOSE_SILENT_FRACTION
        self.max_idle_limit = max(MIN_IDLE_CONNECTIONS, int(self.client_capacity * MAX_IDLE_FRACTION))
        self.reuse_ratio = 1.0
        self._mean_first_gap_s = 0.0
        self._responses_per_s = 0.0
        self._arrivals_per_s = 0.0
        self._rates_at_s = 0.0

    def connection_opened(self, now_s: float) -> None:
        """Count a new connection."""
        self._decay_rates(now_s)
        self._arrivals_per_s += RATE_STEP_FACTOR / RATE_HALF_LIFE_S

    def request_received(self, history: ReuseHistory, idle_s: float) -> None:
        """Count a request on a connection that was idle for `idle_s` after its last response or opening."""
        history.requests += 1
        if history.requests == 1:
            return
        if history.requests == 2:
            self._update_reuse_ratio(1.0)
            self._mean_first_gap_s += FIRST_GAP_WEIGHT * (idle_s - self._mean_first_gap_s)
        mean_s = idle_s if history.mean_gap_s is None else history.mean_gap_s
        history.mean_gap_s = mean_s + GAP_WEIGHT * (idle_s - mean_s)

    def connection_closed(self, history: ReuseHistory) -> None:
        """Count the end of a connection that was not closed by this policy.

        A connection that the policy closes can't be reused. Counting it would lower the reuse ratio until
        every new connection was closed after its first response.
        """
        if history.requests == 1:
            self._update_reuse_ratio(0.0)

    def max_idle(self, active: int, new: int) -> int:
        """Return how many connections may be idle, given the numbers of active and new connections.

        There may be hundreds of new connections. They time out soon, so at least `MIN_IDLE_CONNECTIONS` may
        always be idle.
        """
        free = self.client_capacity - active - new - self._arrivals_per_s * ARRIVAL_RESERVE_S
        return max(MIN_IDLE_CONNECTIONS, min(self.max_idle_limit, int(free)))

    def decide(
        self, now_s: float, history: ReuseHistory, idle: int, active: int, new: int
    ) -> KeepAliveDecision:
        """Decide on a connection that gets a response, given the numbers of other connections by state."""
        self._decay_rates(now_s)
        self._responses_per_s += RATE_STEP_FACTOR / RATE_HALF_LIFE_S
        max_idle = self.max_idle(active, new)
        if idle < max_idle * UNRESTRICTED_FRACTION:
            return KeepAliveDecision.KEEP
        if history.requests <= 1 and self.reuse_ratio < MIN_REUSE_RATIO:
            return KeepAliveDecision.CLOSE
        gap_s = self._mean_first_gap_s if history.mean_gap_s is None else history.mean_gap_s
        if gap_s > self._max_useful_gap_s(max_idle):
            return KeepAliveDecision.CLOSE
        return KeepAliveDecision.KEEP if idle < max_idle else KeepAliveDecision.REPLACE_OLDEST

    def _max_useful_gap_s(self, max_idle: int) -> float:
        """Return the time in which as many responses are sent as connections may be idle."""
        return max_idle / max(self._responses_per_s, MIN_RESPONSES_PER_S)

    def _update_reuse_ratio(self, reused: float) -> None:
        self.reuse_ratio += REUSE_WEIGHT * (reused - self.reuse_ratio)

    def _decay_rates(self, now_s: float) -> None:
        factor = exp2((self._rates_at_s - now_s) / RATE_HALF_LIFE_S)
        self._responses_per_s *= factor
        self._arrivals_per_s *= factor
        self._rates_at_s = now_s
