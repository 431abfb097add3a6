"""State shared by the parts of the protocol (members, queue, timers, events), and messages built from it."""

from __future__ import annotations

from collections.abc import Callable, Set
from dataclasses import dataclass, field

from anisespool.membership.config import MembershipConfig
from anisespool.membership.dissemination import BroadcastQueue
from anisespool.membership.events import MembershipEvent
from anisespool.membership.local_health import LocalHealth
from anisespool.membership.member_state import MemberState, MemberUpdate
from anisespool.membership.messages import MAX_UPDATES, Message, MessageKind, Outgoing
from anisespool.membership.schedule import Schedule, Timer
from anisespool.membership.suspicion import SuspicionTable
from anisespool.membership.view import MembershipView, ViewCache

# Maximum number of events that wait to be taken; beyond it the oldest are dropped.
MAX_EVENTS = 1000
# A sequence number takes two bytes of a datagram.
SEQUENCE_NUMBERS = 2**16
PIGGYBACK_KINDS = frozenset({MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQ, MessageKind.NACK})

# Takes n and returns a random integer from 0 to n - 1.
RandomBelow = Callable[[int], int]


@dataclass(slots=True)
class ProtocolStats:
    """Counts since the start; the field names are those on the control socket.

    Attributes:
        accusations: Failed probes after which this member suspected the target.
        refutations: Updates about this member that it refuted.
        pauses: Ticks that were late by more than the pause threshold.
        ignored: Messages and updates dropped: earlier or implausible boot, invalid number, or after leaving.
    """

    accusations: int = 0
    refutations: int = 0
    pauses: int = 0
    ignored: int = 0


@dataclass(slots=True)
class ProtocolState:
    """One member's state; times are monotonic ns.

    Attributes:
        fleet_size: Number of configured members, which are numbered from 0.
        random_below: The only source of randomness.
        local: This member's own state, as it announces it.
        health: The health score, which lengthens this member's timeouts.
        broadcasts: Updates that are being disseminated.
        members: Current state of each other member, by number; unknown members have no entry.
        events: Events recorded since they were last taken.
        reached_indirectly: Members whose last probe was acknowledged only through helpers, so a path is cut.
        last_sequence: Sequence number of the last ping, for a probe or a relay.
    """

    config: MembershipConfig
    fleet_size: int
    random_below: RandomBelow
    local: MemberUpdate
    health: LocalHealth
    broadcasts: BroadcastQueue
    suspicions: SuspicionTable
    members: dict[int, MemberUpdate] = field(default_factory=dict)
    schedule: Schedule = field(default_factory=Schedule)
    view_cache: ViewCache = field(default_factory=ViewCache)
    events: list[MembershipEvent] = field(default_factory=list)
    stats: ProtocolStats = field(default_factory=ProtocolStats)
    reached_indirectly: set[int] = field(default_factory=set)
    started_at_ns: int = 0
    last_sequence: int = 0

    def is_active(self, member: int) -> bool:
        """Return whether the member is alive or suspect; false before the first update about it."""
        current = self.members.get(member)
        return current is not None and current.state < MemberState.DEAD

    def choose_members(self, count: int, excluded: Set[int] = frozenset()) -> list[int]:
        """Return random members to send to: alive ones, else suspects, else any of the fleet.

        Args:
            count: Maximum number of members.
            excluded: Members that are never returned.
        """
        active = [
            member
            for member, current in self.members.items()
            if member not in excluded and current.state <= MemberState.SUSPECT
        ]
        candidates = [member for member in active if self.members[member].state is MemberState.ALIVE]
        candidates = candidates or active
        if not candidates:
            candidates = [
                number
                for number in range(self.fleet_size)
                if number != self.local.member and number not in excluded
            ]
        chosen = []
        for _ in range(min(count, len(candidates))):
            chosen.append(candidates.pop(self.random_below(len(candidates))))
        return chosen

    def next_sequence(self) -> int:
        """Return the sequence number for a new ping; probes and relays share one series."""
        self.last_sequence = (self.last_sequence + 1) % SEQUENCE_NUMBERS
        return self.last_sequence

    def compose(self, now_ns: int, kind: MessageKind, sequence: int = 0, target: int = 0) -> Message:
        """Return a message from this member; a probe's messages carry queued updates (SWIM's piggybacking).

        Args:
            now_ns: Monotonic time, from which the ages of suspicions are computed.
            sequence: Sequence number, with the meaning that the kind defines.
            target: A member's number or the index of an anti-entropy bucket, depending on the kind.
        """
        updates: tuple[MemberUpdate, ...] = ()
        if kind in PIGGYBACK_KINDS:
            updates = self.broadcasts.take(MAX_UPDATES, self.fleet_size, now_ns)
        return Message(kind, self.local.boot, self.local.incarnation, sequence, target, updates=updates)

    def compose_gossip(self, now_ns: int, updates: tuple[MemberUpdate, ...]) -> Message:
        """Return a GOSSIP with these updates and no others."""
        return self.compose(now_ns, MessageKind.GOSSIP)._replace(updates=updates)

    def reply_with_update(self, now_ns: int, recipient: int, update: MemberUpdate) -> Outgoing:
        """Return a GOSSIP with one update for one member, which may have to refute it."""
        return Outgoing(recipient, self.compose_gossip(now_ns, (update,)))

    def expedite_gossip(self, now_ns: int) -> None:
        """Bring the next gossip round forward: a refutation must arrive before the suspicion expires."""
        self.schedule.bring_forward(Timer.GOSSIP, now_ns + self.config.urgent_gossip_interval_ns)

    def record_event(self, event: MembershipEvent) -> None:
        """Add an event; beyond MAX_EVENTS the oldest is dropped."""
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def view(self) -> MembershipView:
        """Return the current view; the same object until something changes."""
        return self.view_cache.current(self.local.member, self.members, self.fleet_size, self.health)
