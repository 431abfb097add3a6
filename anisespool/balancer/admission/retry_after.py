"""Retry-After: the delay after which a rejected client may retry.

Clients that were rejected together return one after another once the excess is worked off.
"""

from random import Random
from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.estimates.decaying_value import DecayingValue

MIN_RATE_REQUESTS = 1e-12  # requests per ns; avoids a division by zero


class RetryAfterLimits(NamedTuple):
    """Constants of the Retry-After schedule."""

    jitter_share: float = 0.1
    mild_rejection_share: float = 0.5
    """Share of recent requests rejected up to which a client's next attempt probably succeeds."""
    severe_rejection_share: float = 0.8
    """Share of recent requests rejected above which a client's next attempt probably fails."""
    spread_objectives: float = 0.25
    """Period over which clients that were rejected together return, in latency objectives."""
    min_delay_ns: int = 1_000_000


LIMITS = RetryAfterLimits()


class RetryAfterSchedule:
    """Assigns each rejected client the next free instant at which it may return."""

    def __init__(self, settings: api.Settings, answer_rate: DecayingValue, random: Random) -> None:
        self._max_delay_ns = settings.max_retry_after_ns if settings.may_retry_after else 0
        objective_ns = min(c.target_ns for c in settings.classes)
        self._spread_ns = LIMITS.spread_objectives * objective_ns
        self._answer_rate = answer_rate
        self._rejection_rate = DecayingValue(objective_ns)
        self._random = random
        self._next_at = 0  # next free instant, monotonic ns

    def next_delay_ns(self, now: int, excess_ns: float, rate: float, backlog_ns: float = 0.0) -> int:
        """Return a client's Retry-After; 0: none.

        Where most recent requests were rejected, clients return once all open requests are worked off.

        Args:
            excess_ns: Time in which the requests beyond the capacity are worked off.
            rate: Requests served per ns.
            backlog_ns: Time in which all open requests are worked off.
        """
        if not self._max_delay_ns:
            return 0
        self._rejection_rate.add(now)
        earliest = now + excess_ns + self._severity() * backlog_ns
        at = max(earliest, self._next_at)
        self._next_at = int(at + 1 / max(rate, MIN_RATE_REQUESTS))
        if self._next_at > earliest + self._spread_ns:
            self._next_at = int(earliest)
        jitter = LIMITS.jitter_share
        delay = min(at - now, self._max_delay_ns / (1 + jitter))
        return max(int(delay * self._random.uniform(1 - jitter, 1 + jitter)), LIMITS.min_delay_ns)

    def _severity(self) -> float:
        """Return 0 where few recent requests were rejected, up to 1 where most were."""
        rejected = self._rejection_rate.value
        share = rejected / (rejected + self._answer_rate.value)  # callers have updated both to now
        mild = LIMITS.mild_rejection_share
        if share <= mild:
            return 0.0
        return min((share - mild) / (LIMITS.severe_rejection_share - mild), 1.0)
