"""May one more request go to an endpoint that is warming up?

One that is sent more than `overload_multiple` times what it can do, within any `overload_window_ns`, falls
over and stays down; requests that it rejects count too. With few other endpoints a cap on its share of the
choices (slow_start.py) is no bound, so what this sidecar sends is limited by what the endpoint answers as
well.
"""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.estimates.decaying_value import RATE_NORMALIZATION_FACTOR, DecayingValue

PLANNED_ALLOWANCE_SHARE = 0.6  # of the allowance: traffic is uneven, estimates are rough
INITIAL_WARMUP_REQUESTS = 1.5  # of decaying work sent, to an endpoint that has answered nothing yet
HALF_LIFE_WINDOW_PERCENT = 25  # of the overload window


class WarmupLimiter:
    """Compares work sent to one endpoint with work that it answered, both in expected latencies.

    Attributes:
        allowance: How many times what the endpoint answers this sidecar sends at most.
    """

    def __init__(self, settings: api.Settings) -> None:
        half_life_ns = settings.overload_window_ns * HALF_LIFE_WINDOW_PERCENT // 100
        self.sent = DecayingValue(half_life_ns)
        self.answered = DecayingValue(half_life_ns)
        self.allowance = PLANNED_ALLOWANCE_SHARE * settings.overload_multiple
        self._initial_rate = INITIAL_WARMUP_REQUESTS * RATE_NORMALIZATION_FACTOR / self.sent.half_life_ns

    def allows(self, now: int, expected_latency_ns: float) -> bool:
        """Return whether a request of this expected latency may go there `now` (monotonic ns)."""
        initial = self._initial_rate * expected_latency_ns
        answered = self.allowance * self.answered.read(now)
        return self.sent.read(now) + initial / INITIAL_WARMUP_REQUESTS <= answered + initial
