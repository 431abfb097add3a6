"""State of one instance, as it reports it."""

from __future__ import annotations

from dataclasses import dataclass

DRAINING_PHASE = "draining"  # on the control socket; the other phases are starting and serving


@dataclass(frozen=True, slots=True)
class InstanceState:
    """Answer to `routes.GET_STATE` and to every change.

    Attributes:
        name: Of the instance.
        boot: Id of its start, new with every start.
        phase: As reported; a newer build may report one that this agent has no name for.
        generation: Of the applied change, 0 if there is none.
        digest: Of the configuration in force.
        pid: Of its process.
        uptime_s: Seconds since its start.
        build: Its version.
        drained: Ids of the endpoints that it drains.
        drains_revision: Revision of the fleet's drains that it has applied.
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

    @property
    def is_shutting_down(self) -> bool:
        """Whether its graceful shutdown has begun."""
        return self.phase == DRAINING_PHASE
