"""Determines which instances are targets of the desired state, and the rollout status of each target."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass

from anisespool.agent.control_client import ControlClient, Reachability
from anisespool.agent.desired_state import DesiredState, DrainSet
from anisespool.agent.instance_directory import InstanceDirectory
from anisespool.agent.instance_state import InstanceState
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.rollout.status_by_report import status_by_report

MAX_PROBLEM_INSTANCES = 8  # limit of the instances named in a summary
PROBLEM_STATUSES = frozenset((RolloutStatus.REJECTED, RolloutStatus.UNREACHABLE, RolloutStatus.AHEAD))
NON_TARGET_REACHABILITIES = frozenset((Reachability.NOT_LISTENING, Reachability.UNKNOWN))


@dataclass(frozen=True, slots=True)
class StatusSummary:
    """Numbers of target instances by status, and the first problems.

    Attributes:
        by_status: Number of targets with each status; every status is a key.
        total: Number of all targets, including those without a status.
        problems: One "NAME: reason" for each of the first targets with a problem, sorted by name.
    """

    by_status: dict[RolloutStatus, int]
    total: int
    problems: tuple[str, ...]


class FleetStatus:
    """Comparison of the observed state of the instances with the desired state."""

    def __init__(
        self, directory: InstanceDirectory, desired: DesiredState, in_flight: Container[str]
    ) -> None:
        self._directory = directory
        self._desired = desired
        self._in_flight = in_flight  # names of the instances with a delivery in flight

    def targets(self) -> list[ControlClient]:
        """Return the instances that should have the desired state.

        These are all that have been polled, still listen on their sockets and are not shutting down.
        """
        return [
            client
            for client in self._directory.clients.values()
            if client.reachability not in NON_TARGET_REACHABILITIES
            and not (client.state and client.state.is_shutting_down)
        ]

    def reachable_targets(self) -> list[ControlClient]:
        """Return the targets that are reachable according to the last poll."""
        return [client for client in self.targets() if client.is_reachable]

    def highest_generation(self) -> int:
        """Return the highest generation in the last report of any instance; 0 if there is no report."""
        return max((state.generation for state in self._last_reports()), default=0)

    def highest_drains_revision(self) -> int:
        """Return the highest drains revision in the last report of any instance; 0 if there is no report."""
        return max((state.drains_revision for state in self._last_reports()), default=0)

    def newest_reported_drains(self) -> DrainSet:
        """Return the fleet's drains at the highest revision in the last report of any instance."""
        reported = (
            DrainSet(state.drains_revision, state.drained_by_fleet)
            for state in self._last_reports()
            if state.drained_by_fleet is not None
        )
        return max(reported, key=lambda drains: drains.revision, default=DrainSet(0, ()))

    def _last_reports(self) -> list[InstanceState]:
        """Return the last report of each instance that has reported."""
        return [client.state for client in self._directory.clients.values() if client.state]

    def status_of(self, client: ControlClient) -> RolloutStatus | None:
        """Return the status of an instance for the newest change; None if there is no change."""
        newest = self._desired.newest
        if newest is None:
            return None
        if client.name in self._in_flight:
            return RolloutStatus.IN_FLIGHT
        if not client.is_reachable or client.state is None:
            return RolloutStatus.UNREACHABLE
        return status_by_report(newest, client.state, self._desired.deliveries.get(client.name))

    def detail_of(self, client: ControlClient) -> str:
        """Return why an instance is not up to date; empty if it is, or if no reason is recorded."""
        status = self.status_of(client)
        if status is RolloutStatus.UNREACHABLE:
            return client.detail
        if status is RolloutStatus.REJECTED:
            delivery = self._desired.deliveries.get(client.name)
            if delivery and delivery.detail:
                return delivery.detail
            return "it has another document of that generation"
        if status is RolloutStatus.AHEAD and client.state:
            return f"it has generation {client.state.generation}, which this agent never made"
        return ""

    def summary(self) -> StatusSummary:
        """Return the number of targets with each status, and the first problems."""
        counts = dict.fromkeys(RolloutStatus, 0)
        targets = self.targets()
        problems: list[str] = []
        for client in sorted(targets, key=lambda client: client.name):
            status = self.status_of(client)
            if status:
                counts[status] += 1
            if status in PROBLEM_STATUSES and len(problems) < MAX_PROBLEM_INSTANCES:
                problems.append(f"{client.name}: {self.detail_of(client)}")
        return StatusSummary(counts, len(targets), tuple(problems))
