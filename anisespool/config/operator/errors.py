"""Errors in the operator's configuration, and the conversion of msgspec's errors to them.

Each message is one line with the source (a file or document), the key, what was found and what was wanted.
"""

from __future__ import annotations

import re
from collections.abc import Collection
from typing import Any, ClassVar

import msgspec

from anisespool.config.operator.tables import Tables
from anisespool.config.platform import ConfigError

MAX_VALUE_CHARACTERS = 60
MAX_CLASS_ERROR_CHARACTERS = 400


class OperatorSyntaxError(ConfigError):
    """The file can't be read or is not valid TOML."""

    def __init__(self, source: str, problem: object) -> None:
        super().__init__(f"{source}: {problem}")
        self.source = source
        self.problem = str(problem)


class OperatorConfigError(ConfigError):
    """A key is unknown, missing or has an invalid value.

    Attributes:
        source: Path of the file or name of the document.
        key: The key with its sections as in the file. None if the document as a whole is invalid.
        found: Value or problem found there.
        wanted: Description of valid values.
    """

    def __init__(self, source: str, key: str | None, found: str, wanted: str) -> None:
        place = source if key is None else f"{source}: {key}"
        super().__init__(f"{place}: found {found}, wanted {wanted}")
        self.source = source
        self.key = key
        self.found = found
        self.wanted = wanted


class UnknownClassError(OperatorConfigError):
    """The file names a request class that the platform does not define.

    The message lists all classes, so it is cut to MAX_CLASS_ERROR_CHARACTERS.
    """

    def __init__(self, source: str, name: str, classes: Collection[str]) -> None:
        wanted = f"one of {', '.join(classes)}"
        super().__init__(source, f"sampling.classes.{name}", "no such class", wanted)
        self.name = name

    def __str__(self) -> str:
        return super().__str__()[:MAX_CLASS_ERROR_CHARACTERS]


class UnknownTenantError(OperatorConfigError):
    """The file names a tenant that the platform does not define; the message lists a few that it does."""

    MAX_NAMED_TENANTS: ClassVar[int] = 8

    def __init__(self, source: str, name: str, tenants: Collection[str]) -> None:
        named = ", ".join(sorted(tenants)[: self.MAX_NAMED_TENANTS]) or "none"
        super().__init__(source, f"members.{name}", "no such member", f"one of {named}")
        self.name = name


def from_validation_error(error: msgspec.ValidationError, tables: Tables, source: str) -> OperatorConfigError:
    """Convert an error of msgspec to one that also shows the value found.

    Args:
        error: An error whose message ends with the place, such as "... - at `$.endpoints.drained[0]`".
        tables: The tables that msgspec could not convert.
        source: Path of the file or name of the document.
    """
    text, _, place = str(error).partition(" - at `$")
    key = place.rstrip("`").lstrip(".")
    unknown = re.search(r"unknown field `(.*)`", text)
    if unknown:
        name = f"{key}.{unknown[1]}".lstrip(".")
        return OperatorConfigError(source, name, "a key that nothing reads", "none")
    missing = re.search(r"required field `(.*)`", text)
    if missing:
        return OperatorConfigError(source, f"{key}.{missing[1]}", "nothing", "a value")
    wanted = text.removeprefix("Expected ").split(", got ")[0].replace("`", "")
    return OperatorConfigError(source, key, abbreviated(_value_at(tables, key)), wanted)


def abbreviated(value: object) -> str:
    """Return the representation of a value, cut to MAX_VALUE_CHARACTERS."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 3] + "..."


def _value_at(tables: Any, key: str) -> Any:
    """Return the value at a place such as `endpoints.drained[0]`; `[...]` stands for any entry of a table."""
    value = tables
    for part in re.findall(r"[^.\[\]]+|\[\d+\]|\[\.\.\.\]", key):
        if part == "[...]":
            return list(value.values())[:1] if isinstance(value, dict) else value
        try:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
        except (KeyError, IndexError, TypeError):
            return None
    return value
