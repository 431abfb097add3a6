"""The membership view that the rest of the sidecar reads."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from anisespool.membership.view import format_ranges
from tests.membership.simulated_fleet import converged_fleet


@pytest.mark.parametrize(
    ("numbers", "text"), [([], ""), ([3], "3"), ([2, 0, 1, 5, 7, 8], "0-2,5,7-8"), (range(200), "0-199")]
)
def test_numbers_are_formatted_as_ranges(numbers: Iterable[int], text: str) -> None:
    assert format_ranges(numbers) == text


def test_a_view_has_a_version_and_shows_that_its_member_may_be_isolated() -> None:
    fleet = converged_fleet()
    view = fleet.members[0].view()
    assert (view.alive_min, view.alive_max, view.is_isolated) == (20, 20, False)
    assert fleet.members[0].view() is view
    fleet.is_cut = lambda sender, recipient: 0 in (sender, recipient)
    fleet.run(8)
    isolated = fleet.members[0].view()
    assert isolated.is_isolated
    assert isolated.failed_probes.failed >= 5
    assert isolated.version > view.version
    assert isolated.alive_min < 20
    assert not fleet.members[1].view().is_isolated
