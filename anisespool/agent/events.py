"""Notification of the agent's streams: bounded queues of events, and a signal that anything changed."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.wall_clock import wall_ms

MAX_QUEUED_EVENTS = 256  # that a watcher has not read


class EventKind(Enum):
    """Kinds of events; the values are those of agent.proto."""

    INSTANCE = "instance"
    CHANGE = "change"
    DRAIN = "drain"
    STORE = "store"


class Publish(Protocol):
    """Publishes an event to all watchers, as `EventBroadcaster.publish` does."""

    def __call__(self, kind: EventKind, subject: str, text: str) -> None:
        """Publish an event about `subject`: an instance, a generation or a revision; may be empty."""


class ChangeSignal:
    """Wakes all waiters whenever anything may have changed."""

    def __init__(self) -> None:
        self._waiters: set[asyncio.Event] = set()

    def notify_all(self) -> None:
        """Wake every waiter."""
        for event in self._waiters:
            event.set()

    async def wait(self, timeout_s: float) -> None:
        """Return at the next notification, or after `timeout_s`."""
        event = asyncio.Event()
        self._waiters.add(event)
        try:
            async with asyncio.timeout(timeout_s):
                await event.wait()
        except TimeoutError:
            pass
        finally:
            self._waiters.discard(event)


class EventBroadcaster:
    """Publishes events to watchers, each with a bounded queue. A watcher that does not read is dropped.

    Attributes:
        max_watchers: Bound of subscriptions; the caller of `subscribe` checks it.
        queues: Of the watchers; the last element of one that was dropped is None.
    """

    def __init__(self, max_watchers: int) -> None:
        self.max_watchers = max_watchers
        self.queues: set[asyncio.Queue[pb.Event | None]] = set()

    @property
    def is_full(self) -> bool:
        """Whether there are as many watchers as may subscribe."""
        return len(self.queues) >= self.max_watchers

    @contextmanager
    def subscribe(self) -> Iterator[asyncio.Queue[pb.Event | None]]:
        """Yield a queue of the events from now on, for as long as the block lasts."""
        queue: asyncio.Queue[pb.Event | None] = asyncio.Queue()
        self.queues.add(queue)
        try:
            yield queue
        finally:
            self.queues.discard(queue)

    def publish(self, kind: EventKind, subject: str, text: str) -> None:
        """Queue an event for every watcher."""
        event = pb.Event(at_ms=wall_ms(), kind=kind.value, subject=subject, text=text)
        for queue in list(self.queues):
            if queue.qsize() >= MAX_QUEUED_EVENTS:
                self.queues.discard(queue)
                queue.get_nowait()  # makes space for the end marker
                queue.put_nowait(None)
            else:
                queue.put_nowait(event)
