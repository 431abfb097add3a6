"""A client's request that is not finished. Instants (`*_at`) are monotonic ns."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.attempt import Attempt
from anisespool.balancer.deadlines import Deadlines


class PendingRequest:
    """A request until its last attempt has ended.

    Attributes:
        ordering_key: Requests of one key run one at a time; 0: this one is not ordered.
        open_before: Other open requests when it arrived.
        answered: Its final answer was given, or its client has disconnected.
        streaming: The first byte of its response was forwarded: it can't be retried any more.
    """

    def __init__(
        self,
        event: api.RequestArrived,
        request_class: api.RequestClass,
        deadlines: Deadlines,
        now: int,
        open_before: int,
    ) -> None:
        self.event = event
        self.request_class = request_class
        self.id = event.request
        self.ordering_key = event.key if request_class.in_order else 0
        self.arrived_at = now
        self.deadlines = deadlines
        self.open_before = open_before
        self.retry_after_ns = 0
        self.attempts: list[Attempt] = []
        self.answered = False
        self.streaming = False

    def may_have_executed(self) -> bool:
        """Return whether an attempt may have had an effect."""
        return bool(self.attempts) and bool(self.possibly_executed())

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have had an effect, the oldest first."""
        return [a for a in self.attempts if a.may_have_executed]

    def has_attempt_in_flight(self) -> bool:
        """Return whether the last attempt has not ended."""
        return bool(self.attempts) and self.attempts[-1].in_flight
