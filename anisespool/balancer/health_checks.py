"""When is a health check sent, and to which endpoint?

Only where load reports come with nothing else: the check is for the load report that its result carries.
"""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.interface import LoadReportMode, Settings

INTERVAL_DEADLINE_PERCENT = 10  # of the longest class deadline, with which estimates fade


class HealthChecks:
    """The schedule of one sidecar: one endpoint each `interval_ns`, the one without a report for longest."""

    def __init__(self, settings: Settings) -> None:
        longest_deadline_ns = max(c.deadline_ns for c in settings.classes)
        self.is_enabled = settings.load_report_mode is LoadReportMode.PULL and settings.may_health_check
        self.interval_ns = longest_deadline_ns * INTERVAL_DEADLINE_PERCENT // 100

    @staticmethod
    def next_endpoint(ready: list[Endpoint]) -> Endpoint | None:
        """Return the endpoint to check; None: there is none."""
        return min(ready, key=lambda e: e.reported_at) if ready else None
