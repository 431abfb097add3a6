"""The limit on the datagrams that one member sends."""

from __future__ import annotations

from anisespool.membership.rate_limiter import RateLimiter


def test_a_burst_is_limited_to_one_second_of_datagrams_and_refills_at_the_rate() -> None:
    limiter = RateLimiter(10.0, now_s=5.0)
    assert [limiter.try_consume(5.0) for _ in range(11)] == [True] * 10 + [False]
    assert [limiter.try_consume(5.25) for _ in range(3)] == [True, True, False]
    # A long pause does not increase the burst.
    assert sum(limiter.try_consume(60.0) for _ in range(20)) == 10
