"""Events of membership for the instance's event log; field names are the keys of the log's JSON."""

from __future__ import annotations

from typing import ClassVar

import msgspec


class MembershipEvent(msgspec.Struct, frozen=True):
    """A change of a member's state, or of this member's protocol."""

    what: ClassVar[str]
    """Value of the key `what` in the log's JSON."""


class MemberJoined(MembershipEvent, frozen=True):
    """The first update that a member, or a new boot of it, is alive."""

    what: ClassVar[str] = "joined"
    member: int


class MemberRejoined(MembershipEvent, frozen=True):
    """A member that was dead or had left is alive with the same boot."""

    what: ClassVar[str] = "back"
    member: int


class MemberSuspected(MembershipEvent, frozen=True):
    """A suspicion of a member began."""

    what: ClassVar[str] = "suspected"
    member: int
    by: int
    """Reporter of the first report that arrived."""


class MemberDied(MembershipEvent, frozen=True):
    """A suspicion expired: this member declares the other dead."""

    what: ClassVar[str] = "dead"
    member: int


class MemberLeft(MembershipEvent, frozen=True):
    """A member announced its shutdown."""

    what: ClassVar[str] = "left"
    member: int


class SuspicionRefuted(MembershipEvent, frozen=True):
    """This member refuted an update about itself by a higher incarnation."""

    what: ClassVar[str] = "refuted"
    incarnation: int


class ProtocolPaused(MembershipEvent, frozen=True):
    """A tick was later than the pause threshold: this process did not run."""

    # `ms` is the length of the pause.

    what: ClassVar[str] = "paused"
    ms: int


class NumberConflict(MembershipEvent, frozen=True):
    """An update names a higher boot of this member's own number: another process, or a clock set back."""

    what: ClassVar[str] = "double"
    boot: int


class ViewChanged(MembershipEvent, frozen=True):
    """The members by state have changed."""

    what: ClassVar[str] = "view"
    view: str
    """Alive and suspect members as ranges, such as `0-4,6`."""
    alive: int
    """Count of the members in `view`."""
