"""How a command ends: the exit status that scripts test, and the error that carries one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class ExitStatus(IntEnum):
    """Exit status of the command, as scripts test it."""

    SUCCESS = 0
    FAILED = 1  # nothing was done, or not what was requested
    USAGE_ERROR = 2  # an invalid argument or file; nothing was attempted
    PARTIAL = 3  # done where possible; the output names the rest
    AGENT_UNAVAILABLE = 4


@dataclass(eq=False)
class CommandError(Exception):
    """Ends the command with one line on standard error.

    Attributes:
        status: Exit status of the process, by whose fault it is: the arguments', the agent's, the outcome's.
        text: The line.
    """

    status: ExitStatus
    text: str

    def __str__(self) -> str:
        return self.text
