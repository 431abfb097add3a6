"""Points at which the tests crash the agent while it processes a change or a drain."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum


class CrashPoint(IntEnum):
    """Points between two durable steps, in the order of execution. The tests kill the agent at each."""

    RECORDED = 1  # the change is stored
    WAVE_RECORDED = 2  # the deliveries of the wave are stored
    SENDING = 3  # the request to one instance is sent next
    ANSWERED = 4  # the instance has confirmed the change, but this is not stored yet
    CONFIRMED = 5  # the confirmation is stored
    SETTLING = 6  # no instance is left to send to, and the settled state is stored next
    SETTLED = 7  # the settled state is stored
    DRAIN_RECORDED = 8  # a new set of drains is stored
    DRAIN_DELIVERED = 9  # one instance has applied the set of drains


CrashHook = Callable[[CrashPoint], None]


def never_crash(point: CrashPoint) -> None:
    """Do nothing: the hook of an agent outside of crash tests."""
