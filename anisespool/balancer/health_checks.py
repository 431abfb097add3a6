"""The schedule of health checks.

Health checks are sent only if the settings provide no other way to get load reports.
"""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.interface import LoadReportMode, Settings

INTERVAL_DEADLINE_PERCENT = 10  # share of the longest class deadline, which is the estimates' half-life


class HealthCheckSchedule:
    """One sidecar's schedule: a check every `interval_ns`, of the endpoint with the oldest load report."""

    def __init__(self, settings: Settings) -> None:
        longest_deadline_ns = max(c.deadline_ns for c in settings.classes)
        self.is_enabled = settings.load_report_mode is LoadReportMode.PULL and settings.may_health_check
        self.interval_ns = longest_deadline_ns * INTERVAL_DEADLINE_PERCENT // 100

    @staticmethod
    def next_endpoint(ready: list[Endpoint]) -> Endpoint | None:
        """Return the ready endpoint to check next, if any."""
        return min(ready, key=lambda e: e.reported_at) if ready else None
