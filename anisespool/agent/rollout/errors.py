"""Errors of operator commands that are not possible at present. Scripts parse the error texts."""

from __future__ import annotations

from dataclasses import dataclass

from anisespool.agent.errors import AgentError
from anisespool.agent.rollout.state import RolloutAction, RolloutState


class RolloutNotPossibleError(AgentError):
    """Base class. There is no newest change, or its generation or state does not allow the command."""


class NoChangeError(RolloutNotPossibleError):
    """There is no change to roll back."""

    def __str__(self) -> str:
        return "nothing was ever applied"


@dataclass(eq=False)
class NotNewestGenerationError(RolloutNotPossibleError):
    """A pause, resume or abort names a generation that is not the newest, or there is no change at all."""

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
