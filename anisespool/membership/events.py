"""Membership events for the instance's event log; field names are the keys of the log's JSON."""

from __future__ import annotations

from typing import ClassVar

import msgspec


class MembershipEvent(msgspec.Struct, frozen=True):
    """A change of a member's state or of this member's own protocol."""

    what: ClassVar[str]
    """Value of the key `what` in the log's JSON."""


class MemberJoined(MembershipEvent, frozen=True):
    """A member, or a new boot of a member, was reported alive for the first time."""

    what: ClassVar[str] = "joined"
    member: int


class MemberRejoined(MembershipEvent, frozen=True):
    """A member that was dead or had left is alive again with the same boot."""

    what: ClassVar[str] = "back"
    member: int


class MemberSuspected(MembershipEvent, frozen=True):
    """A suspicion of a member began."""

    what: ClassVar[str] = "suspected"
    member: int
    by: int
    """The member whose report arrived first."""


class MemberDied(MembershipEvent, frozen=True):
    """A suspicion expired, and this member declared the suspect dead."""

    what: ClassVar[str] = "dead"
    member: int


class MemberLeft(MembershipEvent, frozen=True):
    """A member announced its shutdown."""

    what: ClassVar[str] = "left"
    member: int


class SuspicionRefuted(MembershipEvent, frozen=True):
    """This member refuted an update about itself; `incarnation` is its new one."""

    what: ClassVar[str] = "refuted"
    incarnation: int


class ProtocolPaused(MembershipEvent, frozen=True):
    """A tick was late by more than the pause threshold, so this process was paused."""

    # `ms` is the length of the pause.

    what: ClassVar[str] = "paused"
    ms: int


class NumberConflict(MembershipEvent, frozen=True):
    """An update has a higher boot for this member: another process has its number, or its clock went back."""

    what: ClassVar[str] = "double"
    boot: int


class ViewChanged(MembershipEvent, frozen=True):
    """The membership view has changed."""

    what: ClassVar[str] = "view"
    view: str
    """Alive and suspect members as ranges, such as `0-4,6`."""
    alive: int
    """Number of members in `view`."""
