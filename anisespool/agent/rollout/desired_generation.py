"""Choice of the generation that an instance should have, and whether it waits for the rollout's waves."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.agent.rollout.state import PROPAGATING_STATES, RolloutState


class NewestChange(NamedTuple):
    """Generation and state of the newest change."""

    generation: int
    state: RolloutState


class DesiredGeneration(NamedTuple):
    """The generation that an instance should have.

    Attributes:
        generation: Generation to send.
        in_waves: Whether it is sent in the waves of the rollout; otherwise it is sent immediately.
    """

    generation: int
    in_waves: bool


def desired_generation(
    newest: NewestChange | None, last_settled: int, observed: int
) -> DesiredGeneration | None:
    """Return the generation to send to an instance that reports `observed`, or None if there is none to send.

    A paused or aborted change is not sent to further instances. An instance that restarts then gets the
    last settled generation. An instance that already has the newest generation keeps it until a rollback.

    Args:
        newest: The newest change, None if there is none.
        last_settled: The newest settled generation before the newest change; 0 if there is none.
        observed: Generation that the instance reports.
    """
    if newest is None or observed >= newest.generation:
        return None
    if newest.state in PROPAGATING_STATES:
        return DesiredGeneration(newest.generation, in_waves=newest.state is RolloutState.RUNNING)
    return DesiredGeneration(last_settled, in_waves=False) if last_settled > observed else None
