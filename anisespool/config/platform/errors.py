"""Errors in a configuration: base of the operator's too, and those that are the platform's fault."""

from __future__ import annotations


class ConfigError(ValueError):
    """A configuration that can't be used; the text is one line that names the variable or key."""


class PlatformConfigError(ConfigError):
    """The platform's fault: an environment variable, or a key of its file, is missing or wrong.

    Attributes:
        variable: The environment variable.
        problem: What is wrong.
        key: The file's key; None: the variable itself, or the file as a whole.
    """

    def __init__(self, variable: str, problem: object, key: str | None = None) -> None:
        place = variable if key is None else f"{variable}: key {key}"
        super().__init__(f"{place}: {problem}")
        self.variable = variable
        self.problem = str(problem)
        self.key = key
