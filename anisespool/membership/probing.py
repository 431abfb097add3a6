"""Failure detection: direct pings, indirect ones through other members, and pings on behalf of others.

After SWIM, section 4.1, with Lifeguard's NACK: a helper without an answer says so, which shows that the fault
is not in the path to the member that probes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from anisespool.membership.config import BUCKET_MEMBERS
from anisespool.membership.member_state import (
    NOBODY,
    MemberState,
    MemberUpdate,
    suspicion_age_units,
)
from anisespool.membership.messages import MAX_UPDATES, Message, MessageKind, Outgoing
from anisespool.membership.probe_order import ProbeOrder
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState
from anisespool.membership.updates import UpdateProcessor

MAX_RECONNECT_PROBES = 4  # at a time, of members that are dead or unknown


@dataclass(slots=True)
class Probe:
    """A probe in flight; times are in ns.

    Attributes:
        target: The member probed.
        sequence: Of its pings.
        sent_at_ns: When the first ping was sent.
        indirect_at_ns: When indirect probes begin.
        fails_at_ns: When it has failed without an ack.
        indirect: Indirect probes have begun.
        nack_received: One of the helpers has no ack either.
    """

    target: int
    sequence: int
    sent_at_ns: int
    indirect_at_ns: int
    fails_at_ns: int
    indirect: bool = False
    nack_received: bool = False


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping on behalf of another member, under that member's own sequence number; it expires (ns)."""

    requester: int
    sequence: int
    target: int
    expires_at_ns: int


class Prober:
    """Own probes and relayed ones."""

    def __init__(self, state: ProtocolState, updates: UpdateProcessor, order: ProbeOrder) -> None:
        self._state = state
        self._updates = updates
        self._order = order
        self._probes: dict[int, Probe] = {}  # by sequence
        self._relays: dict[int, Relay] = {}  # by sequence

    def due_times(self) -> Iterator[int]:
        """When each probe in flight needs something done."""
        for probe in self._probes.values():
            yield probe.fails_at_ns if probe.indirect else probe.indirect_at_ns

    def abandon(self) -> None:
        """Forget all that is in flight, without judging anybody by it."""
        self._probes.clear()
        self._relays.clear()

    def tick(self, now_ns: int) -> list[Outgoing]:
        """Continue the probes in flight, and begin one if it is time."""
        out: list[Outgoing] = []
        for probe in list(self._probes.values()):
            if not probe.indirect and now_ns >= probe.indirect_at_ns:
                out += self._probe_indirectly(now_ns, probe)
            if now_ns >= probe.fails_at_ns:
                self._fail(now_ns, probe)
                out.append(self._ping(now_ns, probe.sequence, probe.target))
        if self._state.schedule.is_due(Timer.PROBE, now_ns):
            interval_ns = int(self._state.config.probe_interval_ns * self._state.health.timeout_multiplier)
            self._state.schedule.set(Timer.PROBE, now_ns + interval_ns)
            if len(self._probes) < self._state.config.max_probes:
                out += self._begin(now_ns)
        return out

    def reconnect(self, now_ns: int) -> list[Outgoing]:
        """Ping some members that are dead or unknown: a partition may have ended, or a member be late."""
        state = self._state
        absent = [
            member
            for member in range(state.fleet_size)
            if member != state.local.member
            and (member not in state.members or state.members[member].state is MemberState.DEAD)
        ]
        if not absent:
            return []
        out = []
        for _ in range(min(MAX_RECONNECT_PROBES, 1 + len(absent) // BUCKET_MEMBERS)):
            target = absent[state.random_below(len(absent))]
            ping = state.compose(now_ns, MessageKind.PING, target=target)
            current = state.members.get(target)
            updates = (current,) if current else ()  # its state as known here, which it can refute
            out.append(Outgoing(target, ping._replace(updates=updates)))
        return out

    def receive_ping(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Answer a ping that is for this member."""
        if message.target != self._state.local.member:
            return []
        ack = self._state.compose(now_ns, MessageKind.ACK, message.sequence, message.target)
        return [Outgoing(sender, ack)]

    def receive_ping_req(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Ping another member for the sender.

        The NACK goes out with the ping: it shows that the path to the sender works, whatever follows.
        """
        state = self._state
        target = message.target
        if target == state.local.member or not 0 <= target < state.fleet_size:
            return []
        self._expire_relays(now_ns)
        if len(self._relays) >= state.config.max_relays:
            return []
        sequence = state.next_sequence()
        expires_at_ns = now_ns + state.config.probe_interval_ns
        self._relays[sequence] = Relay(sender, message.sequence, target, expires_at_ns)
        ping = state.compose(now_ns, MessageKind.PING, sequence, target)
        nack = state.compose(now_ns, MessageKind.NACK, message.sequence, target)
        return [Outgoing(target, ping), Outgoing(sender, nack)]

    def receive_ack(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """The end of an own probe, or of a relayed ping, whose ACK is passed on."""
        self._succeed(sender, message)
        relay = self._relays.pop(message.sequence, None)
        if relay is None or relay.target != sender:
            return []
        ack = self._state.compose(now_ns, MessageKind.ACK, relay.sequence, relay.target)
        return [Outgoing(relay.requester, ack)]

    def receive_nack(self, message: Message) -> None:
        """Another member pings the target as well, and the path to that member works."""
        probe = self._probes.get(message.sequence)
        if probe:
            probe.nack_received = True

    def _begin(self, now_ns: int) -> list[Outgoing]:
        state = self._state
        target = self._order.next()
        if target is None or any(probe.target == target for probe in self._probes.values()):
            return []
        sequence = state.next_sequence()
        multiplier = state.health.timeout_multiplier
        self._probes[sequence] = Probe(
            target,
            sequence,
            sent_at_ns=now_ns,
            indirect_at_ns=now_ns + int(state.config.ping_timeout_ns * multiplier),
            fails_at_ns=now_ns + int(state.config.probe_timeout_ns * multiplier),
        )
        return [self._ping(now_ns, sequence, target)]

    def _ping(self, now_ns: int, sequence: int, target: int) -> Outgoing:
        """A ping; to a suspect with the suspicion first, as only it can refute that (Lifeguard's buddy)."""
        ping = self._state.compose(now_ns, MessageKind.PING, sequence, target)
        suspicion = self._state.suspicions.get(target)
        if suspicion is None:
            return Outgoing(target, ping)
        suspect = MemberUpdate(
            member=target,
            boot=suspicion.incarnation_key.boot,
            incarnation=suspicion.incarnation_key.incarnation,
            state=MemberState.SUSPECT,
            reporter=min(suspicion.reporters, default=NOBODY),
        )
        return Outgoing(target, ping._replace(updates=(suspect, *ping.updates)[:MAX_UPDATES]))

    def _probe_indirectly(self, now_ns: int, probe: Probe) -> list[Outgoing]:
        state = self._state
        probe.indirect = True
        ping_req = state.compose(now_ns, MessageKind.PING_REQ, probe.sequence, probe.target)
        # Where many are silent, helpers for each probe would make most of the traffic, and the delays it
        # causes would look like more silence.
        helpers = 1 if state.suspicions.is_widespread else state.config.indirect_probes
        out = [Outgoing(helper, ping_req) for helper in state.choose_members(helpers, {probe.target})]
        out.append(self._ping(now_ns, probe.sequence, probe.target))
        return out

    def _succeed(self, sender: int, message: Message) -> None:
        probe = self._probes.get(message.sequence)
        if probe is None or message.target != probe.target:
            return
        del self._probes[message.sequence]
        if sender == probe.target:
            self._state.reached_indirectly.discard(probe.target)
        else:
            self._state.reached_indirectly.add(probe.target)
        self._state.health.record_success()

    def _fail(self, now_ns: int, probe: Probe) -> None:
        state = self._state
        del self._probes[probe.sequence]
        state.reached_indirectly.discard(probe.target)
        # With many suspects the network is cut or they are dead, and longer timeouts prevent nothing.
        state.health.record_failure(is_fault_remote=probe.nack_received or state.suspicions.is_widespread)
        current = state.members.get(probe.target)
        if current and current.state < MemberState.DEAD and now_ns >= state.suspicions.allowed_at_ns:
            state.stats.accusations += 1
            suspect = current._replace(
                state=MemberState.SUSPECT,
                reporter=state.local.member,
                suspicion_age_units=suspicion_age_units(now_ns - probe.sent_at_ns),
            )
            self._updates.apply(now_ns, suspect)

    def _expire_relays(self, now_ns: int) -> None:
        expired = [sequence for sequence, relay in self._relays.items() if relay.expires_at_ns <= now_ns]
        for sequence in expired:
            del self._relays[sequence]
