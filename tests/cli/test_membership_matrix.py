"""The matrix of membership views, which `anisespool peers` prints."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.cli import membership_matrix
from anisespool.cli.errors import CommandError
from anisespool.cli.instance_views import MembershipView, parse_view
from tests.cli.support import PEERS, cells, printed


def view(**fields: Any) -> MembershipView:
    return parse_view(PEERS | fields, MembershipView, "n2")


def test_each_member_state_has_its_own_mark() -> None:
    assert membership_matrix.member_marks(view()) == "./o?x- "


@pytest.mark.parametrize(
    ("fields", "mark"),
    [
        ({"around": []}, "."),
        ({"alive": [0, 2], "suspect": [1, 3], "around": []}, "?"),
        ({"alive": [0, 2], "gone": [1, 4], "around": []}, "x"),
        ({"gone": [1, 4]}, "/"),
        ({"number": 1}, "o"),
    ],
)
def test_a_member_in_several_lists_has_the_mark_that_takes_precedence(
    fields: dict[str, Any], mark: str
) -> None:
    assert membership_matrix.member_marks(view(**fields))[1] == mark


def test_a_row_shows_a_view_with_its_counters() -> None:
    row = cells(printed(*membership_matrix.render({"n2": view()}, {}))[4])
    warning = "may be isolated: 5 of 8 probes failed"
    assert row == ["n2", "./o?x-", "3 to 5", "0.0 s", "0", "3/0", "1", "4", "2", warning]


def test_a_view_with_an_exact_live_count_and_no_isolation_has_one_number_and_no_warning() -> None:
    row = cells(printed(*membership_matrix.render({"n2": view(low=4, high=4, cut_off=False)}, {}))[4])
    assert (row[2], row[-1]) == ("4", "")


@pytest.mark.parametrize(
    ("other", "agreement"),
    [
        ({"alive": [0, 1, 2, 3], "suspect": []}, "all of one view"),
        ({"suspect": [], "gone": [3, 4]}, "2 views differ: run it again in a few seconds"),
    ],
)
def test_views_agree_if_they_have_the_same_live_and_suspect_members(
    other: dict[str, Any], agreement: str
) -> None:
    views = {"a": view(), "b": view(**other)}
    assert str(membership_matrix.render(views, {})[-1]) == agreement


@pytest.mark.parametrize("in_vain", [[5], [5, 8, 1], ["5", 8], {"failed": 5, "total": 8}])
def test_failed_probes_that_are_not_a_list_of_two_numbers_are_rejected(in_vain: object) -> None:
    with pytest.raises(CommandError, match=r"n2: not understood: .*in_vain"):
        view(in_vain=in_vain)


def test_an_instance_without_a_view_is_listed_with_the_reason() -> None:
    parts = membership_matrix.render({}, {"c": "membership is disabled"})
    assert [str(part) for part in parts[1:]] == [membership_matrix.LEGEND, "c: membership is disabled"]
