"""The base class of configuration errors, and errors in the platform's configuration."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration can't be used; the message is one line that names the variable or key."""


class PlatformConfigError(ConfigError):
    """An environment variable or a key of the platform's file is missing or invalid.

    Attributes:
        variable: Name of the environment variable.
        problem: Description of the error.
        key: The key in the file. None if the variable itself or the file as a whole is invalid.
    """

    def __init__(self, variable: str, problem: object, key: str | None = None) -> None:
        place = variable if key is None else f"{variable}: key {key}"
        super().__init__(f"{place}: {problem}")
        self.variable = variable
        self.problem = str(problem)
        self.key = key
