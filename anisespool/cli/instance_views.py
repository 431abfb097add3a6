"""Responses of an instance's control socket, as the agent forwards them.

Only fields that tables show are read. If the name of a field differs from its key on the socket,
`msgspec.field(name=...)` or `rename` has the key.
"""

from __future__ import annotations

from typing import TypeVar

import msgspec

from anisespool.cli.errors import CommandError, ExitStatus

ViewT = TypeVar("ViewT", bound=msgspec.Struct)


class EndpointDescription(msgspec.Struct, frozen=True, kw_only=True):
    """An endpoint as the instance sees it."""

    id: str
    address: str
    state: str
    drained_by: str = msgspec.field(name="drained")  # sources of the drain joined by `+`; empty: not drained
    weight: float = msgspec.field(name="odds")  # share of the next attempts, 0 to 1
    slowdown: float  # ratio of recent to typical latency
    queue: float  # requests queued there, by its last load report
    in_flight: int = msgspec.field(name="open")  # attempts by this instance
    idle: int  # idle connections
    warmup_left_s: float = msgspec.field(name="cold_s")


class ClientConnections(msgspec.Struct, frozen=True, kw_only=True):
    """Number of connections from the application, and of those that wait for a response."""

    open: int = 0
    working: int = 0


class InstanceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """An instance with its endpoints. A property is None if the instance's version does not report it."""

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
    classes: dict[str, dict[str, int]]  # numbers of final responses, by request class and outcome
    endpoints: list[EndpointDescription]
    endpoints_total: int


class FailedProbes(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Number of failures among the last probes, and number of probes; a list of two on the socket."""

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
    """An instance's view of the members, which are identified by number.

    Attributes:
        number: Number of the instance itself.
        age_ms: Time since the view last changed.
        alive: Members in this state; likewise `suspect`, `dead`, `left` and `unknown`.
        reached_indirectly: Live or suspect members last acknowledged only through helpers.
        alive_min: Lower bound on the number of live members.
        alive_max: Upper bound on the number of live members.
        is_isolated: Whether the instance may itself be cut off.
        failed_probes: Failures among its last probes.
        health_score: Health score of the instance; 0 is healthy.
        stats: Protocol counters.
        datagrams: Datagram counters by name.
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
        """Return the live and suspect members. Two views agree if these are equal."""
        return tuple(sorted(self.alive + self.suspect))


def parse_view(answer: object, view_type: type[ViewT], instance: str) -> ViewT:
    """Convert the JSON object of a response to a view.

    Raises:
        CommandError: A field is missing or invalid, as may be if the instance runs another version.
    """
    try:
        return msgspec.convert(answer, view_type)
    except msgspec.ValidationError as error:
        raise CommandError(ExitStatus.FAILED, f"{instance}: not understood: {error}") from None
