"""Dissemination: the bounded queue of updates that gossip and probes carry to the fleet.

Each update is sent a limited number of times, which grows with the logarithm of the fleet's size. The least
transmitted updates are sent first (SWIM, section 4.1; memberlist's TransmitLimitedQueue).
"""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nsmallest
from math import ceil, log10
from typing import NamedTuple

from anisespool.membership.config import MembershipConfig
from anisespool.membership.member_state import (
    NO_REPORTER,
    MemberState,
    MemberUpdate,
    supersedes,
    suspicion_age_units,
)

# A suspicion or refutation is urgent until this many datagrams have carried it.
URGENT_UPDATE_DATAGRAMS = 3
# Transmission limit of each report of a suspicion after the first; after many deaths most updates are such
# reports.
CONFIRMATION_DATAGRAMS = 4


class BroadcastKey(NamedTuple):
    """Identifies a queued update; `reporter` is NO_REPORTER unless the update reports a suspicion."""

    member: int
    reporter: int


@dataclass(slots=True)
class _Broadcast:
    """A queued update.

    Attributes:
        update: The update as it was added.
        suspected_at_ns: Start of the reported suspicion; unused for other states.
        transmissions: Number of datagrams that have carried the update.
    """

    update: MemberUpdate
    suspected_at_ns: int
    transmissions: int = 0


class BroadcastQueue:
    """Holds one update per member, or one per reporter of its suspicion, as reports confirm each other.

    Attributes:
        dropped: Number of updates removed from the full queue before their last transmission.
    """

    def __init__(self, config: MembershipConfig, local_member: int) -> None:
        self.dropped = 0
        self._config = config
        self._local_member = local_member
        self._broadcasts: dict[BroadcastKey, _Broadcast] = {}
        # Reporters by member; the inner dict is a set in order of arrival.
        self._reporters: dict[int, dict[int, None]] = {}

    def __bool__(self) -> bool:
        return bool(self._broadcasts)

    def __len__(self) -> int:
        return len(self._broadcasts)

    @property
    def is_urgent(self) -> bool:
        """Whether a suspicion or refutation has been sent fewer than URGENT_UPDATE_DATAGRAMS times.

        Every update with an incarnation above 0 counts as a refutation, since only refutations raise it.
        """
        return any(
            broadcast.transmissions < URGENT_UPDATE_DATAGRAMS
            and (broadcast.update.state is MemberState.SUSPECT or broadcast.update.incarnation)
            for broadcast in self._broadcasts.values()
        )

    def add(self, update: MemberUpdate, suspected_at_ns: int = 0) -> None:
        """Queue an update. A SUSPECT update replaces those it supersedes, another all about the member.

        Args:
            update: An update in any state; its reporter matters only if the state is SUSPECT.
            suspected_at_ns: Monotonic start of the suspicion, from which the age to send is computed.
        """
        reporter = update.reporter if update.state is MemberState.SUSPECT else NO_REPORTER
        for other in list(self._reporters.get(update.member, ())):
            queued_key = BroadcastKey(update.member, other)
            if reporter == NO_REPORTER or supersedes(update, self._broadcasts[queued_key].update):
                self._remove(queued_key)
        key = BroadcastKey(update.member, reporter)
        if key not in self._broadcasts and len(self._broadcasts) >= self._config.max_broadcasts:
            self._drop_one()
        self._broadcasts[key] = _Broadcast(update, suspected_at_ns)
        self._reporters.setdefault(update.member, {})[reporter] = None

    def take(self, count: int, fleet_size: int, now_ns: int) -> tuple[MemberUpdate, ...]:
        """Return the next updates for one datagram, and remove those that reached their transmission limit.

        Args:
            count: Maximum number of updates.
            fleet_size: Number of configured members, which determines the transmission limit.
            now_ns: Monotonic time, from which the ages of suspicions are computed.
        """
        if not self._broadcasts:
            return ()
        limit = self._config.retransmit_multiplier * max(1, ceil(log10(fleet_size + 1)))
        confirmation_limit = min(limit, CONFIRMATION_DATAGRAMS)
        chosen = []
        for key in nsmallest(count, self._broadcasts, key=self._priority):
            broadcast = self._broadcasts[key]
            chosen.append(_with_age(broadcast, now_ns))
            broadcast.transmissions += 1
            if broadcast.transmissions >= (limit if self._is_first_report(key) else confirmation_limit):
                self._remove(key)
        return tuple(chosen)

    def _is_first_report(self, key: BroadcastKey) -> bool:
        return key.reporter == NO_REPORTER or key.reporter == next(iter(self._reporters[key.member]))

    def _priority(self, key: BroadcastKey) -> tuple[bool, int, int, BroadcastKey]:
        """Return the sort key: updates about this member, then least transmitted, then DEAD, SUSPECT, others.

        The key is a plain tuple because hundreds are built for each datagram after many deaths.
        """
        broadcast = self._broadcasts[key]
        state = broadcast.update.state
        state_rank = -state if state is not MemberState.LEFT else 0
        return key.member != self._local_member, broadcast.transmissions, state_rank, key

    def _drop_one(self) -> None:
        """Drop the most transmitted update about another member; anti-entropy repairs the loss."""
        key = max(
            self._broadcasts,
            key=lambda key: (key.member != self._local_member, self._broadcasts[key].transmissions, key),
        )
        self._remove(key)
        self.dropped += 1

    def _remove(self, key: BroadcastKey) -> None:
        del self._broadcasts[key]
        reporters = self._reporters[key.member]
        reporters.pop(key.reporter, None)
        if not reporters:
            del self._reporters[key.member]


def _with_age(broadcast: _Broadcast, now_ns: int) -> MemberUpdate:
    """Return the update to send now, with the current age if it reports a suspicion."""
    age_units = 0
    if broadcast.update.state is MemberState.SUSPECT:
        age_units = suspicion_age_units(now_ns - broadcast.suspected_at_ns)
    return broadcast.update._replace(suspicion_age_units=age_units)
