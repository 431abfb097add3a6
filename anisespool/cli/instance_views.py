"""Answers of one instance's control socket, as the agent forwards them: the fields that tables show.

Fields that tables don't show are not read. Where a field's name differs from its key on the socket,
`msgspec.field(name=...)` or `rename` gives the key.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from anisespool.cli.errors import CommandError, ExitStatus

ViewT = TypeVar("ViewT", bound=msgspec.Struct)


class EndpointDescription(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint, as an instance sees it."""

    id: str
    address: str
    state: str
    drained_by: str = msgspec.field(name="drained")  # sources joined by `+`; empty: not drained
    weight: float = msgspec.field(name="odds")  # share of the next picks, 0 to 1
    slowdown: float  # recent latency over the typical one
    queue: float  # requests that wait there, by its last load report
    in_flight: int = msgspec.field(name="open")  # attempts of this instance
    idle: int  # connections
    warmup_left_s: float = msgspec.field(name="cold_s")


class ClientConnections(msgspec.Struct, frozen=True, kw_only=True):
    """Connections of the application, and how many of them wait for a response."""

    open: int = 0
    working: int = 0


class InstanceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """An instance with its endpoints. None: its version doesn't report the property."""

    name: str
    phase: str | None = None
    build: str | None = None
    pid: int | None = None
    listen: str | None = None
    generation: int | None = None
    digest: str | None = None
    uptime_s: float | None = None
    open_requests: int | None = msgspec.field(default=None, name="open")
    queueing_ratio: float | None = msgspec.field(default=None, name="strain")
    clients: ClientConnections = ClientConnections()
    classes: dict[str, dict[str, int]]  # final responses by request class and outcome
    endpoints: list[EndpointDescription]
    endpoints_total: int


class FailedProbes(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """How many of the last probes failed, and of how many; a list on the socket."""

    failed: int
    total: int


class MembershipView(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "dead": "gone",
        "reached_indirectly": "around",
        "unknown": "unheard",
        "alive_min": "low",
        "alive_max": "high",
        "is_isolated": "cut_off",
        "failed_probes": "in_vain",
        "health_score": "health",
    },
):
    """Which members an instance considers alive; members are numbers.

    Attributes:
        number: This member's.
        age_ms: Since the view's last change.
        alive: Members by state, here and in the next fields.
        reached_indirectly: Active members that answered their last probe through others alone.
        alive_min: At least so many are alive.
        alive_max: At most so many are.
        is_isolated: This member may be the one that is cut off.
        failed_probes: Of the last probes.
        health_score: 0 is healthy.
        stats: Counts of the protocol.
        datagrams: Counts by what became of them.
    """

    number: int
    age_ms: int
    alive: list[int]
    suspect: list[int]
    dead: list[int]
    reached_indirectly: list[int]
    left: list[int]
    unknown: list[int]
    alive_min: int
    alive_max: int
    is_isolated: bool
    failed_probes: FailedProbes
    health_score: int
    stats: dict[str, int]
    datagrams: dict[str, int]

    def live_members(self) -> tuple[int, ...]:
        """Return the members that are considered alive, suspected ones included.

        Two views agree if these are equal.
        """
        return tuple(sorted(self.alive + self.suspect))


def parse_view(answer: object, view_type: type[ViewT], instance: str) -> ViewT:
    """Convert an answer's JSON object.

    Raises:
        CommandError: It lacks a field, as that of another version may.
    """
    try:
        return msgspec.convert(answer, view_type)
    except msgspec.ValidationError as error:
        raise CommandError(ExitStatus.FAILED, f"{instance}: not understood: {error}") from None
