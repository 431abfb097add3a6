"""Precedence of updates about a member, and refutation of updates by the member itself."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anisespool.membership.member_state import (
    MAX_BOOT,
    MAX_INCARNATION,
    IncarnationKey,
    MemberState,
    MemberUpdate,
    Precedence,
    refutation,
    supersedes,
)

UPDATES = st.builds(
    MemberUpdate,
    member=st.just(1),
    boot=st.integers(1, 3),
    incarnation=st.integers(0, 3),
    state=st.sampled_from(MemberState),
    reporter=st.integers(0, 4),
)


def merge(updates: list[MemberUpdate]) -> Precedence:
    """Return the precedence of the update that remains after applying all in this order."""
    current = updates[0]
    for update in updates:
        if supersedes(update, current):
            current = update
    return current.precedence


@given(st.lists(UPDATES, min_size=1, max_size=12), st.randoms(use_true_random=False))
def test_the_same_updates_have_the_same_result_in_any_order_and_with_repetitions(
    updates: list[MemberUpdate], random: Random
) -> None:
    repeated = [*updates, *random.sample(updates, len(updates) // 2)]
    random.shuffle(repeated)
    assert merge(repeated) == merge(updates) == max(update.precedence for update in updates)


@pytest.mark.parametrize(
    ("local", "received", "expected"),
    [
        (IncarnationKey(5, 2), Precedence(5, 2, MemberState.SUSPECT), IncarnationKey(5, 3)),
        (IncarnationKey(5, 2), Precedence(5, 7, MemberState.DEAD), IncarnationKey(5, 8)),
        (IncarnationKey(5, 2), Precedence(5, 1, MemberState.DEAD), None),
        (IncarnationKey(5, 2), Precedence(4, 9, MemberState.DEAD), None),
        (IncarnationKey(5, 2), Precedence(5, 2, MemberState.ALIVE), None),
        # Another process has the same number, or the member's clock was set back.
        (IncarnationKey(5, 2), Precedence(6, 0, MemberState.ALIVE), IncarnationKey(7, 0)),
        # A member with the highest incarnation takes a new boot.
        (
            IncarnationKey(5, MAX_INCARNATION),
            Precedence(5, MAX_INCARNATION, MemberState.SUSPECT),
            IncarnationKey(6, 0),
        ),
        # No boot exceeds the highest one, which only a faulty member sends.
        (IncarnationKey(5, 2), Precedence(MAX_BOOT, 0, MemberState.DEAD), None),
    ],
)
def test_a_live_member_refutes_only_superseding_updates_about_itself(
    local: IncarnationKey, received: Precedence, expected: IncarnationKey | None
) -> None:
    found = refutation(MemberUpdate(1, *local, MemberState.ALIVE), MemberUpdate(1, *received, reporter=3))
    assert (found.incarnation_key if found else None) == expected
