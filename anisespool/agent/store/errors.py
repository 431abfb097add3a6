"""Errors of the store: of the database file, and of a change that another one preceded."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from anisespool.agent.desired_state import Change
from anisespool.agent.errors import AgentError


class StoreError(AgentError):
    """Base of the store's own errors."""


@dataclass(eq=False)
class UnusableStoreError(StoreError):
    """The database file can't be used. The text has the file, the reason and the remedy.

    Attributes:
        path: Of the database file.
        reason: What was found, and what to do.
    """

    path: Path
    reason: str

    def __str__(self) -> str:
        return f"{self.path}: {self.reason}"


@dataclass(eq=False)
class GenerationConflictError(StoreError):
    """The newest generation is not the one that the author based the change on: another change came first.

    Attributes:
        newest: The newest change, None if there is none.
        base: Generation that the author read as the newest.
    """

    newest: Change | None
    base: int

    def __str__(self) -> str:
        newest = self.newest
        found = f"generation {newest.generation} by {newest.author}" if newest else "nothing yet"
        return f"the newest is {found}, not {self.base}"
