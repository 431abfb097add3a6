"""Drains by the operator and by the endpoint list, and lists that are older than an earlier one."""

from __future__ import annotations

import pytest

from anisespool.balancer.interface import EndpointState
from anisespool.discovery.contact import DiscoveryContact
from anisespool.discovery.drains import CATCH_UP_NS, DrainTracker, effective_state, leaves_no_ready_endpoint
from tests.support import SECOND

READY = EndpointState.READY
DRAINING = EndpointState.DRAINING
GONE = EndpointState.GONE


def test_an_operator_drain_affects_only_listed_ready_endpoints_and_may_leave_none() -> None:
    assert [effective_state(state, True) for state in (READY, DRAINING, GONE)] == [DRAINING, DRAINING, GONE]
    assert [effective_state(state, False) for state in (READY, DRAINING, GONE)] == [READY, DRAINING, GONE]
    assert leaves_no_ready_endpoint({"a"}, {"a", "b"})
    assert not leaves_no_ready_endpoint({"a", "c"}, {"a"})
    assert not leaves_no_ready_endpoint(set(), {"a"})


def contact_until(end_ns: int) -> DiscoveryContact:
    """Return a contact without a break from 0 until a time."""
    contact = DiscoveryContact()
    for now_ns in [*range(0, end_ns, 2 * SECOND), end_ns]:
        contact.record(now_ns)
    return contact


@pytest.mark.parametrize("listed", [DRAINING, GONE])
@pytest.mark.parametrize(
    ("started_ns", "revision", "after_ns", "stays_draining"),
    [
        (5, 50, 0, False),
        (5, 51, 0, False),
        (5, 49, 0, True),
        (5, 1, CATCH_UP_NS - 1, True),
        (5, 49, CATCH_UP_NS, False),
        (6, 49, 0, False),
        (4, 49, 0, True),
        (4, 50, 0, False),
    ],
)
def test_a_listed_drain_outlasts_older_lists_until_a_restart_or_the_catch_up_time(
    listed: int, started_ns: int, revision: int, after_ns: int, stays_draining: bool
) -> None:
    """Revision 50 drains the endpoint started at 5; two lists, `after_ns` apart, have it as ready.

    A list from before its last start ended the drain (review/8).
    """
    tracker = DrainTracker(contact_until(1000 + after_ns))
    assert tracker.resolve(1, "s-0", 5, listed, 50) == listed
    # An older list that agrees does not lower the revision of the withdrawal.
    assert tracker.resolve(2, "s-0", 5, GONE, 30) == GONE
    assert tracker.resolve(1000, "s-0", 5, READY, 49) == DRAINING
    resolved = tracker.resolve(1000 + after_ns, "s-0", started_ns, READY, revision)
    assert resolved == (DRAINING if stays_draining else READY)
    assert tracker.resolve(1, "s-1", 5, READY, 1) == READY


def test_an_older_list_takes_effect_only_once_discovery_was_heard_for_the_catch_up_time() -> None:
    """A drain was taken back 6 s after one older list, although discovery was down since (review/7)."""
    contact = DiscoveryContact()
    tracker = DrainTracker(contact)
    tracker.resolve(0, "s-0", 5, DRAINING, 50)
    contact.record(1)
    assert tracker.resolve(1, "s-0", 5, READY, 49) == DRAINING
    assert tracker.resolve(60 * SECOND, "s-0", 5, READY, 49) == DRAINING
    contact.record(60 * SECOND)
    contact.record(62 * SECOND)
    contact.record(65 * SECOND)  # a break
    for now_s in (67, 69):
        contact.record(now_s * SECOND)
        assert tracker.resolve(now_s * SECOND, "s-0", 5, READY, 49) == DRAINING
    contact.interrupt()
    contact.record(70 * SECOND)
    for now_s in (72, 74):
        contact.record(now_s * SECOND)
        assert tracker.resolve(now_s * SECOND, "s-0", 5, READY, 49) == DRAINING
    contact.record(76 * SECOND)
    assert tracker.resolve(76 * SECOND, "s-0", 5, READY, 49) == READY


def test_a_withdrawal_covers_a_start_that_was_not_known_when_it_was_learned() -> None:
    """A list leaves out an endpoint that has restarted unnoticed; a list that is behind has that start."""
    tracker = DrainTracker(DiscoveryContact())
    tracker.resolve(100, "s-0", 5, GONE, 50)
    assert tracker.resolve(200, "s-0", 60, READY, 49) == DRAINING
    assert tracker.resolve(200, "s-0", 150, READY, 49) == READY


def test_stored_withdrawals_are_bounded_and_the_least_recently_updated_is_dropped_first() -> None:
    tracker = DrainTracker(DiscoveryContact(), max_endpoints=2)
    for name in ("a", "b", "a", "c"):
        tracker.resolve(0, name, 5, GONE, 50)
    assert [tracker.resolve(1, name, 5, READY, 1) for name in ("a", "b", "c")] == [DRAINING, READY, DRAINING]
