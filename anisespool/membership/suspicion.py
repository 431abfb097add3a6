"""Suspicions and when they expire: the more independent members confirm one, the sooner (Lifeguard, IV-B)."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import log

from anisespool.membership.config import MembershipConfig
from anisespool.membership.local_health import LocalHealth
from anisespool.membership.member_state import IncarnationKey

WIDESPREAD_MEMBERS = (
    8  # suspected at a time: from here on a fault of the network is likelier than single deaths
)


@dataclass(slots=True)
class Suspicion:
    """Of one incarnation of a member.

    Attributes:
        incarnation_key: The boot and incarnation suspected.
        suspected_at_ns: When the first failed probe was sent (ns).
        reporters: Members that suspect it, this one among them if it does.
    """

    incarnation_key: IncarnationKey
    suspected_at_ns: int
    reporters: set[int] = field(default_factory=set)

    def expires_at_ns(self, config: MembershipConfig, multiplier: float) -> int:
        """From the maximum down to the minimum by the logarithm of the confirmations (ns)."""
        confirmations = min(max(0, len(self.reporters) - 1), config.confirmations)
        share = log(confirmations + 1) / log(config.confirmations + 1)
        extra_ns = (config.suspicion_max_ns - config.suspicion_min_ns) * (1 - share) * multiplier
        return self.suspected_at_ns + int(config.suspicion_min_ns + extra_ns) + 1


class SuspicionTable:
    """Members under suspicion, as this member sees them.

    Attributes:
        allowed_at_ns: Before this time this member suspects nobody by itself and lets nothing expire.
    """

    def __init__(self, config: MembershipConfig, health: LocalHealth, local_member: int) -> None:
        self.allowed_at_ns = 0
        self._config = config
        self._health = health
        self._local_member = local_member
        self._suspicions: dict[int, Suspicion] = {}

    def __len__(self) -> int:
        return len(self._suspicions)

    def get(self, member: int) -> Suspicion | None:
        """The suspicion of that member, if there is one."""
        return self._suspicions.get(member)

    def open(self, member: int, incarnation_key: IncarnationKey, suspected_at_ns: int) -> Suspicion:
        """A new suspicion, in the place of one of an earlier incarnation."""
        suspicion = Suspicion(incarnation_key, suspected_at_ns)
        self._suspicions[member] = suspicion
        return suspicion

    def close(self, member: int) -> None:
        """End the suspicion of that member, if there is one."""
        self._suspicions.pop(member, None)

    @property
    def is_widespread(self) -> bool:
        """Whether so many are suspected that a network fault is likelier than single deaths."""
        return len(self._suspicions) >= WIDESPREAD_MEMBERS

    def is_reported_locally(self, member: int) -> bool:
        """Whether this member itself has reported that one."""
        suspicion = self._suspicions.get(member)
        return suspicion is not None and self._local_member in suspicion.reporters

    @property
    def next_expiry_at_ns(self) -> int | None:
        """When the first suspicion expires (ns)."""
        return min(map(self._expires_at_ns, self._suspicions), default=None)

    def expired(self, now_ns: int) -> list[int]:
        """Members whose suspicion has expired."""
        if now_ns < self.allowed_at_ns:
            return []
        return [member for member in self._suspicions if self._expires_at_ns(member) <= now_ns]

    def postpone(self, now_ns: int, pause_ns: int) -> None:
        """Resume after this process was paused: the pause does not count against anybody."""
        earliest_at_ns = now_ns - self._config.suspicion_max_ns + self._config.pause_grace_ns
        for suspicion in self._suspicions.values():
            suspicion.suspected_at_ns = max(suspicion.suspected_at_ns + pause_ns, earliest_at_ns)

    def _expires_at_ns(self, member: int) -> int:
        suspicion = self._suspicions[member]
        is_local = self._local_member in suspicion.reporters
        multiplier = self._health.timeout_multiplier if is_local else 1.0
        return max(suspicion.expires_at_ns(self._config, multiplier), self.allowed_at_ns)
