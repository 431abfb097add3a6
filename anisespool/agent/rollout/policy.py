"""Limits of one rollout that an operator sets."""

from __future__ import annotations

from typing import NamedTuple


class RolloutPolicy(NamedTuple):
    """Limits of one rollout, in numbers of instances.

    Attributes:
        wave_size: Number of instances that the change is sent to at a time; 0 for all.
        first_wave_size: Size of the first wave; 0 for the size of the others.
        max_rejected: Number of rejections above which the rollout pauses.
        max_unreachable: Number of unreachable instances above which it pauses; -1 for no limit.
        force: Whether to apply the change even if it drains the last endpoint.
    """

    wave_size: int = 0
    first_wave_size: int = 0
    max_rejected: int = 0
    max_unreachable: int = -1
    force: bool = False
