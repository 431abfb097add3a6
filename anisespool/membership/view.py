"""What the rest of the sidecar sees of membership: an immutable view with a version and a time."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anisespool.membership.local_health import FailedProbes, LocalHealth
from anisespool.membership.member_state import MemberState, MemberUpdate


def format_ranges(numbers: Iterable[int]) -> str:
    """Numbers as `0-4,6`, so that a view of two hundred members takes a few bytes."""
    parts: list[str] = []
    last = None
    for number in sorted(numbers):
        if last is not None and number == last + 1:
            parts[-1] = f"{parts[-1].partition('-')[0]}-{number}"
        else:
            parts.append(str(number))
        last = number
    return ",".join(parts)


class MembershipView(NamedTuple):
    """Members by state, each number in exactly one of the sets.

    Attributes:
        version: Counts changes of the sets.
        changed_at_ns: When they last changed (monotonic, ns).
        alive: This member among them.
        suspect: Suspected, and not yet taken for dead.
        dead: Their suspicion expired.
        left: Announced their shutdown.
        unknown: No update about them was received yet.
        is_isolated: This member may be the one that the others don't reach.
        failed_probes: The evidence for that.
        health_score: Of this member; 0 is healthy.
    """

    version: int
    changed_at_ns: int
    alive: frozenset[int]
    suspect: frozenset[int]
    dead: frozenset[int]
    left: frozenset[int]
    unknown: frozenset[int]
    is_isolated: bool
    failed_probes: FailedProbes
    health_score: int

    @property
    def alive_min(self) -> int:
        """At least so many are alive, as far as this member knows."""
        return len(self.alive)

    @property
    def alive_max(self) -> int:
        """At most so many are alive."""
        return len(self.alive) + len(self.suspect) + len(self.unknown)


class ViewCache:
    """The last view built, and its version."""

    def __init__(self) -> None:
        self.version = 0
        self.changed_at_ns = 0
        self._view: MembershipView | None = None

    def mark_changed(self, now_ns: int) -> None:
        """A member changed its state: the next view is a new version."""
        self.version += 1
        self.changed_at_ns = now_ns
        self._view = None

    def current(
        self, local_member: int, members: Mapping[int, MemberUpdate], fleet_size: int, health: LocalHealth
    ) -> MembershipView:
        """The view of this state, built only if something has changed."""
        view = self._view or self._build(local_member, members, fleet_size, health)
        failed_probes = health.failed_probes
        # Whether this member is isolated follows from its failed probes.
        if view.failed_probes != failed_probes or view.health_score != health.score:
            view = view._replace(
                is_isolated=health.is_isolated, failed_probes=failed_probes, health_score=health.score
            )
        self._view = view
        return view

    def _build(
        self, local_member: int, members: Mapping[int, MemberUpdate], fleet_size: int, health: LocalHealth
    ) -> MembershipView:
        by_state: dict[MemberState, set[int]] = {state: set() for state in MemberState}
        for member, update in members.items():
            by_state[update.state].add(member)
        by_state[MemberState.ALIVE].add(local_member)
        return MembershipView(
            version=self.version,
            changed_at_ns=self.changed_at_ns,
            alive=frozenset(by_state[MemberState.ALIVE]),
            suspect=frozenset(by_state[MemberState.SUSPECT]),
            dead=frozenset(by_state[MemberState.DEAD]),
            left=frozenset(by_state[MemberState.LEFT]),
            unknown=frozenset(range(fleet_size)) - members.keys() - {local_member},
            is_isolated=health.is_isolated,
            failed_probes=health.failed_probes,
            health_score=health.score,
        )
