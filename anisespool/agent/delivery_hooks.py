"""What the senders of changes and drains call beside their own work."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from anisespool.agent.crash_points import CrashHook
from anisespool.agent.events import Publish


@dataclass(frozen=True, slots=True)
class DeliveryHooks:
    """Callbacks of a sender.

    Attributes:
        publish: Publishes an event to all watchers.
        poll_now: Has the instance of this name polled at once.
        on_done: Called at the end of each delivery, whatever its outcome.
        at_crash_point: Called at each crash point.
    """

    publish: Publish
    poll_now: Callable[[str], None]
    on_done: Callable[[], None]
    at_crash_point: CrashHook
