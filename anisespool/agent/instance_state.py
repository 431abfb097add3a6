"""The state that an instance reports."""

from __future__ import annotations

from dataclasses import dataclass

DRAINING_PHASE = "draining"  # phase on the control socket; the others are starting and serving


@dataclass(frozen=True, slots=True)
class InstanceState:
    """State in the response to `routes.GET_STATE` and to every change.

    Attributes:
        boot: Boot id, which is new after every start.
        phase: Phase as reported; a newer build may report one that this agent does not define.
        generation: Generation of the applied change, 0 if there is none.
        digest: Digest of the configuration in force.
        uptime_s: Seconds since the start.
        build: Version of the instance.
        drained: Ids of the endpoints that the instance drains.
        drains_revision: Revision of the fleet's drains that the instance has applied.
        drained_by_fleet: Ids of the endpoints that these drain; None if its build does not report them.
    """

    name: str
    boot: str
    phase: str
    generation: int
    digest: str
    pid: int
    uptime_s: float
    build: str
    drained: list[str]
    drains_revision: int
    drained_by_fleet: tuple[str, ...] | None = None

    @property
    def is_shutting_down(self) -> bool:
        """Whether the graceful shutdown of the instance has begun."""
        return self.phase == DRAINING_PHASE
