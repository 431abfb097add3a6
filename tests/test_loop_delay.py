"""When the event loop counts as late, and since when what it handles may have waited."""

from __future__ import annotations

import pytest

from anisespool.loop_delay import BACKLOG_NS, CHECK_INTERVAL_NS, MIN_DELAY_NS, LoopDelay
from tests.support import MS, SECOND

START = 100 * SECOND
ON_TIME = START + CHECK_INTERVAL_NS + MIN_DELAY_NS


@pytest.mark.parametrize(("now", "earliest_at"), [(ON_TIME, ON_TIME), (ON_TIME + 1, START)])
def test_what_is_handled_while_the_check_is_overdue_may_have_happened_since_the_last_one(
    now: int, earliest_at: int
) -> None:
    loop_delay = LoopDelay(START)
    assert loop_delay.earliest_input_at(now) == earliest_at
    assert loop_delay.is_on_time(now) is (now == earliest_at)


def test_a_check_on_time_reports_no_delay() -> None:
    loop_delay = LoopDelay(START)
    assert loop_delay.check_ran(ON_TIME) == 0
    assert loop_delay.earliest_input_at(ON_TIME + MS) == ON_TIME + MS


def test_a_delay_is_remembered_until_its_backlog_has_been_read() -> None:
    """Connections that waited to be accepted are read after the check has run again."""
    loop_delay = LoopDelay(START)
    resumed = START + SECOND
    assert loop_delay.check_ran(resumed) == SECOND - CHECK_INTERVAL_NS
    assert not loop_delay.is_overdue(resumed + MS)
    assert loop_delay.earliest_input_at(resumed + MS) == START
    assert not loop_delay.is_on_time(resumed + MS)
    for checks in range(1, 1 + BACKLOG_NS // CHECK_INTERVAL_NS):
        assert loop_delay.check_ran(resumed + checks * CHECK_INTERVAL_NS) == 0
    later = resumed + BACKLOG_NS
    assert not loop_delay.is_on_time(later - 1)
    assert loop_delay.earliest_input_at(later) == later
    assert loop_delay.is_on_time(later)


def test_an_event_handled_before_the_check_of_a_late_loop_may_have_happened_since_the_one_before() -> None:
    loop_delay = LoopDelay(START)
    handled = START + SECOND
    assert loop_delay.earliest_event_at(handled) == START
    loop_delay.check_ran(handled + MS)
    assert loop_delay.earliest_event_at(handled) == START
    assert loop_delay.earliest_event_at(handled + 2 * MS) == handled + 2 * MS


@pytest.mark.parametrize(
    ("waited_ns", "arrived_at"),
    [(MS, START + SECOND - MS), (2 * SECOND, START), (None, START)],
    ids=["known", "before the delay", "unknown"],
)
def test_late_input_counts_from_its_arrival_or_from_the_beginning_of_the_delay(
    waited_ns: int | None, arrived_at: int
) -> None:
    assert LoopDelay(START).input_arrived_at(START + SECOND, waited_ns) == arrived_at
