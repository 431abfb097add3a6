"""Local health: a member lengthens its timeouts when its probes fail without evidence of a remote fault.

This is Lifeguard's local health multiplier (Dadgar, Phillips, Currey, "Lifeguard", 2018; memberlist's
awareness). It keeps a slow member from suspecting others whose answers it received too late. The
share of failed probes also shows whether this member itself may be isolated.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

# Number of recent probes that determine whether this member may be isolated.
WINDOW_PROBES = 8
# Minimum share of failed probes in the window at which this member may be isolated.
ISOLATED_SHARE = 0.6
MAX_SCORE_LEVEL = 8  # Lifeguard's local health multiplier saturates at 8 as well
# Increase of a timeout at the highest score, as a share of the timeout.
MAX_TIMEOUT_INCREASE_SHARE = 0.5


class FailedProbes(NamedTuple):
    """Number of failed probes and of all probes in the window, which holds at most WINDOW_PROBES."""

    failed: int
    total: int


class LocalHealth:
    """Tracks the health score and the outcomes of the last probes.

    Attributes:
        score: Level from 0 (healthy) to MAX_SCORE_LEVEL.
    """

    def __init__(self) -> None:
        self.score = 0
        self._answered: deque[bool] = deque(maxlen=WINDOW_PROBES)

    def record_success(self) -> None:
        """Record an acknowledged probe, which lowers the score by one level."""
        self._answered.append(True)
        self.score = max(0, self.score - 1)

    def record_failure(self, is_fault_remote: bool) -> None:
        """Record a failed probe.

        Args:
            is_fault_remote: Whether a helper's NACK or many suspects show that the fault is not in this
                member. The score is then unchanged.
        """
        self._answered.append(False)
        if not is_fault_remote:
            self.degrade()

    def degrade(self, levels: int = 1) -> None:
        """Raise the score, up to MAX_SCORE_LEVEL, after an event which suggests that this member is slow."""
        self.score = min(MAX_SCORE_LEVEL, self.score + levels)

    @property
    def timeout_multiplier(self) -> float:
        """Factor for this member's own timeouts: 1.0 when healthy, 1.5 at the highest score."""
        return 1.0 + MAX_TIMEOUT_INCREASE_SHARE * self.score / MAX_SCORE_LEVEL

    @property
    def failed_probes(self) -> FailedProbes:
        """Failures among the last WINDOW_PROBES probes."""
        return FailedProbes(sum(not answered for answered in self._answered), len(self._answered))

    @property
    def is_isolated(self) -> bool:
        """Whether the window is full and at least ISOLATED_SHARE of its probes failed."""
        failed, total = self.failed_probes
        return total == WINDOW_PROBES and failed >= ISOLATED_SHARE * total
