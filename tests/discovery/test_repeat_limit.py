"""The limit on consecutive identical log lines."""

from __future__ import annotations

from anisespool.discovery.repeat_limit import LOG_INTERVAL_S, RepeatLimit


def test_a_line_is_repeated_only_after_the_interval() -> None:
    limit = RepeatLimit()
    allowed = [limit.allow("a", at_s) for at_s in (5.0, 5.0 + 0.9 * LOG_INTERVAL_S, 5.0 + LOG_INTERVAL_S)]
    assert allowed == [True, False, True]


def test_a_different_line_is_written_at_once_and_ends_the_suppression() -> None:
    limit = RepeatLimit()
    assert [limit.allow(key, 5.0) for key in ("a", "b", "a", "a")] == [True, True, True, False]
