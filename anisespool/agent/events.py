"""Notification of the agent's gRPC streams: a bounded event queue for each watcher, and a signal of polls."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from enum import Enum
from typing import Protocol

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.wall_clock import wall_ms

MAX_QUEUED_EVENTS = 256  # limit of the events that a watcher has not read


class EventKind(Enum):
    """Kinds of events; the values are those of agent.proto."""

    INSTANCE = "instance"
    CHANGE = "change"
    DRAIN = "drain"
    STORE = "store"


class Publish(Protocol):
    """Function that publishes an event to all watchers, such as `EventBroadcaster.publish`."""

    def __call__(self, kind: EventKind, subject: str, text: str) -> None:
        """Publish an event about `subject`: the name of an instance, a generation, a revision, or empty."""


class PollSignal:
    """Wakes all waiters after each poll of an instance, since any part of its state may have changed."""

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
        max_watchers: Limit of subscriptions; the caller of `subscribe` checks it.
        queues: Queues of the subscribed watchers. A dropped watcher's queue is removed, and ends with None.
    """

    def __init__(self, max_watchers: int) -> None:
        self.max_watchers = max_watchers
        self.queues: set[asyncio.Queue[pb.Event | None]] = set()

    @property
    def is_full(self) -> bool:
        """Whether the number of watchers has reached `max_watchers`."""
        return len(self.queues) >= self.max_watchers

    @contextmanager
    def subscribe(self) -> Iterator[asyncio.Queue[pb.Event | None]]:
        """Yield a queue that receives every event until the block ends."""
        queue: asyncio.Queue[pb.Event | None] = asyncio.Queue()
        self.queues.add(queue)
        try:
            yield queue
        finally:
            self.queues.discard(queue)

    def publish(self, kind: EventKind, subject: str, text: str) -> None:
        """Queue an event for every watcher, and drop the watchers whose queue is full."""
        event = pb.Event(at_ms=wall_ms(), kind=kind.value, subject=subject, text=text)
        for queue in list(self.queues):
            if queue.qsize() >= MAX_QUEUED_EVENTS:
                self.queues.discard(queue)
                queue.get_nowait()  # frees a place for the end marker
                queue.put_nowait(None)
            else:
                queue.put_nowait(event)
