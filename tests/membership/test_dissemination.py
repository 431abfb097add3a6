"""The broadcast queue: order and number of transmissions."""

from __future__ import annotations

from collections import Counter

from anisespool.membership.config import MembershipConfig
from anisespool.membership.dissemination import BroadcastQueue
from anisespool.membership.member_state import NO_REPORTER, MemberState, MemberUpdate


def test_updates_have_a_transmission_limit_and_own_updates_are_sent_first() -> None:
    queue = BroadcastQueue(MembershipConfig(retransmit_multiplier=2), local_member=9)
    for member in (1, 2, 3):
        state = MemberState.SUSPECT if member == 2 else MemberState.ALIVE
        queue.add(MemberUpdate(member, 1, 0, state, NO_REPORTER))
    queue.add(MemberUpdate(9, 1, 1, MemberState.ALIVE))
    # In a fleet of 50 members each update is sent 2 * ceil(log10(51)) = 4 times.
    assert [update.member for update in queue.take(2, 50, 0)] == [9, 2]
    sent = Counter(update.member for _ in range(30) for update in queue.take(2, 50, 0))
    assert sent == {1: 4, 2: 3, 3: 4, 9: 3}
    assert not queue
