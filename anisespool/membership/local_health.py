"""Local health: a member whose own probes fail without confirmation lengthens its timeouts.

Lifeguard's local health multiplier (Dadgar, Phillips, Currey, "Lifeguard", 2018; memberlist's awareness):
a slow member must not suspect others for answers that it received too late. Beside it, from the share of
failed probes, whether this member may itself be isolated.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

WINDOW_PROBES = 8  # the last ones, from which isolation follows
ISOLATED_SHARE = 0.6  # of the window, failed
MAX_SCORE_LEVEL = 8  # Lifeguard's local health multiplier saturates at 8 as well
MAX_TIMEOUT_INCREASE_SHARE = 0.5  # of a timeout, at the highest score


class FailedProbes(NamedTuple):
    """Failed probes of the window, and all in it; at most WINDOW_PROBES."""

    failed: int
    total: int


class LocalHealth:
    """The health score and the outcomes of the last probes.

    Attributes:
        score: Level from 0 (healthy) to MAX_SCORE_LEVEL.
    """

    def __init__(self) -> None:
        self.score = 0
        self._answered: deque[bool] = deque(maxlen=WINDOW_PROBES)

    def record_success(self) -> None:
        """Count a probe that was acknowledged, which improves the score by one level."""
        self._answered.append(True)
        self.score = max(0, self.score - 1)

    def record_failure(self, is_fault_remote: bool) -> None:
        """Count a probe that failed.

        Args:
            is_fault_remote: A helper's NACK, or many suspects, show that the fault is not in this member; the
                score then stays.
        """
        self._answered.append(False)
        if not is_fault_remote:
            self.degrade()

    def degrade(self, levels: int = 1) -> None:
        """Raise the score by some levels, as an event suggests that this member is slow itself."""
        self.score = min(MAX_SCORE_LEVEL, self.score + levels)

    @property
    def timeout_multiplier(self) -> float:
        """Factor on this member's own timeouts: 1.0 when healthy, 1.5 at the highest score."""
        return 1.0 + MAX_TIMEOUT_INCREASE_SHARE * self.score / MAX_SCORE_LEVEL

    @property
    def failed_probes(self) -> FailedProbes:
        """Outcome of the last WINDOW_PROBES probes."""
        return FailedProbes(sum(not answered for answered in self._answered), len(self._answered))

    @property
    def is_isolated(self) -> bool:
        """Whether the window is full and at least ISOLATED_SHARE of it failed."""
        failed, total = self.failed_probes
        return total == WINDOW_PROBES and failed >= ISOLATED_SHARE * total
