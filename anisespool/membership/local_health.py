"""How far a member trusts its own observations: one in poor health suspects others later.

Lifeguard's local health multiplier (Dadgar, Phillips, Currey, "Lifeguard", 2018; memberlist's awareness), and
whether this member may itself be the one that is cut off: how many of its last probes failed.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

WINDOW_PROBES = 8
ISOLATED_SHARE = 0.6  # of the window, failed
MAX_SCORE_LEVEL = 8  # Lifeguard's local health multiplier saturates at 8 as well
MAX_TIMEOUT_INCREASE_SHARE = 0.5  # of a timeout, at the highest score


class FailedProbes(NamedTuple):
    """Probes of the window without an answer, and all of it."""

    failed: int
    total: int


class LocalHealth:
    """`score` 0 is healthy; each step lengthens timeouts, up to half as long again."""

    def __init__(self) -> None:
        self.score = 0
        self._answered: deque[bool] = deque(maxlen=WINDOW_PROBES)

    def record_probe(self, answered: bool, confirmed: bool) -> None:
        """A probe ended. `confirmed`: others could not reach the member either, so the fault is not here."""
        self._answered.append(answered)
        if answered:
            self.improve()
        elif not confirmed:
            self.degrade()

    def degrade(self, steps: int = 1) -> None:
        """Trust own observations less."""
        self.score = min(MAX_SCORE_LEVEL, self.score + steps)

    def improve(self) -> None:
        """Trust own observations more."""
        self.score = max(0, self.score - 1)

    @property
    def timeout_multiplier(self) -> float:
        """What own timeouts are multiplied by, 1.0 to 1.5."""
        return 1.0 + MAX_TIMEOUT_INCREASE_SHARE * self.score / MAX_SCORE_LEVEL

    @property
    def failed_probes(self) -> FailedProbes:
        """Of the last WINDOW_PROBES probes."""
        return FailedProbes(sum(not answered for answered in self._answered), len(self._answered))

    @property
    def is_isolated(self) -> bool:
        """Whether so many of a full window failed that this member may be the one cut off."""
        failed, total = self.failed_probes
        return total == WINDOW_PROBES and failed >= ISOLATED_SHARE * total
