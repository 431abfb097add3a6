"""Callbacks of the senders of changes and drains."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from anisespool.agent.crash_points import CrashHook
from anisespool.agent.events import Publish


@dataclass(frozen=True, slots=True)
class DeliveryHooks:
    """Callbacks that a sender invokes.

    Attributes:
        publish: Publishes an event to all watchers.
        poll_now: Requests an immediate poll of the instance with this name.
        on_done: Called at the end of each delivery, with any outcome.
        at_crash_point: Called at each crash point.
    """

    publish: Publish
    poll_now: Callable[[str], None]
    on_done: Callable[[], None]
    at_crash_point: CrashHook
