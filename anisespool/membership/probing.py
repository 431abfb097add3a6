"""Failure detection: direct pings, indirect pings through helpers, and pings on behalf of others.

This is SWIM, section 3.1, with two additions from Lifeguard. A helper answers a ping-req with a NACK, which
shows that the fault is not in the probing member. A ping to a suspect carries the suspicion, so that the
suspect can refute it at once (the buddy system). Times are monotonic ns.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from anisespool.membership.config import BUCKET_MEMBERS
from anisespool.membership.member_state import (
    NO_REPORTER,
    MemberState,
    MemberUpdate,
    suspicion_age_units,
)
from anisespool.membership.messages import MAX_UPDATES, Message, MessageKind, Outgoing
from anisespool.membership.probe_order import ProbeOrder
from anisespool.membership.relays import Relay, RelayTable
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState
from anisespool.membership.updates import UpdateProcessor

# Maximum number of pings to dead or unknown members in one round.
MAX_RECONNECT_PROBES = 4


@dataclass(slots=True)
class Probe:
    """A probe in flight.

    Attributes:
        sequence: Sequence number of its pings.
        sent_at_ns: When the first ping was sent.
        indirect_at_ns: When ping-reqs are sent to helpers.
        fails_at_ns: When the target is suspected, unless an ACK has arrived.
        is_indirect: Whether ping-reqs have been sent.
    """

    target: int
    sequence: int
    sent_at_ns: int
    indirect_at_ns: int
    fails_at_ns: int
    is_indirect: bool = False
    nack_received: bool = False


class Prober:
    """Runs this member's own probes and, as a helper, pings members for the probes of others.

    Attributes:
        relays: Pings in flight on behalf of others.
    """

    def __init__(self, state: ProtocolState, updates: UpdateProcessor, order: ProbeOrder) -> None:
        self.relays = RelayTable(state.config)
        self._state = state
        self._updates = updates
        self._order = order
        # Probes in flight by sequence number.
        self._probes: dict[int, Probe] = {}

    def due_times(self) -> Iterator[int]:
        """Yield the time at which each probe in flight sends ping-reqs or fails."""
        for probe in self._probes.values():
            yield probe.fails_at_ns if probe.is_indirect else probe.indirect_at_ns

    def abandon(self) -> None:
        """Drop all probes and relays after a pause, during which ACKs were missed; no target is suspected."""
        self._probes.clear()
        self.relays.clear()

    def tick(self, now_ns: int) -> list[Outgoing]:
        """Advance the probes in flight, and start a new one if the timer is due.

        If a probe fails, its target is pinged once more, with the suspicion if there is one.
        """
        outgoing: list[Outgoing] = []
        for probe in list(self._probes.values()):
            if not probe.is_indirect and now_ns >= probe.indirect_at_ns:
                outgoing += self._probe_indirectly(now_ns, probe)
            if now_ns >= probe.fails_at_ns:
                self._fail(now_ns, probe)
                outgoing.append(self._ping(now_ns, probe.sequence, probe.target))
        if self._state.schedule.is_due(Timer.PROBE, now_ns):
            interval_ns = int(self._state.config.probe_interval_ns * self._state.health.timeout_multiplier)
            self._state.schedule.set(Timer.PROBE, now_ns + interval_ns)
            if len(self._probes) < self._state.config.max_probes:
                outgoing += self._begin(now_ns)
        return outgoing

    def reconnect(self, now_ns: int) -> list[Outgoing]:
        """Return pings to random members that are dead or unknown; called by the timer.

        After a partition nothing else makes its sides contact each other. Serf's reconnect does the same. A
        round has one ping, plus one for every BUCKET_MEMBERS absent members up to MAX_RECONNECT_PROBES.
        """
        state = self._state
        absent = [
            member
            for member in range(state.fleet_size)
            if member != state.local.member
            and (member not in state.members or state.members[member].state is MemberState.DEAD)
        ]
        if not absent:
            return []
        outgoing = []
        for _ in range(min(MAX_RECONNECT_PROBES, 1 + len(absent) // BUCKET_MEMBERS)):
            target = absent[state.random_below(len(absent))]
            ping = state.compose(now_ns, MessageKind.PING, target=target)
            current = state.members.get(target)
            # A live member refutes the update that it is dead.
            updates = (current,) if current else ()
            outgoing.append(Outgoing(target, ping._replace(updates=updates)))
        return outgoing

    def receive_ping(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Return the ACK for a ping, or nothing if another member is its target."""
        if message.target != self._state.local.member:
            return []
        ack = self._state.compose(now_ns, MessageKind.ACK, message.sequence, message.target)
        return [Outgoing(sender, ack)]

    def receive_ping_req(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Return a ping for the target and a NACK for the sender, or nothing if the request is rejected.

        It is rejected if its target is invalid or the maximum number of relays is in flight.

        The NACK is sent with the ping, not after a timeout as in Lifeguard: it shows at once that the path
        between sender and helper works.
        """
        state = self._state
        target = message.target
        if target == state.local.member or not 0 <= target < state.fleet_size:
            return []
        if not self.relays.ensure_capacity(now_ns):
            return []
        sequence = state.next_sequence()
        relay = Relay(
            requester=sender,
            requester_sequence=message.sequence,
            target=target,
            expires_at_ns=now_ns + state.config.probe_interval_ns,
        )
        self.relays.add(sequence, relay)
        ping = state.compose(now_ns, MessageKind.PING, sequence, target)
        nack = state.compose(now_ns, MessageKind.NACK, message.sequence, target)
        return [Outgoing(target, ping), Outgoing(sender, nack)]

    def receive_ack(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Complete a probe of this member, or return the ACK to relay for another member's probe.

        Args:
            sender: Number of the member that sent the ACK: the target or a helper.
        """
        self._succeed(sender, message)
        relay = self.relays.complete(message.sequence, sender)
        if relay is None:
            return []
        ack = self._state.compose(now_ns, MessageKind.ACK, relay.requester_sequence, relay.target)
        return [Outgoing(relay.requester, ack)]

    def receive_nack(self, message: Message) -> None:
        """Record on the probe that a helper answered, which shows that the fault is not in this member."""
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
        """Return a ping; for a suspect, its first update is the suspicion (Lifeguard's buddy system)."""
        ping = self._state.compose(now_ns, MessageKind.PING, sequence, target)
        suspicion = self._state.suspicions.get(target)
        if suspicion is None:
            return Outgoing(target, ping)
        suspect = MemberUpdate(
            member=target,
            boot=suspicion.incarnation_key.boot,
            incarnation=suspicion.incarnation_key.incarnation,
            state=MemberState.SUSPECT,
            reporter=min(suspicion.reporters, default=NO_REPORTER),
        )
        return Outgoing(target, ping._replace(updates=(suspect, *ping.updates)[:MAX_UPDATES]))

    def _probe_indirectly(self, now_ns: int, probe: Probe) -> list[Outgoing]:
        state = self._state
        probe.is_indirect = True
        ping_req = state.compose(now_ns, MessageKind.PING_REQ, probe.sequence, probe.target)
        # With many suspects, the helpers of all probes would send most of the fleet's datagrams, and the
        # resulting delay would make more probes fail.
        helpers = 1 if state.suspicions.is_widespread else state.config.indirect_probes
        outgoing = [Outgoing(helper, ping_req) for helper in state.choose_members(helpers, {probe.target})]
        outgoing.append(self._ping(now_ns, probe.sequence, probe.target))
        return outgoing

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
        # With many suspects, the network is cut or they are dead, and longer timeouts would not help.
        state.health.record_failure(is_fault_remote=probe.nack_received or state.suspicions.is_widespread)
        current = state.members.get(probe.target)
        if current and current.state < MemberState.DEAD and now_ns >= state.suspicions.grace_ends_at_ns:
            state.stats.accusations += 1
            suspect = current._replace(
                state=MemberState.SUSPECT,
                reporter=state.local.member,
                suspicion_age_units=suspicion_age_units(now_ns - probe.sent_at_ns),
            )
            self._updates.apply(now_ns, suspect)
