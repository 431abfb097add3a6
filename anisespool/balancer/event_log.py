"""Log lines of the decision module (docs/on-call.md): one method an event.

Each event is logged at most once in a longest class deadline, as a log must not become a load.
"""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.admission.controller import AdmissionDecision
from anisespool.log import format_event

Lines = tuple[api.Log, ...]


class EventLog:
    """Makes the actions that write a line: one, or none while the event is not due."""

    def __init__(self, interval_ns: int) -> None:
        self._interval_ns = interval_ns
        self._next_at: dict[str, int] = {}  # by event, monotonic ns

    def endpoint_list_call_failed(self, now: int, ready: int) -> Lines:
        """A call to discovery failed, with `ready` endpoints to send to."""
        if not self._is_due("endpoint_list_call_failed", now):
            return ()
        return (api.Log(format_event("endpoint_list_call_failed", ready=ready)),)

    def no_eligible_endpoint(self, now: int, ready: int) -> Lines:
        """None of the `ready` endpoints may be sent to."""
        if not self._is_due("no_eligible_endpoint", now):
            return ()
        return (api.Log(format_event("no_eligible_endpoint", ready=ready)),)

    def load_shed(self, now: int, verdict: AdmissionDecision, queueing_ratio: float) -> Lines:
        """A request was shed."""
        if not self._is_due("load_shed", now):
            return ()
        ratio = f"{queueing_ratio:.2f}"
        capacity = f"{verdict.capacity:.0f}"
        count = verdict.open_in_time
        return (api.Log(format_event("load_shed", count=count, capacity=capacity, queueing_ratio=ratio)),)

    def endpoint_failing(self, now: int, number: int, status: api.AttemptStatus, slowdown: float) -> Lines:
        """An attempt at an endpoint has failed."""
        if not self._is_due("endpoint_failing", now):
            return ()
        name = status.name.lower()
        ratio = f"{slowdown:.1f}"
        return (api.Log(format_event("endpoint_failing", number=number, status=name, slowdown=ratio)),)

    def _is_due(self, event: str, now: int) -> bool:
        if now < self._next_at.get(event, 0):
            return False
        self._next_at[event] = now + self._interval_ns
        return True
