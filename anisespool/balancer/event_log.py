"""Log lines of the decision module (docs/on-call.md), one method for each event.

Each event is logged at most once per longest class deadline, to bound the load that the log causes.
"""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.admission.controller import AdmissionDecision
from anisespool.log import format_event

LogActions = tuple[api.Log, ...]


class EventLog:
    """Returns the action that logs an event; none if it was logged recently."""

    def __init__(self, interval_ns: int) -> None:
        self._interval_ns = interval_ns
        self._next_at: dict[str, int] = {}  # earliest next line of each event, monotonic ns

    def endpoint_list_call_failed(self, now: int, ready: int) -> LogActions:
        """Log that a call to discovery failed, with `ready` endpoints left to send to."""
        if not self._try_start_interval("endpoint_list_call_failed", now):
            return ()
        return (api.Log(format_event("endpoint_list_call_failed", ready=ready)),)

    def no_eligible_endpoint(self, now: int, ready: int) -> LogActions:
        """Log that a request may be sent to none of the `ready` endpoints."""
        if not self._try_start_interval("no_eligible_endpoint", now):
            return ()
        return (api.Log(format_event("no_eligible_endpoint", ready=ready)),)

    def load_shed(self, now: int, decision: AdmissionDecision, queueing_ratio: float) -> LogActions:
        """Log that a request was shed."""
        if not self._try_start_interval("load_shed", now):
            return ()
        ratio = f"{queueing_ratio:.2f}"
        capacity = f"{decision.capacity:.0f}"
        count = decision.open_in_time
        return (api.Log(format_event("load_shed", count=count, capacity=capacity, queueing_ratio=ratio)),)

    def endpoint_failing(
        self, now: int, number: int, status: api.AttemptStatus, slowdown: float
    ) -> LogActions:
        """Log that an attempt failed."""
        if not self._try_start_interval("endpoint_failing", now):
            return ()
        name = status.name.lower()
        ratio = f"{slowdown:.1f}"
        return (api.Log(format_event("endpoint_failing", number=number, status=name, slowdown=ratio)),)

    def _try_start_interval(self, event: str, now: int) -> bool:
        """Return whether an event may be logged now; if so, start its interval."""
        if now < self._next_at.get(event, 0):
            return False
        self._next_at[event] = now + self._interval_ns
        return True
