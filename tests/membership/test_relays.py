"""Pings that a helper sends on behalf of other members."""

from __future__ import annotations

from anisespool.membership.config import MembershipConfig
from anisespool.membership.relays import Relay, RelayTable

RELAY = Relay(requester=4, requester_sequence=70, target=9, expires_at_ns=1000)


def test_a_relay_is_completed_only_once_and_only_by_its_target() -> None:
    relays = RelayTable(MembershipConfig())
    relays.add(5, RELAY)
    relays.add(6, RELAY)
    assert relays.complete(5, sender=9) == RELAY
    assert relays.complete(5, sender=9) is None
    assert relays.complete(6, sender=4) is None
    assert not len(relays)


def test_relays_are_bounded_and_expired_ones_are_removed() -> None:
    relays = RelayTable(MembershipConfig(max_relays=2))
    for sequence in (1, 2):
        assert relays.ensure_capacity(999)
        relays.add(sequence, RELAY)
    assert not relays.ensure_capacity(999)
    assert len(relays) == 2
    assert relays.ensure_capacity(1000)
    assert not len(relays)
