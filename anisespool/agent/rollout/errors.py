"""Errors of operator commands that the newest change does not allow. Scripts parse the texts."""

from __future__ import annotations

from dataclasses import dataclass

from anisespool.agent.errors import AgentError
from anisespool.agent.rollout.state import RolloutAction, RolloutState


class RolloutNotPossibleError(AgentError):
    """The state of the newest change does not allow an operator's command."""


class NoChangeError(RolloutNotPossibleError):
    """There is no change to roll back."""

    def __str__(self) -> str:
        return "nothing was ever applied"


@dataclass(eq=False)
class NotNewestGenerationError(RolloutNotPossibleError):
    """The command names a generation other than the newest, or there is no change."""

    generation: int

    def __str__(self) -> str:
        return f"generation {self.generation} is not the newest"


@dataclass(eq=False)
class ActionNotPossibleError(RolloutNotPossibleError):
    """The action is not possible in the state of the newest change."""

    generation: int
    state: RolloutState
    action: RolloutAction

    def __str__(self) -> str:
        return f"generation {self.generation} is {self.state.value}: no {self.action.value}"
