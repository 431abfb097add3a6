"""Membership events as shown on the control socket."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.membership import events
from anisespool.membership.events import MembershipEvent
from anisespool.proxy.event_log import EventLog

# Scripts and the lab read these names and keys.
ENTRIES: list[tuple[MembershipEvent, dict[str, Any]]] = [
    (events.MemberJoined(3), {"what": "joined", "member": 3}),
    (events.MemberRejoined(3), {"what": "back", "member": 3}),
    (events.MemberSuspected(3, 5), {"what": "suspected", "member": 3, "by": 5}),
    (events.MemberDied(3), {"what": "dead", "member": 3}),
    (events.MemberLeft(3), {"what": "left", "member": 3}),
    (events.SuspicionRefuted(7), {"what": "refuted", "incarnation": 7}),
    (events.ProtocolPaused(1200), {"what": "paused", "ms": 1200}),
    (events.NumberConflict(9), {"what": "double", "boot": 9}),
    (events.ViewChanged("0-4,6", 6), {"what": "view", "view": "0-4,6", "alive": 6}),
]


@pytest.mark.parametrize(("event", "entry"), ENTRIES, ids=lambda value: type(value).__name__)
def test_the_event_log_shows_an_event_with_its_keys(event: MembershipEvent, entry: dict[str, Any]) -> None:
    event_log = EventLog(lambda: 7)
    event_log.record(event)
    assert list(event_log.after(0)["events"][0].items()) == [("n", 1), ("at_ns", 7), *entry.items()]


def test_every_type_of_event_has_an_expected_entry() -> None:
    assert {type(event) for event, _ in ENTRIES} == set(MembershipEvent.__subclasses__())
