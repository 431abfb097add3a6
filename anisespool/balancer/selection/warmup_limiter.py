"""Limits the work sent to one endpoint that is warming up.

A warming endpoint that is sent more than `overload_multiple` times its capacity, within any
`overload_window_ns`, fails and stays down; requests that it rejects count too. With few other endpoints,
the cap on its weight (slow_start.py) does not prevent this, so the work sent is also limited by the work that
the endpoint has completed.
"""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.estimates.decaying_value import RATE_NORMALIZATION_FACTOR, DecayingValue

PLANNED_ALLOWANCE_SHARE = 0.6  # used part of the overload multiple: traffic is uneven and estimates are rough
INITIAL_WARMUP_REQUESTS = 1.5  # decaying work allowed before the first answer, in requests
HALF_LIFE_WINDOW_PERCENT = 25  # part of the overload window that is the half-life of both rates


class WarmupLimiter:
    """Compares the work sent to one endpoint with the work it completed, both in expected latencies.

    Attributes:
        allowance: Maximum ratio of the work sent to the work completed.
    """

    def __init__(self, settings: api.Settings) -> None:
        half_life_ns = settings.overload_window_ns * HALF_LIFE_WINDOW_PERCENT // 100
        self.sent = DecayingValue(half_life_ns)
        self.completed = DecayingValue(half_life_ns)
        self.allowance = PLANNED_ALLOWANCE_SHARE * settings.overload_multiple
        self._initial_rate = INITIAL_WARMUP_REQUESTS * RATE_NORMALIZATION_FACTOR / self.sent.half_life_ns

    def allows(self, now: int, expected_latency_ns: float) -> bool:
        """Return whether a request with this expected latency may be sent now."""
        initial = self._initial_rate * expected_latency_ns
        allowed = self.allowance * self.completed.read(now)
        # The quotient is the rate that this request would add.
        return self.sent.read(now) + initial / INITIAL_WARMUP_REQUESTS <= allowed + initial
