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

MAX_INCARNATION = 2**16 - 1  # beyond it a member takes a new boot
MAX_BOOT = 2**40 - 1
NOBODY = -1
SUSPICION_AGE_UNIT_NS = 20_000_000  # a suspicion's age takes one byte of a datagram
MAX_SUSPICION_AGE_NS = 255 * SUSPICION_AGE_UNIT_NS


class MemberState(IntEnum):
    """In order of precedence. `LEFT`: the member announced its own shutdown."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class IncarnationKey(NamedTuple):
    """Which incarnation of a member is meant: ordered by boot, then by the incarnation of that boot."""

    boot: int
    incarnation: int


class Precedence(NamedTuple):
    """The total order of updates about one member."""

    boot: int
    incarnation: int
    state: MemberState


class MemberUpdate(NamedTuple):
    """What one member reports about another, or about itself.

    A NamedTuple because thousands are built each second where a large fleet changes.

    Attributes:
        member: Number in the fleet.
        boot: Which start of that member; a later start has a higher number.
        incarnation: Of that boot; incremented by the member itself to refute a suspicion.
        state: The reported state.
        reporter: Who suspects it or declared it dead; NOBODY otherwise.
        suspicion_age_units: Age of the suspicion, in units of SUSPICION_AGE_UNIT_NS.
    """

    member: int
    boot: int
    incarnation: int
    state: MemberState
    reporter: int = NOBODY
    suspicion_age_units: int = 0

    @property
    def precedence(self) -> Precedence:
        """The place of this update in the order of updates about the member."""
        return Precedence(self.boot, self.incarnation, self.state)

    @property
    def incarnation_key(self) -> IncarnationKey:
        """The incarnation that the update is about, and that a refutation has to exceed."""
        return IncarnationKey(self.boot, self.incarnation)


def suspicion_age_units(age_ns: int) -> int:
    """Return a suspicion's age in the units of an update, within what an update can carry."""
    return min(MAX_SUSPICION_AGE_NS, max(0, age_ns)) // SUSPICION_AGE_UNIT_NS


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Whether the update replaces the current one; both are about one member."""
    # Plain tuples: thousands are compared a second, and building a Precedence each costs thrice as much.
    received = (update.boot, update.incarnation, update.state)
    return received > (current.boot, current.incarnation, current.state)


def refutation(local: MemberUpdate, received: MemberUpdate) -> MemberUpdate | None:
    """The live member's answer to an update about itself, or None if none is due.

    An update may name a boot that the member never had: its clock was set back across a restart, or somebody
    lies. It must not exclude the member permanently, so the answer exceeds that boot too.
    """
    if received.boot < local.boot or received.precedence <= local.precedence:
        return None
    if received.boot == local.boot and received.incarnation < MAX_INCARNATION:
        return local._replace(incarnation=received.incarnation + 1)
    if received.boot >= MAX_BOOT:
        return None  # nothing exceeds it: only a faulty member sends that
    return local._replace(boot=received.boot + 1, incarnation=0)
