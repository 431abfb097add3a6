"""Bounds of one rollout, as an operator sets them."""

from __future__ import annotations

from typing import NamedTuple


class RolloutPolicy(NamedTuple):
    """Bounds of one rollout, in numbers of instances.

    Attributes:
        wave_size: Instances that the change is sent to at a time; 0: all.
        first_wave_size: Size of the first wave; 0: as the others.
        max_rejected: More rejections pause the rollout.
        max_unreachable: More unreachable instances pause it; -1: no bound.
        force: Apply the change even where it drains the last endpoint.
    """

    wave_size: int = 0
    first_wave_size: int = 0
    max_rejected: int = 0
    max_unreachable: int = -1
    force: bool = False
