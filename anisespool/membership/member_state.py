"""States of a member, updates about them, and which of two updates supersedes the other.

A member is a number in the fleet and a boot: a restart under the same number is another member and replaces
the previous one at once. Of one boot the higher incarnation wins, which only the member itself increments; of
one incarnation the state that is higher in `MemberState` (SWIM, section 4.2: Das, Gupta, Motivala, "SWIM",
2002). This order is total, so all members that received the same updates agree, whatever the order and
however often they received them.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 2**16 - 1  # two bytes of a datagram; beyond it a member takes a higher boot
MAX_BOOT = 2**40 - 1  # five bytes of a datagram
NO_REPORTER = -1  # in the place of a reporter
SUSPICION_AGE_UNIT_NS = 20_000_000  # a suspicion's age takes one byte of a datagram
MAX_SUSPICION_AGE_NS = 255 * SUSPICION_AGE_UNIT_NS


class MemberState(IntEnum):
    """States in the order of precedence; the values are those of the datagram."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # it announced its own shutdown


class IncarnationKey(NamedTuple):
    """Identifies one incarnation of a member; ordered by boot, then by incarnation."""

    boot: int
    incarnation: int


class Precedence(NamedTuple):
    """The sort key of updates about one member: a total order."""

    boot: int
    incarnation: int
    state: MemberState


class MemberUpdate(NamedTuple):
    """The state of a member as one member reports it, or as it announces it itself.

    A NamedTuple because thousands are built each second where a large fleet changes.

    Attributes:
        member: Number in the fleet.
        boot: Which start of that member; a later start has a higher number.
        incarnation: Of that boot; incremented by the member itself to refute a suspicion.
        state: The reported state.
        reporter: Who suspects it or declared it dead; NO_REPORTER otherwise.
        suspicion_age_units: Age of the suspicion, in units of SUSPICION_AGE_UNIT_NS.
    """

    member: int
    boot: int
    incarnation: int
    state: MemberState
    reporter: int = NO_REPORTER
    suspicion_age_units: int = 0

    @property
    def precedence(self) -> Precedence:
        """Sort key of this update among those about the member."""
        return Precedence(self.boot, self.incarnation, self.state)

    @property
    def incarnation_key(self) -> IncarnationKey:
        """The incarnation that the update is about; a refutation has to exceed it."""
        return IncarnationKey(self.boot, self.incarnation)


def suspicion_age_units(age_ns: int) -> int:
    """Return a suspicion's age in units of SUSPICION_AGE_UNIT_NS, within what one byte holds.

    Args:
        age_ns: Below 0 counts as 0.
    """
    return min(MAX_SUSPICION_AGE_NS, max(0, age_ns)) // SUSPICION_AGE_UNIT_NS


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Return whether `update` replaces `current`; both are about one member."""
    # Plain tuples: thousands are compared a second, and building a Precedence each costs thrice as much.
    return (update.boot, update.incarnation, update.state) > (
        current.boot,
        current.incarnation,
        current.state,
    )


def refutation(local: MemberUpdate, received: MemberUpdate) -> MemberUpdate | None:
    """Return what a live member announces after an update about itself, or None if it need not refute.

    An update may name a higher boot than the member has: its clock was set back across a restart, or a faulty
    member sent it. That must not exclude the member permanently, so the answer exceeds that boot too.

    Args:
        local: The member's own state.
        received: An update about the same member.
    """
    if received.boot < local.boot or received.precedence <= local.precedence:
        return None
    if received.boot == local.boot and received.incarnation < MAX_INCARNATION:
        return local._replace(incarnation=received.incarnation + 1)
    if received.boot >= MAX_BOOT:
        return None  # nothing exceeds it: only a faulty member sends that
    return local._replace(boot=received.boot + 1, incarnation=0)
