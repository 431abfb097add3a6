"""Applies updates about members, as memberlist's aliveNode, suspectNode, deadNode and refute do.

A DEAD reported by another member is not adopted but counts as a confirmation of a suspicion. Each member
declares the death itself when the suspicion expires by its own clock, so one faulty member cannot shorten the
time in which its victim can refute the suspicion.
"""

from __future__ import annotations

from anisespool.membership.events import (
    MemberDied,
    MemberJoined,
    MemberLeft,
    MemberRejoined,
    MemberSuspected,
    NumberConflict,
    SuspicionRefuted,
)
from anisespool.membership.member_state import (
    NO_REPORTER,
    SUSPICION_AGE_UNIT_NS,
    MemberState,
    MemberUpdate,
    refutation,
    supersedes,
)
from anisespool.membership.probe_order import ProbeOrder
from anisespool.membership.schedule import Timer
from anisespool.membership.state import ProtocolState
from anisespool.membership.suspicion import Suspicion

# Expected number of early probes of a suspect by the whole fleet, per required confirmation.
EARLY_PROBES_PER_CONFIRMATION = 3


class UpdateProcessor:
    """Applies the rules for member states; no other module changes the state of another member.

    Times are monotonic ns.
    """

    def __init__(self, state: ProtocolState, probe_order: ProbeOrder) -> None:
        self._state = state
        self._probe_order = probe_order

    def apply(self, now_ns: int, update: MemberUpdate) -> None:
        """Apply an update received from any member; a superseded update changes nothing.

        Args:
            update: An update about any member, including this one; its member and boot have been checked.
        """
        if update.member == self._state.local.member:
            self._refute(now_ns, update)
        elif update.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._apply_suspicion(now_ns, update)
        else:
            current = self._state.members.get(update.member)
            if current is None or supersedes(update, current):
                self._set_state(now_ns, update)

    def expire_suspicions(self, now_ns: int) -> None:
        """Declare dead the members whose suspicion has expired."""
        state = self._state
        for member, suspicion in state.suspicions.expired(now_ns).items():
            dead = MemberUpdate(
                member=member,
                boot=suspicion.incarnation_key.boot,
                incarnation=suspicion.incarnation_key.incarnation,
                state=MemberState.DEAD,
                reporter=state.local.member,
            )
            self._set_state(now_ns, dead)

    def _refute(self, now_ns: int, received: MemberUpdate) -> None:
        """Announce a higher incarnation of this member if the update would supersede its own state."""
        state = self._state
        answer = refutation(state.local, received)
        if answer is None:
            return
        if received.boot > state.local.boot:
            state.record_event(NumberConflict(received.boot))
        state.local = answer
        state.stats.refutations += 1
        state.record_event(SuspicionRefuted(answer.incarnation))
        state.expedite_gossip(now_ns)
        # A refuted suspicion suggests that this member answered too late (Lifeguard).
        state.health.degrade()
        state.broadcasts.add(answer)

    def _apply_suspicion(self, now_ns: int, report: MemberUpdate) -> None:
        """Handle a report that a member is SUSPECT or DEAD: start a suspicion, or add the reporter to it."""
        state = self._state
        current = state.members.get(report.member)
        if current is None:
            current = report._replace(state=MemberState.ALIVE, reporter=NO_REPORTER)
            state.members[report.member] = current
        reported = report.incarnation_key
        is_same_incarnation = reported == current.incarnation_key
        if reported < current.incarnation_key or is_same_incarnation and current.state >= MemberState.DEAD:
            return
        suspicion = state.suspicions.get(report.member)
        if suspicion is None or suspicion.incarnation_key < reported:
            suspicion = self._begin_suspicion(now_ns, report)
        # The first reporter, the required confirmations and one more; later reports are not disseminated.
        max_reporters = state.config.confirmations + 2
        if report.reporter not in suspicion.reporters and len(suspicion.reporters) < max_reporters:
            suspicion.reporters.add(report.reporter)
            state.broadcasts.add(report._replace(state=MemberState.SUSPECT), suspicion.suspected_at_ns)
            state.expedite_gossip(now_ns)

    def _begin_suspicion(self, now_ns: int, report: MemberUpdate) -> Suspicion:
        """Start a suspicion, backdated by the reported age up to a limit, as the reporter may be faulty."""
        state = self._state
        reported_age_ns = report.suspicion_age_units * SUSPICION_AGE_UNIT_NS
        age_ns = min(reported_age_ns, state.config.max_reported_suspicion_age_ns)
        suspicion = state.suspicions.open(report.member, report.incarnation_key, now_ns - age_ns)
        self._set_state(now_ns, report._replace(state=MemberState.SUSPECT))
        state.record_event(MemberSuspected(report.member, report.reporter))
        self._maybe_probe_next(now_ns, report)
        return suspicion

    def _maybe_probe_next(self, now_ns: int, report: MemberUpdate) -> None:
        """Probe the suspect next, with a low probability, so that only a few of the fleet probe it early."""
        state = self._state
        if state.suspicions.is_widespread or report.reporter == state.local.member:
            return
        if state.random_below(state.fleet_size) < EARLY_PROBES_PER_CONFIRMATION * state.config.confirmations:
            self._probe_order.put_first(report.member)
            state.schedule.bring_forward(Timer.PROBE, now_ns)

    def _set_state(self, now_ns: int, update: MemberUpdate) -> None:
        """Replace a member's update; unless the member stays alive, queue it and mark the view changed."""
        state = self._state
        previous = state.members.get(update.member)
        state.members[update.member] = update
        is_suspect = update.state is MemberState.SUSPECT
        if not is_suspect:
            state.suspicions.close(update.member)
        if previous and _is_still_alive(previous, update):
            return
        if not is_suspect:
            # `_apply_suspicion` queues suspicions with their reporters.
            state.broadcasts.add(update)
            if previous and previous.state is not MemberState.ALIVE:
                state.expedite_gossip(now_ns)
        state.view_cache.mark_changed(now_ns)
        self._record_event(previous, update)

    def _record_event(self, previous: MemberUpdate | None, update: MemberUpdate) -> None:
        record = self._state.record_event
        if update.state is MemberState.DEAD:
            record(MemberDied(update.member))
        elif update.state is MemberState.LEFT:
            record(MemberLeft(update.member))
        elif update.state is MemberState.ALIVE:
            if previous is None or previous.boot != update.boot:
                record(MemberJoined(update.member))
            elif previous.state is not MemberState.SUSPECT:
                record(MemberRejoined(update.member))


def _is_still_alive(previous: MemberUpdate, update: MemberUpdate) -> bool:
    """Return whether both updates have the member alive in the same boot, so that the view is unchanged."""
    both_alive = previous.state is MemberState.ALIVE and update.state is MemberState.ALIVE
    return both_alive and previous.boot == update.boot
