"""The endpoints that an attempt may be sent to."""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.interface import DedupScope, Idempotency, Settings
from anisespool.balancer.request import PendingRequest

TRANSIT_RESOLUTION_MULTIPLE = 4  # steps of the clock that a retry may need to arrive once connected


class Eligibility:
    """Selects the endpoints that may get a request's next attempt: if possible, those without an earlier one.

    Attributes:
        max_transit_ns: Longest time from the decision to retry until the request is at the endpoint.
    """

    def __init__(self, settings: Settings) -> None:
        clock_ns = TRANSIT_RESOLUTION_MULTIPLE * settings.resolution_ns
        self._connected_transit_ns = clock_ns + settings.answer_slack_ns
        self.set_connect_timeout(settings.connect_timeout_ns)

    def set_connect_timeout(self, timeout_ns: int) -> None:
        """Set how long a retry may wait for its connection."""
        self.max_transit_ns = timeout_ns + self._connected_transit_ns

    def eligible(self, request: PendingRequest, subset: list[Endpoint], now: int) -> list[Endpoint]:
        """Return the endpoints of the subset that may get the request's next attempt; there may be none."""
        may_have_executed = request.possibly_executed()
        if may_have_executed and request.request_class.idempotency is Idempotency.WITH_KEY:
            # Outside the deduplication scope and window, a retry may execute the request a second time.
            first = may_have_executed[0]
            window_end_at = first.sent_at + request.request_class.dedup_window_ns
            if now + self.max_transit_ns >= window_end_at:
                return []
            subset = _in_scope(subset, first.endpoint, request.request_class.dedup_scope)
        if not request.attempts:
            return subset
        used_ids = {attempt.endpoint.id for attempt in request.attempts}
        return [e for e in subset if e.id not in used_ids] or subset


def _in_scope(endpoints: list[Endpoint], executed_by: Endpoint, scope: DedupScope) -> list[Endpoint]:
    """Return the endpoints that deduplicate a request which `executed_by` may have executed."""
    listing = executed_by.listing
    if scope is DedupScope.ALL:
        return endpoints
    if scope is DedupScope.ZONE:
        return [e for e in endpoints if e.zone == listing.zone]
    return [e for e in endpoints if e.listing.cell == listing.cell]
