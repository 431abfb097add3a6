"""The immutable membership view that the rest of the sidecar reads, with its version and time of change."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from anisespool.membership.local_health import FailedProbes, LocalHealth
from anisespool.membership.member_state import MemberState, MemberUpdate


def format_ranges(numbers: Iterable[int]) -> str:
    """Return numbers as ranges such as `0-4,6`, which keeps log entries of large fleets short.

    Args:
        numbers: Distinct numbers in any order.
    """
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
    """Members by state; each number is in exactly one of the sets.

    Attributes:
        version: Number that is incremented with each change of the sets.
        changed_at_ns: Monotonic time of the last change of the sets.
        alive: Live members, including this one.
        dead: Members declared dead because their suspicion expired.
        left: Members that announced their shutdown.
        unknown: Members without any update so far.
        is_isolated: Whether this member may itself be cut off from the others.
        failed_probes: Failures among this member's last probes, which determine `is_isolated`.
        health_score: This member's health score; 0 is healthy.
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
        """Lower bound on the number of live members: suspect and unknown members count as dead."""
        return len(self.alive)

    @property
    def alive_max(self) -> int:
        """Upper bound on the number of live members: suspect and unknown members count as alive."""
        return len(self.alive) + len(self.suspect) + len(self.unknown)


class ViewCache:
    """Caches the last view until a member's state changes.

    Attributes:
        version: Number of changes so far, which is the version of the current view.
        changed_at_ns: Monotonic time of the last change of a member's state.
    """

    def __init__(self) -> None:
        self.version = 0
        self.changed_at_ns = 0
        self._view: MembershipView | None = None

    def mark_changed(self, now_ns: int) -> None:
        """Discard the cached view after a change of a member's state."""
        self.version += 1
        self.changed_at_ns = now_ns
        self._view = None

    def current(
        self, local_member: int, members: Mapping[int, MemberUpdate], fleet_size: int, health: LocalHealth
    ) -> MembershipView:
        """Return the current view, which is rebuilt only after a change.

        Args:
            members: Current updates about the other members.
        """
        view = self._view or self._build(local_member, members, fleet_size, health)
        failed_probes = health.failed_probes
        # These values change independently of the sets and do not increment the version.
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
