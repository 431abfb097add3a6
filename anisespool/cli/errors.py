"""Exit statuses of commands, and the error that ends a command with one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of a command. Scripts test these numbers."""

    SUCCESS = 0
    FAILED = 1  # nothing was done, or the outcome is not the requested one
    USAGE_ERROR = 2  # an argument or file is invalid; nothing was attempted
    PARTIAL = 3  # done where possible; the output names the rest
    AGENT_UNAVAILABLE = 4


@dataclass(eq=False)
class CommandError(Exception):
    """Ends the command with one line on standard error.

    Attributes:
        status: Exit status of the process, by the cause: the arguments, the agent or the outcome.
        text: Line to print.
    """

    status: ExitStatus
    text: str

    def __str__(self) -> str:
        return self.text
