"""Timers of the decision module."""

from enum import Enum
from typing import NamedTuple

from anisespool.balancer import interface as api

MAX_TIMER_NS = 3_600_000_000_000  # an hour: no wait has to be longer, and the protocol has a limit
_TOKENS = 2**32


class TimerKind(Enum):
    """The purpose of a timer."""

    RESUBSCRIBE = "resubscribe"
    HEALTH_CHECK = "health_check"
    QUEUED_REQUEST = "queued_request"


class Timer(NamedTuple):
    """The purpose of a timer, and its request."""

    kind: TimerKind
    request: int = 0
    """Id of the queued request; 0 for other kinds."""


UNKNOWN_TIMER = Timer(TimerKind.QUEUED_REQUEST)  # belongs to no request, so that it has no effect


class Timers:
    """The timers that have not expired, by token."""

    def __init__(self) -> None:
        self._by_token: dict[int, Timer] = {}
        self._last_token = 0

    def __len__(self) -> int:
        return len(self._by_token)

    def set(self, timer: Timer, delay_ns: int) -> api.SetTimer:
        """Register a timer, and return the action that sets it."""
        self._last_token = (self._last_token + 1) % _TOKENS
        self._by_token[self._last_token] = timer
        return api.SetTimer(max(0, min(delay_ns, MAX_TIMER_NS)), self._last_token)

    def expire(self, token: int) -> Timer:
        """Remove and return a token's timer; UNKNOWN_TIMER if there is none."""
        return self._by_token.pop(token, UNKNOWN_TIMER)
