"""Errors of the store: an unusable database file, and a change that conflicts with another one."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from anisespool.agent.desired_state import Change
from anisespool.agent.errors import AgentError


class StoreError(AgentError):
    """Base class of the store's own errors."""


@dataclass(eq=False)
class UnusableStoreError(StoreError):
    """The database file can't be used. The text names the file, the reason and the remedy.

    Attributes:
        reason: What was found, and what to do.
    """

    path: Path
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@dataclass(eq=False)
class GenerationConflictError(StoreError):
    """The change is not based on the newest generation: another change was made first.

    Attributes:
        newest: The newest change, None if there is none.
        base: Newest generation that the author had seen.
    """

    newest: Change | None
    base: int

    def __str__(self) -> str:
        newest = self.newest
        found = f"generation {newest.generation} by {newest.author}" if newest else "nothing yet"
        return f"the newest is {found}, not {self.base}"
