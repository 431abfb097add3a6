"""A cached snapshot of the fleet's capacity and this sidecar's open requests."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from anisespool.balancer.admission.fleet_capacity import FleetCapacity

SNAPSHOT_INTERVAL_OBJECTIVES = 1 / 64  # a scan of all open requests at each arrival would be quadratic
LATE_SNAPSHOT_INTERVAL_OBJECTIVES = 1 / 1024  # applies once another open request has missed its objective


class RequestTimes(NamedTuple):
    """Arrival and latency objective of one open request, monotonic ns."""

    arrived_at: int
    objective_at: int


class OpenRequests(NamedTuple):
    """Counts and ages of this sidecar's open requests."""

    late: int
    """Number of requests past their objectives."""
    mean_age_ns: float
    """Mean age of the other requests."""
    next_objective_at: int
    """Earliest objective among the other requests, monotonic ns; the current time if there are none."""


class LoadSnapshot(NamedTuple):
    """The fleet's capacity and this sidecar's open requests at one instant."""

    fleet: FleetCapacity
    open_requests: OpenRequests


SnapshotSource = Callable[[], LoadSnapshot]


def summarize_open_requests(now: int, requests: Iterable[RequestTimes]) -> OpenRequests:
    """Return how many requests are late, and the mean age and earliest objective of the others."""
    late = 0
    total_age_ns = 0
    objectives = []
    for arrived_at, objective_at in requests:
        if now >= objective_at:
            late += 1
        else:
            total_age_ns += now - arrived_at
            objectives.append(objective_at)
    mean_age_ns = total_age_ns / len(objectives) if objectives else 0.0
    return OpenRequests(late, mean_age_ns, min(objectives, default=now))


class SnapshotCache:
    """Keeps the last snapshot until it is too old."""

    def __init__(self, objective_ns: int) -> None:
        self.snapshot = LoadSnapshot(FleetCapacity(0.0, 0.0), OpenRequests(0, 0.0, 0))
        self.taken_at = -objective_ns  # monotonic ns; the first call of get() takes a snapshot
        self._interval_ns = int(objective_ns * SNAPSHOT_INTERVAL_OBJECTIVES)
        self._late_interval_ns = int(objective_ns * LATE_SNAPSHOT_INTERVAL_OBJECTIVES)

    def get(self, now: int, source: SnapshotSource) -> LoadSnapshot:
        """Return the cached snapshot, or a new one from `source`."""
        age_ns = now - self.taken_at
        has_new_late = now >= self.snapshot.open_requests.next_objective_at
        if age_ns > self._interval_ns or has_new_late and age_ns > self._late_interval_ns:
            self.snapshot = source()
            self.taken_at = now
        return self.snapshot
