"""Slow start: caps the weights of endpoints that are warming up.

An endpoint that is sent too much while it warms up fails. Its share of the work is therefore capped at a
multiple of its share by configured weight, and so is the share of all warming endpoints together. These are
shares of the completed work, as the work sent has no bound.
"""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.estimates.decaying_value import DecayingValue
from anisespool.balancer.selection.warmup_limiter import HALF_LIFE_WINDOW_PERCENT, PLANNED_ALLOWANCE_SHARE


class SlowStart:
    """Slow start at one sidecar; work is counted in expected latencies."""

    def __init__(self, settings: api.Settings) -> None:
        self._settings = settings
        half_life_ns = settings.overload_window_ns * HALF_LIFE_WINDOW_PERCENT // 100
        self._sent_work = DecayingValue(half_life_ns)
        self._completed_work = DecayingValue(half_life_ns)

    def record_sent(self, endpoint: Endpoint, expected_latency_ns: float, now: int) -> None:
        """Add the work of an attempt sent now."""
        if endpoint.warmup_limiter:
            endpoint.warmup_limiter.sent.add(now, expected_latency_ns)
        self._sent_work.add(now, expected_latency_ns)

    def record_completed(self, endpoint: Endpoint, expected_latency_ns: float, now: int) -> None:
        """Add a successful attempt's work."""
        self._completed_work.add(now, expected_latency_ns)
        if endpoint.warmup_limiter:
            endpoint.warmup_limiter.completed.add(now, expected_latency_ns)

    def update_factor(self, endpoint: Endpoint, now: int) -> float:
        """Update and return the share of full capacity that a warming endpoint is guaranteed to have."""
        initial = self._settings.initial_capacity
        age_ns = max(0, now - endpoint.listing.started_ns)
        endpoint.slow_start_factor = initial + (1 - initial) * age_ns / self._settings.warmup_ns
        return endpoint.slow_start_factor

    def cap_in_place(
        self, candidates: list[Endpoint], weights: list[float], now: int, expected_latency_ns: float = 1.0
    ) -> float:
        """Cap the weights of warming candidates; the warm candidates get the excess.

        Returns:
            The weight of not sending now: the excess if all candidates are warming up, else 0.
        """
        planned = sum(weights) * PLANNED_ALLOWANCE_SHARE * self._settings.overload_multiple
        total_weight = sum(e.weight for e in candidates) or 1.0
        completed_share = min(1.0, self._completed_work.read(now) / (self._sent_work.read(now) or 1.0))
        cap_per_weight = planned * completed_share / total_weight
        caps = [_cap(endpoint, cap_per_weight, now, expected_latency_ns) for endpoint in candidates]
        return _apply_caps(weights, caps)


def _cap(endpoint: Endpoint, cap_per_weight: float, now: int, expected_latency_ns: float) -> float | None:
    """Return the cap on an endpoint's weight, or None if it is warm."""
    limiter = endpoint.warmup_limiter
    if now >= endpoint.warm_at or not limiter:
        return None
    if not limiter.allows(now, expected_latency_ns):
        return 0.0
    return cap_per_weight * endpoint.weight * endpoint.slow_start_factor


def _apply_caps(weights: list[float], caps: list[float | None]) -> float:
    """Apply the caps (None: no cap) in place; return the excess that no warm endpoint gets."""
    excess = 0.0
    warm = [index for index, cap in enumerate(caps) if cap is None]
    for index, cap in enumerate(caps):
        if cap is not None and (over := weights[index] - cap) > 0:
            excess += over
            weights[index] -= over
    scale = 1 + excess / (sum(weights[index] for index in warm) or 1.0)
    for index in warm:
        weights[index] *= scale
    return 0.0 if warm else excess
