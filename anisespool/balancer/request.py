"""A client's request in progress. Instants (`*_at`) are monotonic ns."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.attempt import Attempt
from anisespool.balancer.deadlines import Deadlines


class PendingRequest:
    """A request that is open or still has an attempt in flight.

    Attributes:
        ordering_key: Requests with the same key run one at a time; 0: the request is not ordered.
        open_before: Number of other open requests when this one arrived.
        closed: True once the request has its final answer or its client has disconnected.
        streaming: True once the response is being forwarded; the request can't be retried any more.
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
        self.closed = False
        self.streaming = False

    def may_have_executed(self) -> bool:
        """Return whether an endpoint may have executed the request."""
        return bool(self.attempts) and bool(self.possibly_executed())

    def possibly_executed(self) -> list[Attempt]:
        """Return the attempts that may have been executed, oldest first."""
        return [a for a in self.attempts if a.may_have_executed]

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt is in flight; only the last one can be."""
        return bool(self.attempts) and self.attempts[-1].in_flight
