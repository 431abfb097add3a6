"""Applies updates about members: who is alive, suspect or dead (memberlist's aliveNode and its like).

Nobody believes another member's DEAD: it counts as one more report of a suspicion, and each member lets the
suspicion expire by its own time. So a faulty member alone can't shorten its victim's time to refute.
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
    NOBODY,
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

PROBES_PER_CONFIRMATION_FACTOR = 3  # expected early probes of a suspect, for each confirmation it takes


class UpdateProcessor:
    """The rules by which a member's state changes."""

    def __init__(self, state: ProtocolState, probe_order: ProbeOrder) -> None:
        self._state = state
        self._probe_order = probe_order

    def apply(self, now_ns: int, update: MemberUpdate) -> None:
        """Apply an update, whoever it comes from; one that is superseded changes nothing."""
        if update.member == self._state.local.member:
            self._refute(now_ns, update)
        elif update.state in (MemberState.SUSPECT, MemberState.DEAD):
            self._report_suspicion(now_ns, update)
        else:
            current = self._state.members.get(update.member)
            if current is None or supersedes(update, current):
                self._record(now_ns, update)

    def expire_suspicions(self, now_ns: int) -> None:
        """Declare members dead whose suspicion has expired; all of one moment are one change of the view."""
        state = self._state
        for member in state.suspicions.expired(now_ns):
            suspicion = state.suspicions.get(member)
            assert suspicion
            dead = MemberUpdate(
                member=member,
                boot=suspicion.incarnation_key.boot,
                incarnation=suspicion.incarnation_key.incarnation,
                state=MemberState.DEAD,
                reporter=state.local.member,
            )
            self._record(now_ns, dead)

    def _refute(self, now_ns: int, received: MemberUpdate) -> None:
        """An update about this member itself: announce a higher incarnation if it would supersede ours."""
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
        state.health.degrade()
        state.broadcasts.add(answer)

    def _report_suspicion(self, now_ns: int, report: MemberUpdate) -> None:
        """One more reporter of a suspicion, or the first."""
        state = self._state
        current = state.members.get(report.member)
        if current is None:
            current = report._replace(state=MemberState.ALIVE, reporter=NOBODY)
            state.members[report.member] = current
        reported = report.incarnation_key
        is_same = reported == current.incarnation_key
        if reported < current.incarnation_key or is_same and current.state >= MemberState.DEAD:
            return
        suspicion = state.suspicions.get(report.member)
        if suspicion is None or suspicion.incarnation_key < reported:
            suspicion = self._suspect(now_ns, report)
        max_reporters = state.config.confirmations + 2
        if report.reporter not in suspicion.reporters and len(suspicion.reporters) < max_reporters:
            suspicion.reporters.add(report.reporter)
            state.broadcasts.add(report._replace(state=MemberState.SUSPECT), suspicion.suspected_at_ns)
            state.expedite_gossip(now_ns)

    def _suspect(self, now_ns: int, report: MemberUpdate) -> Suspicion:
        """Begin a suspicion, of the reported age up to a bound."""
        state = self._state
        age_ns = min(
            report.suspicion_age_units * SUSPICION_AGE_UNIT_NS, state.config.max_reported_suspicion_age_ns
        )
        suspicion = state.suspicions.open(report.member, report.incarnation_key, now_ns - age_ns)
        self._record(now_ns, report._replace(state=MemberState.SUSPECT))
        state.record_event(MemberSuspected(report.member, report.reporter))
        self._maybe_probe_soon(now_ns, report)
        return suspicion

    def _maybe_probe_soon(self, now_ns: int, report: MemberUpdate) -> None:
        """Some members probe the suspect at once, as many as it takes to confirm: no waiting for chance."""
        state = self._state
        if state.suspicions.is_widespread or report.reporter == state.local.member:
            return
        if state.random_below(state.fleet_size) < PROBES_PER_CONFIRMATION_FACTOR * state.config.confirmations:
            self._probe_order.put_first(report.member)
            state.schedule.bring_forward(Timer.PROBE, now_ns)

    def _record(self, now_ns: int, update: MemberUpdate) -> None:
        """Take over an update as the member's current state."""
        state = self._state
        previous = state.members.get(update.member)
        state.members[update.member] = update
        is_suspect = update.state is MemberState.SUSPECT
        if not is_suspect:
            state.suspicions.close(update.member)
        if previous and _is_still_alive(previous, update):
            return
        if not is_suspect:  # a suspicion is queued with its reporter
            state.broadcasts.add(update)
            if previous and previous.state is not MemberState.ALIVE:
                state.expedite_gossip(now_ns)
        state.views.mark_changed(now_ns)
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
    """Whether the member was and is alive with the same boot: a new incarnation alone is no change."""
    both_alive = previous.state is MemberState.ALIVE and update.state is MemberState.ALIVE
    return both_alive and previous.boot == update.boot
