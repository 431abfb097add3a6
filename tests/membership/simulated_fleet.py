"""A fleet of membership protocols in virtual time, on a network that can delay, lose and block messages."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random
from typing import Any, NamedTuple

from anisespool.membership.config import NS_PER_MS, NS_PER_S, MembershipConfig
from anisespool.membership.events import MemberDied
from anisespool.membership.messages import Message, Outgoing
from anisespool.membership.protocol import MembershipProtocol

# Bounds of a message's random delay.
DELAY_BOUNDS_MS = 1.0, 3.0


class NetworkPath(NamedTuple):
    """The network path from one member to another, in this direction only."""

    sender: int
    recipient: int


class DeathDeclaration(NamedTuple):
    """One member's declaration, true or false, that another is dead."""

    at_ns: int
    observer: int
    member: int


class ScheduledCall(NamedTuple):
    """A call due at `at_ns`; among calls due at the same time, the one with the lower `order` runs first."""

    at_ns: int
    order: int
    call: Callable[..., None]
    arguments: tuple[Any, ...]


class SimulatedFleet:
    """Members that can be killed, started, paused and cut off. Times are in ns unless named otherwise.

    Attributes:
        members: Running members by number.
        paused_until_ns: End of each member's last pause. Messages to a paused member wait for its end.
        loss: Probability that a message is lost.
        is_cut: Whether messages from the first member to the second are lost.
        sent: Number of sent messages by member.
        declared_deaths: All declarations that a member is dead.
    """

    def __init__(self, size: int, seed: int = 1, config: MembershipConfig | None = None) -> None:
        print(f"seed {seed}")
        self.now_ns = NS_PER_S
        self.size = size
        self.config = config or MembershipConfig()
        self.random = Random(seed)
        self.members: dict[int, MembershipProtocol] = {}
        self.paused_until_ns: dict[int, int] = {}
        self.loss = 0.0
        self.is_cut: Callable[[int, int], bool] = lambda sender, recipient: False
        self.sent: Counter[int] = Counter()
        self.declared_deaths: list[DeathDeclaration] = []
        self._order = count()
        self._queue: list[ScheduledCall] = []
        for member in range(size):
            self.start(member, 10)  # The first boot; restarted members can have lower and higher ones.

    def start(self, member: int, boot: int) -> None:
        """Start a member, replacing a running one with that number."""
        protocol = MembershipProtocol(member, boot, self.size, self.random.randrange, self.config)
        self.members[member] = protocol
        self.emit(member, protocol.start(self.now_ns))
        self._call_at(protocol.next_tick_at_ns, self._tick, member, protocol)

    def kill(self, member: int) -> None:
        """End a member without an announcement."""
        del self.members[member]

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        end_ns = self.now_ns + int(seconds * NS_PER_S)
        while self._queue and self._queue[0].at_ns <= end_ns:
            self.now_ns, _, call, arguments = heapq.heappop(self._queue)
            call(*arguments)
        self.now_ns = end_ns

    def emit(self, member: int, outgoing: list[Outgoing]) -> None:
        """Record a member's declarations that others are dead, and deliver its messages."""
        for event in self.members[member].take_events():
            if isinstance(event, MemberDied):
                self.declared_deaths.append(DeathDeclaration(self.now_ns, member, event.member))
        for recipient, message in outgoing:
            self.sent[member] += 1
            assert len(message.updates) <= 17  # As many as fit into one datagram.
            if not self.is_cut(member, recipient) and self.random.random() >= self.loss:
                delay_ns = int(self.random.uniform(*DELAY_BOUNDS_MS) * NS_PER_MS)
                self._call_at(self.now_ns + delay_ns, self._deliver, member, recipient, message)

    def active_members(self, observer: int) -> frozenset[int]:
        """Return the members that are alive or suspect in the observer's view."""
        view = self.members[observer].view()
        return view.alive | view.suspect

    def has_converged(self, observers: set[int], active: set[int]) -> bool:
        """Return whether exactly `active` are alive or suspect in the views of all `observers`."""
        return all(self.active_members(observer) == active for observer in observers)

    def run_until_converged(self, observers: set[int], active: set[int], limit_s: float) -> float:
        """Run until the views have converged, and return the time taken, in s; fail after `limit_s`."""
        start_ns = self.now_ns
        while not self.has_converged(observers, active):
            assert self.now_ns < start_ns + limit_s * NS_PER_S, {
                n: sorted(self.active_members(n)) for n in observers
            }
            self.run(0.1)
        return (self.now_ns - start_ns) / NS_PER_S

    def _call_at(self, at_ns: int, call: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._queue, ScheduledCall(at_ns, next(self._order), call, arguments))

    def _tick(self, member: int, protocol: MembershipProtocol) -> None:
        if self.members.get(member) is not protocol:
            return
        if self.paused_until_ns.get(member, 0) > self.now_ns:
            self._call_at(self.paused_until_ns[member], self._tick, member, protocol)
            return
        self.emit(member, protocol.tick(self.now_ns))
        if not protocol.is_leaving:
            self._call_at(
                max(self.now_ns + NS_PER_MS, protocol.next_tick_at_ns), self._tick, member, protocol
            )

    def _deliver(self, sender: int, recipient: int, message: Message) -> None:
        protocol = self.members.get(recipient)
        if protocol is None:
            return
        if self.paused_until_ns.get(recipient, 0) > self.now_ns:
            # The message waits in the socket's buffer until the recipient resumes.
            self._call_at(
                self.paused_until_ns[recipient] + NS_PER_MS, self._deliver, sender, recipient, message
            )
            return
        self.emit(recipient, protocol.receive(self.now_ns, sender, message))


def converged_fleet(size: int = 20, seed: int = 1) -> SimulatedFleet:
    """Return a fleet in which all members are alive or suspect in all views."""
    fleet = SimulatedFleet(size, seed)
    fleet.run_until_converged(set(range(size)), set(range(size)), 5)
    return fleet
