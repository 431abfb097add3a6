"""The membership protocol of one member, without I/O; the caller provides the time and the randomness.

It is SWIM (Das, Gupta, Motivala 2002) with the extensions of Lifeguard (Dadgar, Phillips, Currey 2018):
probes in shuffled rounds, indirect probes, suspicions that expire sooner the more members confirm them,
refutation by incarnation, and a health score that delays the suspicions of a member in poor health. Beyond
these papers, a DEAD reported by another member is not adopted (`updates.py`), and a member whose process was
paused raises no suspicion for messages that it missed.

Each part has its own module: `probing`, `suspicion`, `updates`, `dissemination`, `gossip`, `anti_entropy`.
Methods return the messages to send. The caller sends them, and calls `tick` at `next_tick_at_ns`. Times are
monotonic ns.
"""

from __future__ import annotations

from collections.abc import Iterator

from anisespool.membership.anti_entropy import AntiEntropy
from anisespool.membership.config import NS_PER_MS, MembershipConfig
from anisespool.membership.dissemination import BroadcastQueue
from anisespool.membership.events import MembershipEvent, ProtocolPaused
from anisespool.membership.gossip import gossip
from anisespool.membership.local_health import LocalHealth
from anisespool.membership.member_state import MAX_BOOT, MemberState, MemberUpdate
from anisespool.membership.messages import Message, MessageKind, Outgoing
from anisespool.membership.probe_order import ProbeOrder
from anisespool.membership.probing import Prober
from anisespool.membership.relays import RelayTable
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState, ProtocolStats, RandomBelow
from anisespool.membership.suspicion import SuspicionTable
from anisespool.membership.updates import UpdateProcessor
from anisespool.membership.view import MembershipView

# Largest accepted difference between the clocks of two machines.
MAX_BOOT_SKEW_MS = 24 * 3600 * 1000
# Added to the health score after a pause.
PAUSE_PENALTY_LEVEL = 2
# Multiplies the fanout, because a leaving member sends its announcement only once.
LEAVE_FANOUT_FACTOR = 2


class MembershipProtocol:
    """A member of a fleet in which members are numbered from 0 to `fleet_size` - 1.

    Attributes:
        is_leaving: Whether the shutdown was announced; nothing is sent or accepted afterwards.
    """

    def __init__(
        self,
        member: int,
        boot: int,
        fleet_size: int,
        random_below: RandomBelow,
        config: MembershipConfig | None = None,
    ) -> None:
        """Create a member that sends nothing before `start`.

        Args:
            boot: Start time of the process in ms, so that a later start has a higher boot.
            fleet_size: Number of configured members.
            random_below: Takes n and returns a random integer from 0 to n - 1.
            config: Parameters; None for the defaults.
        """
        self.is_leaving = False
        local = MemberUpdate(member, min(boot, MAX_BOOT), 0, MemberState.ALIVE)
        self._state = _initial_state(config or MembershipConfig(), local, fleet_size, random_below)
        order = ProbeOrder(
            fleet_size,
            member,
            random_below,
            is_candidate=self._state.is_active,
            is_skipped=self._state.suspicions.is_reported_locally,
        )
        self._updates = UpdateProcessor(self._state, order)
        self._prober = Prober(self._state, self._updates, order)
        self._anti_entropy = AntiEntropy(self._state)

    @property
    def config(self) -> MembershipConfig:
        """Parameters of the protocol."""
        return self._state.config

    @property
    def local(self) -> MemberUpdate:
        """This member's own state, as it announces it."""
        return self._state.local

    @property
    def members(self) -> dict[int, MemberUpdate]:
        """Current updates about the other members, by number."""
        return self._state.members

    @property
    def broadcasts(self) -> BroadcastQueue:
        """Updates that are being disseminated."""
        return self._state.broadcasts

    @property
    def suspicions(self) -> SuspicionTable:
        """Members under suspicion."""
        return self._state.suspicions

    @property
    def relays(self) -> RelayTable:
        """Pings in flight on behalf of other members."""
        return self._prober.relays

    @property
    def health(self) -> LocalHealth:
        """Health score and outcomes of the last probes."""
        return self._state.health

    @property
    def stats(self) -> ProtocolStats:
        """Counts since the start."""
        return self._state.stats

    @property
    def reached_indirectly(self) -> set[int]:
        """Members whose last probe was acknowledged only through helpers."""
        return self._state.reached_indirectly

    def take_events(self) -> list[MembershipEvent]:
        """Return the events recorded since the last call."""
        taken = list(self._state.events)
        self._state.events.clear()
        return taken

    def view(self) -> MembershipView:
        """Return the members by state; the same object until something changes."""
        return self._state.view()

    def start(self, now_ns: int) -> list[Outgoing]:
        """Start the timers, and return messages that announce this member to a few others."""
        state = self._state
        self._restart_timers(now_ns)
        self._anti_entropy.start()
        state.suspicions.grace_ends_at_ns = now_ns + state.config.probe_interval_ns
        state.view_cache.changed_at_ns = now_ns
        state.started_at_ns = now_ns
        state.broadcasts.add(state.local)
        return gossip(state, now_ns)

    @property
    def next_tick_at_ns(self) -> int:
        """Time at which `tick` is due next; a call of any other method may change it."""
        return min(self._due_times())

    def tick(self, now_ns: int) -> list[Outgoing]:
        """Run what is due: probes, expired suspicions, gossip, anti-entropy, reconnects.

        A tick that is late by more than the pause threshold is treated as a pause of this process.
        """
        if self.is_leaving:
            return []
        pause_ns = now_ns - self.next_tick_at_ns
        if pause_ns > self._state.config.pause_threshold_ns:
            return self._resume(now_ns, pause_ns)
        outgoing = self._prober.tick(now_ns)
        self._updates.expire_suspicions(now_ns)
        outgoing += self._run_timers(now_ns)
        return outgoing

    def receive(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Apply a message's updates and return the replies; an implausible message is counted and dropped.

        Args:
            sender: Number of the member that has the datagram's source address.
            message: A decoded message whose numbers and boots are unchecked.
        """
        state = self._state
        max_boot = self._max_plausible_boot(now_ns)
        if not self._is_acceptable(sender, message, max_boot):
            state.stats.ignored += 1
            return []
        current = state.members.get(sender)
        if current and message.boot < current.boot:
            # Either this is a late datagram of an earlier boot, or the sender restarted with its clock set
            # back. In the second case the reply makes the sender take a higher boot; the first needs none.
            state.stats.ignored += 1
            return [state.reply_with_update(now_ns, sender, current)]
        local = state.local
        outgoing = self._apply_sender(now_ns, sender, message)
        self._apply_updates(now_ns, message, max_boot)
        if state.local is not local:
            # This member refuted an update; the sender of the update receives the refutation first.
            outgoing.append(state.reply_with_update(now_ns, sender, state.local))
        outgoing += self._reply(now_ns, sender, message)
        return outgoing

    def leave(self, now_ns: int) -> list[Outgoing]:
        """Return messages that announce this member's shutdown to a few others, which disseminate it.

        Afterwards `tick` and `receive` return nothing.
        """
        state = self._state
        state.local = state.local._replace(state=MemberState.LEFT)
        announcement = state.compose_gossip(now_ns, (state.local,))
        recipients = state.choose_members(LEAVE_FANOUT_FACTOR * state.config.fanout)
        self.is_leaving = True
        return [Outgoing(recipient, announcement) for recipient in recipients]

    def _due_times(self) -> Iterator[int]:
        yield from self._state.schedule.due_times(is_gossip_pending=bool(self._state.broadcasts))
        yield from self._prober.due_times()
        expiry = self._state.suspicions.next_expiry_at_ns
        if expiry is not None:
            yield expiry

    def _run_timers(self, now_ns: int) -> list[Outgoing]:
        state = self._state
        outgoing: list[Outgoing] = []
        # A timer is set before its job runs, because the job may set an earlier time.
        if state.schedule.is_due(Timer.GOSSIP, now_ns):
            state.schedule.set(Timer.GOSSIP, now_ns + state.config.gossip_interval_ns)
            outgoing += gossip(state, now_ns)
        if state.schedule.is_due(Timer.ANTI_ENTROPY, now_ns):
            state.schedule.set(Timer.ANTI_ENTROPY, now_ns + state.config.anti_entropy_interval_ns)
            outgoing += self._anti_entropy.compare(now_ns)
        if state.schedule.is_due(Timer.RECONNECT, now_ns):
            state.schedule.set(Timer.RECONNECT, now_ns + state.config.reconnect_interval_ns)
            outgoing += self._prober.reconnect(now_ns)
        return outgoing

    def _resume(self, now_ns: int, pause_ns: int) -> list[Outgoing]:
        """Restart the timers after a pause, and suspect no member for messages missed during it."""
        state = self._state
        state.stats.pauses += 1
        state.record_event(ProtocolPaused(pause_ns // NS_PER_MS))
        self._prober.abandon()
        state.health.degrade(PAUSE_PENALTY_LEVEL)
        state.suspicions.grace_ends_at_ns = now_ns + state.config.pause_grace_ns
        state.suspicions.postpone(now_ns, pause_ns)
        self._restart_timers(now_ns)
        state.broadcasts.add(state.local)
        return gossip(state, now_ns) + self._anti_entropy.compare(now_ns)

    def _restart_timers(self, now_ns: int) -> None:
        state = self._state
        state.schedule.restart(now_ns, state.config.gossip_interval_ns, state.random_below)

    def _max_plausible_boot(self, now_ns: int) -> int:
        """Return the highest accepted boot: present time, from this member's boot and uptime, plus the skew.

        A boot far in the future would exclude its member permanently.
        """
        return (
            self._state.local.boot
            + max(0, now_ns - self._state.started_at_ns) // NS_PER_MS
            + MAX_BOOT_SKEW_MS
        )

    def _is_acceptable(self, sender: int, message: Message, max_boot: int) -> bool:
        if sender == self._state.local.member or not 0 <= sender < self._state.fleet_size:
            return False
        return not self.is_leaving and message.boot <= max_boot

    def _apply_sender(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        """Mark the sender as alive; if its DEAD state has precedence, return that state for it to refute."""
        alive = MemberUpdate(sender, message.boot, message.incarnation, MemberState.ALIVE)
        self._updates.apply(now_ns, alive)
        current = self._state.members.get(sender)
        if current and current.state is MemberState.DEAD:
            return [self._state.reply_with_update(now_ns, sender, current)]
        return []

    def _apply_updates(self, now_ns: int, message: Message, max_boot: int) -> None:
        for update in message.updates:
            if 0 <= update.member < self._state.fleet_size and update.boot <= max_boot:
                self._updates.apply(now_ns, update)
            else:
                self._state.stats.ignored += 1

    def _reply(self, now_ns: int, sender: int, message: Message) -> list[Outgoing]:
        match message.kind:
            case MessageKind.PING:
                return self._prober.receive_ping(now_ns, sender, message)
            case MessageKind.ACK:
                return self._prober.receive_ack(now_ns, sender, message)
            case MessageKind.PING_REQ:
                return self._prober.receive_ping_req(now_ns, sender, message)
            case MessageKind.NACK:
                self._prober.receive_nack(message)
            case MessageKind.BUCKET_DIGEST:
                return self._anti_entropy.receive_digest(now_ns, sender, message)
            case MessageKind.BUCKET_STATE:
                return self._anti_entropy.receive_states(now_ns, sender, message)
        return []


def _initial_state(
    config: MembershipConfig, local: MemberUpdate, fleet_size: int, random_below: RandomBelow
) -> ProtocolState:
    health = LocalHealth()
    return ProtocolState(
        config=config,
        fleet_size=fleet_size,
        random_below=random_below,
        local=local,
        health=health,
        broadcasts=BroadcastQueue(config, local.member),
        suspicions=SuspicionTable(config, health, local.member),
    )
