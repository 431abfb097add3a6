"""Suspicions, which expire sooner the more independent members confirm them (Lifeguard, IV-B).

Without confirmation a suspicion lasts for the maximum time, in which a live suspect can refute it.
Confirmations show that the fault is not in one member's path, and reduce the time towards the minimum.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from math import log

from anisespool.membership.config import MembershipConfig
from anisespool.membership.local_health import LocalHealth
from anisespool.membership.member_state import IncarnationKey

# With this many suspects, a network fault is likelier than independent deaths.
WIDESPREAD_MEMBERS = 8


@dataclass(slots=True)
class Suspicion:
    """The suspicion of one incarnation of a member.

    Attributes:
        incarnation_key: The suspected incarnation; a higher one ends the suspicion.
        suspected_at_ns: When the first failed probe was sent, as far as the limit on reported ages allows.
        reporters: Members that reported the suspicion; all but the first are confirmations.
    """

    incarnation_key: IncarnationKey
    suspected_at_ns: int
    reporters: set[int] = field(default_factory=set)

    def expires_at_ns(self, config: MembershipConfig, multiplier: float) -> int:
        """Return when the suspicion expires; the time falls from maximum to minimum with log(confirmations).

        Args:
            config: Holds the minimum, the maximum, and the number of confirmations that leads to the minimum.
            multiplier: Local health multiplier, 1.0 or more; it applies to the part above the minimum.
        """
        confirmations = min(max(0, len(self.reporters) - 1), config.confirmations)
        share = log(confirmations + 1) / log(config.confirmations + 1)
        extra_ns = (config.suspicion_max_ns - config.suspicion_min_ns) * (1 - share) * multiplier
        return self.suspected_at_ns + int(config.suspicion_min_ns + extra_ns) + 1


class SuspicionTable:
    """Suspicions by member. Times are monotonic ns.

    Attributes:
        grace_ends_at_ns: Time before which this member raises no suspicion and none expires.
    """

    def __init__(self, config: MembershipConfig, health: LocalHealth, local_member: int) -> None:
        self.grace_ends_at_ns = 0
        self._config = config
        self._health = health
        self._local_member = local_member
        self._suspicions: dict[int, Suspicion] = {}

    def __len__(self) -> int:
        return len(self._suspicions)

    def __iter__(self) -> Iterator[Suspicion]:
        return iter(self._suspicions.values())

    def get(self, member: int) -> Suspicion | None:
        """Return the suspicion of a member, or None."""
        return self._suspicions.get(member)

    def open(self, member: int, incarnation_key: IncarnationKey, suspected_at_ns: int) -> Suspicion:
        """Start a suspicion and return it; a suspicion of an earlier incarnation is replaced."""
        suspicion = Suspicion(incarnation_key, suspected_at_ns)
        self._suspicions[member] = suspicion
        return suspicion

    def close(self, member: int) -> None:
        """End the suspicion of a member, if there is one."""
        self._suspicions.pop(member, None)

    @property
    def is_widespread(self) -> bool:
        """Whether at least WIDESPREAD_MEMBERS are suspected."""
        return len(self._suspicions) >= WIDESPREAD_MEMBERS

    def is_reported_locally(self, member: int) -> bool:
        """Return whether this member is among the reporters of a suspicion."""
        suspicion = self._suspicions.get(member)
        return suspicion is not None and self._local_member in suspicion.reporters

    @property
    def next_expiry_at_ns(self) -> int | None:
        """When the earliest suspicion expires; None if there is none."""
        return min(map(self._expires_at_ns, self._suspicions.values()), default=None)

    def expired(self, now_ns: int) -> dict[int, Suspicion]:
        """Return the suspicions that have expired, by member; none before `grace_ends_at_ns`."""
        if now_ns < self.grace_ends_at_ns:
            return {}
        return {
            member: suspicion
            for member, suspicion in self._suspicions.items()
            if self._expires_at_ns(suspicion) <= now_ns
        }

    def postpone(self, now_ns: int, pause_ns: int) -> None:
        """Postpone all suspicions after a pause of this process, which missed the refutations sent meanwhile.

        Each suspicion lasts at least for the grace period after the pause.

        Args:
            now_ns: When the process resumed.
            pause_ns: Length of the pause.
        """
        earliest_at_ns = now_ns - self._config.suspicion_max_ns + self._config.pause_grace_ns
        for suspicion in self._suspicions.values():
            suspicion.suspected_at_ns = max(suspicion.suspected_at_ns + pause_ns, earliest_at_ns)

    def _expires_at_ns(self, suspicion: Suspicion) -> int:
        """Return when a suspicion expires; only those that this member reported depend on its health."""
        is_local = self._local_member in suspicion.reporters
        multiplier = self._health.timeout_multiplier if is_local else 1.0
        return max(suspicion.expires_at_ns(self._config, multiplier), self.grace_ends_at_ns)
