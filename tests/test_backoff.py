"""The delays of the backoff, also with the bounds of the two subsystems that use it."""

from __future__ import annotations

from collections.abc import Iterator
from random import Random

import pytest

from anisespool.backoff import Backoff
from anisespool.discovery import timeouts
from anisespool.records import recorder

FAILURES = 12
SEEDS = range(20)


def test_delays_double_up_to_the_maximum_with_jitter() -> None:
    backoff = Backoff(0.2, 3.0, Random(1))
    delays_s = [backoff.next_delay_s() for _ in range(8)]
    for delay_s, full_s in zip(delays_s, (0.2, 0.4, 0.8, 1.6, 3.0, 3.0, 3.0, 3.0), strict=True):
        assert full_s / 2 <= delay_s <= full_s
    assert len(set(delays_s)) == 8


def test_only_a_connection_that_lasted_resets_the_delay() -> None:
    backoff = Backoff(0.2, 3.0, Random(1))
    for _ in range(8):
        backoff.next_delay_s()
    backoff.reset_after(2.9)
    assert backoff.next_delay_s() > 1.0
    backoff.reset_after(3.0)
    assert backoff.next_delay_s() <= 0.2


def test_a_reset_restores_the_initial_delay() -> None:
    backoff = Backoff(0.2, 3.0, Random(1))
    for _ in range(8):
        backoff.next_delay_s()
    backoff.reset()
    assert backoff.next_delay_s() <= 0.2


def record_delays_s(random: Random) -> Iterator[float]:
    """Yield the expected delays of the record sender, which double up to a maximum."""
    next_s = 0.2
    while True:
        yield next_s * random.uniform(0.5, 1.0)
        next_s = min(next_s * 2, 30.0)


def watch_delays_s(random: Random, max_by_attempt_s: list[float]) -> Iterator[float]:
    """Yield the expected delays of the endpoint watch, with a maximum for each attempt."""
    next_s = 0.05
    for max_s in max_by_attempt_s:
        yield min(next_s, max_s) * random.uniform(0.5, 1.0)
        next_s = min(2 * next_s, max_s)


@pytest.mark.parametrize("seed", SEEDS)
def test_the_record_sender_has_exactly_its_expected_delays(seed: int) -> None:
    backoff = Backoff(recorder.INITIAL_BACKOFF_S, recorder.MAX_BACKOFF_S, Random(seed))
    expected_s = record_delays_s(Random(seed))
    for _ in range(FAILURES):
        assert backoff.next_delay_s() == next(expected_s)


@pytest.mark.parametrize("max_backoff_s", [0.05, 0.2, timeouts.POLL_TIMING.max_backoff_s, 60.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_the_endpoint_watch_has_exactly_its_expected_delays(seed: int, max_backoff_s: float) -> None:
    """Some of the failures are updates that can't be applied, which have another maximum."""
    draws = Random(seed + 1000)
    invalid = [draws.random() < 0.5 for _ in range(FAILURES)]
    max_by_attempt_s = [2.0 if is_invalid else max_backoff_s for is_invalid in invalid]
    backoff = Backoff(timeouts.INITIAL_BACKOFF_S, max_backoff_s, Random(seed))
    delays_s = [
        backoff.next_delay_s(timeouts.MAX_FAULT_BACKOFF_S if is_invalid else None) for is_invalid in invalid
    ]
    assert delays_s == list(watch_delays_s(Random(seed), max_by_attempt_s))
