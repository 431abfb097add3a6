"""An amount or an event rate with exponential decay."""

from __future__ import annotations

from math import exp2

RATE_NORMALIZATION_FACTOR = 0.693  # ln 2: the value converges to a steady rate


class DecayingValue:
    """A value that halves every `half_life_ns`.

    One class serves both amounts and rates, as a call site is slower if it gets several types.
    """

    def __init__(self, half_life_ns: int) -> None:
        self.half_life_ns = max(half_life_ns, 1)
        self.value = 0.0
        self.updated_at = 0  # monotonic ns

    def read(self, now: int) -> float:
        """Return the value as of `now`."""
        if now != self.updated_at:
            self.value *= exp2((self.updated_at - now) / self.half_life_ns)
            self.updated_at = now
        return self.value

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count `amount` at `now`; the value is then a rate, in amounts per ns."""
        self.value = self.read(now) + amount * RATE_NORMALIZATION_FACTOR / self.half_life_ns
