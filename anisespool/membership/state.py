"""What the concerns of the protocol share: member table, queue, timers, events, and composing messages."""

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

MAX_EVENTS = 1000  # that wait to be taken
SEQUENCE_NUMBERS = 2**16
PIGGYBACK_KINDS = frozenset({MessageKind.PING, MessageKind.ACK, MessageKind.PING_REQ, MessageKind.NACK})

RandomBelow = Callable[[int], int]  # a random whole number below the given one


@dataclass(slots=True)
class ProtocolStats:
    """Counts since the start, by the names that the control socket shows."""

    accusations: int = 0
    refutations: int = 0
    pauses: int = 0
    ignored: int = 0


@dataclass(slots=True)
class ProtocolState:
    """One member's state.

    Attributes:
        config: The protocol's parameters.
        fleet_size: Members by the settings; their numbers run from 0.
        random_below: The only source of randomness.
        local: This member's own state, as it announces it.
        members: States of the others, by number; none of a member of which no update was received.
        health: How far this member trusts its own observations.
        broadcasts: Updates on their way to the fleet.
        suspicions: Members under suspicion.
        schedule: Periodic jobs.
        views: The view that others read.
        events: Since they were last taken.
        stats: Counts for people.
        reached_indirectly: Members that answered their last probe through others alone: a path is cut.
        started_at_ns: When this member started.
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
    views: ViewCache = field(default_factory=ViewCache)
    events: list[MembershipEvent] = field(default_factory=list)
    stats: ProtocolStats = field(default_factory=ProtocolStats)
    reached_indirectly: set[int] = field(default_factory=set)
    started_at_ns: int = 0
    last_sequence: int = 0

    def is_active(self, member: int) -> bool:
        """Whether the member is known as alive or suspect."""
        current = self.members.get(member)
        return current is not None and current.state < MemberState.DEAD

    def choose_members(self, count: int, excluded: Set[int] = frozenset()) -> list[int]:
        """Random active members, suspects only if nobody is alive; any number while nobody is known."""
        active = [
            member
            for member, current in self.members.items()
            if member not in excluded and current.state <= MemberState.SUSPECT
        ]
        candidates = [member for member in active if self.members[member].state is MemberState.ALIVE]
        candidates = candidates or active
        if not candidates:
            candidates = [n for n in range(self.fleet_size) if n != self.local.member and n not in excluded]
        chosen = []
        for _ in range(min(count, len(candidates))):
            chosen.append(candidates.pop(self.random_below(len(candidates))))
        return chosen

    def next_sequence(self) -> int:
        """A sequence number for a ping; probes and relays share them."""
        self.last_sequence = (self.last_sequence + 1) % SEQUENCE_NUMBERS
        return self.last_sequence

    def compose(self, now_ns: int, kind: MessageKind, sequence: int = 0, target: int = 0) -> Message:
        """A message from this member; those of a probe carry queued updates (piggybacking)."""
        updates: tuple[MemberUpdate, ...] = ()
        if kind in PIGGYBACK_KINDS:
            updates = self.broadcasts.take(MAX_UPDATES, self.fleet_size, now_ns)
        return Message(kind, self.local.boot, self.local.incarnation, sequence, target, updates=updates)

    def compose_gossip(self, now_ns: int, updates: tuple[MemberUpdate, ...]) -> Message:
        """A message that carries these updates alone."""
        return self.compose(now_ns, MessageKind.GOSSIP)._replace(updates=updates)

    def answer_with(self, now_ns: int, recipient: int, update: MemberUpdate) -> Outgoing:
        """A message to one member with one update."""
        return Outgoing(recipient, self.compose_gossip(now_ns, (update,)))

    def expedite_gossip(self, now_ns: int) -> None:
        """Gossip soon, as an update decides whether somebody is taken for dead."""
        self.schedule.bring_forward(Timer.GOSSIP, now_ns + self.config.urgent_gossip_interval_ns)

    def record_event(self, event: MembershipEvent) -> None:
        """Add to the bounded list of events."""
        self.events.append(event)
        del self.events[:-MAX_EVENTS]

    def view(self) -> MembershipView:
        """The current view; the same object until something changes."""
        return self.views.current(self.local.member, self.members, self.fleet_size, self.health)
