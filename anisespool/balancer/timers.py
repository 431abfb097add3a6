"""The timers that the decision module has set."""

from enum import Enum
from typing import NamedTuple

from anisespool.balancer import interface as api

MAX_TIMER_NS = 3_600_000_000_000  # an hour: no longer wait is ever needed, and the wire has a bound
_TOKENS = 2**32


class TimerKind(Enum):
    """What a timer was set for."""

    RESUBSCRIBE = "resubscribe"
    HEALTH_CHECK = "health_check"
    QUEUED_REQUEST = "queued_request"


class Timer(NamedTuple):
    """A timer, by what it was set for."""

    kind: TimerKind
    request: int = 0
    """Of a queued request."""


UNKNOWN_TIMER = Timer(TimerKind.QUEUED_REQUEST)


class Timers:
    """Tokens of the timers that have not expired."""

    def __init__(self) -> None:
        self._by_token: dict[int, Timer] = {}
        self._last_token = 0

    def __len__(self) -> int:
        return len(self._by_token)

    def set(self, timer: Timer, delay_ns: int) -> api.SetTimer:
        """Return the action that sets a timer."""
        self._last_token = (self._last_token + 1) % _TOKENS
        self._by_token[self._last_token] = timer
        return api.SetTimer(max(0, min(delay_ns, MAX_TIMER_NS)), self._last_token)

    def expire(self, token: int) -> Timer:
        """Remove and return a timer; one that was never set is that of no request."""
        return self._by_token.pop(token, UNKNOWN_TIMER)
