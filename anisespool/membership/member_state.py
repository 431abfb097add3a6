"""Member states, updates about members, and the rule for which of two updates supersedes the other.

A member is identified by its number in the fleet and a boot: a restart under the same number is a new member,
which replaces the previous one at once. Within a boot the higher incarnation wins, and only the member itself
increments it. Within an incarnation the higher state in `MemberState` wins (SWIM, section 4.2: Das, Gupta,
Motivala, "SWIM", 2002). This order is total, so members that received the same updates agree, regardless of
order and repetition.
"""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

# An incarnation takes two bytes of a datagram; a member that would exceed it takes a higher boot.
MAX_INCARNATION = 2**16 - 1
# A boot takes five bytes of a datagram.
MAX_BOOT = 2**40 - 1
# The reporter of an update that has none.
NO_REPORTER = -1
# Unit of a suspicion's age, which takes one byte of a datagram.
SUSPICION_AGE_UNIT_NS = 20_000_000
MAX_SUSPICION_AGE_NS = 255 * SUSPICION_AGE_UNIT_NS


class MemberState(IntEnum):
    """Member states in order of precedence; the values are those used in datagrams."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3  # The member announced its shutdown.


class IncarnationKey(NamedTuple):
    """Identifies one incarnation of a member; ordered by boot, then by incarnation."""

    boot: int
    incarnation: int


class Precedence(NamedTuple):
    """Sort key that totally orders the updates about one member."""

    boot: int
    incarnation: int
    state: MemberState


class MemberUpdate(NamedTuple):
    """The state of a member, as reported by another member or announced by the member itself.

    It is a NamedTuple because thousands are built per second while a large fleet changes.

    Attributes:
        member: Number in the fleet.
        boot: Start time of the member's process in ms, or a higher number taken by a refutation.
        incarnation: Number within the boot, which the member increments to refute a suspicion.
        state: The reported state.
        reporter: The member that suspects `member` or declared it dead; NO_REPORTER otherwise.
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
        """Sort key of this update among those about the same member."""
        return Precedence(self.boot, self.incarnation, self.state)

    @property
    def incarnation_key(self) -> IncarnationKey:
        """The incarnation that the update is about; a refutation exceeds it."""
        return IncarnationKey(self.boot, self.incarnation)


def suspicion_age_units(age_ns: int) -> int:
    """Return a suspicion's age in units of SUSPICION_AGE_UNIT_NS, limited to what fits into one byte.

    Args:
        age_ns: Age of the suspicion; a negative age counts as 0.
    """
    return min(MAX_SUSPICION_AGE_NS, max(0, age_ns)) // SUSPICION_AGE_UNIT_NS


def supersedes(update: MemberUpdate, current: MemberUpdate) -> bool:
    """Return whether `update` replaces `current`; both are about the same member."""
    # Plain tuples: thousands are compared per second, and building Precedence objects costs thrice as much.
    return (update.boot, update.incarnation, update.state) > (
        current.boot,
        current.incarnation,
        current.state,
    )


def refutation(local: MemberUpdate, received: MemberUpdate) -> MemberUpdate | None:
    """Return the update with which a live member refutes one about itself, or None if it need not or can't.

    The received update has a higher boot than the member if the member's clock was set back before a restart
    or a faulty member sent the update. The refutation exceeds that boot too; otherwise the update would
    exclude the member permanently.

    Args:
        local: The member's own state.
        received: An update about the same member.
    """
    if received.boot < local.boot or received.precedence <= local.precedence:
        return None
    if received.boot == local.boot and received.incarnation < MAX_INCARNATION:
        return local._replace(incarnation=received.incarnation + 1)
    if received.boot >= MAX_BOOT:
        return None  # No boot exceeds it, and only a faulty member sends it.
    return local._replace(boot=received.boot + 1, incarnation=0)
