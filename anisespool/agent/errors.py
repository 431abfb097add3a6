"""The base of the agent's exceptions, and those that more than one module raises or handles."""

from __future__ import annotations


class AgentError(Exception):
    """Base of all errors of the agent: of the store, of an instance's answers, of rollouts and of calls."""


class RolloutNotPossibleError(AgentError):
    """The state of the newest change does not allow an operator's command."""
