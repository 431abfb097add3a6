"""Errors in the operator's configuration, which are the operator's fault, and msgspec's converted to them.

Each is one line that names the source (a file, or a document), the key, what was found and what was wanted.
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
    """The file can't be read, or is no TOML.

    Attributes:
        source: The file's path.
        problem: What is wrong with it.
    """

    def __init__(self, source: str, problem: object) -> None:
        super().__init__(f"{source}: {problem}")
        self.source = source
        self.problem = str(problem)


class OperatorConfigError(ConfigError):
    """One key is unknown, missing or has a wrong value.

    Attributes:
        source: The file's path, or the document's name.
        key: The key with its sections, as in the file; None: the document as a whole.
        found: What the document has there.
        wanted: What it may have there.
    """

    def __init__(self, source: str, key: str | None, found: str, wanted: str) -> None:
        place = source if key is None else f"{source}: {key}"
        super().__init__(f"{place}: found {found}, wanted {wanted}")
        self.source = source
        self.key = key
        self.found = found
        self.wanted = wanted


class UnknownClassError(OperatorConfigError):
    """A request class of the file is none of the platform's; the text is cut, as it lists all classes.

    Attributes:
        name: The unknown class.
    """

    def __init__(self, source: str, name: str, classes: Collection[str]) -> None:
        wanted = f"one of {', '.join(classes)}"
        super().__init__(source, f"sampling.classes.{name}", "no such class", wanted)
        self.name = name

    def __str__(self) -> str:
        return super().__str__()[:MAX_CLASS_ERROR_CHARACTERS]


class UnknownTenantError(OperatorConfigError):
    """A tenant of the file is none of the platform's; the text names a few of those.

    Attributes:
        name: The unknown tenant.
    """

    MAX_NAMED_TENANTS: ClassVar[int] = 8

    def __init__(self, source: str, name: str, tenants: Collection[str]) -> None:
        named = ", ".join(sorted(tenants)[: self.MAX_NAMED_TENANTS]) or "none"
        super().__init__(source, f"members.{name}", "no such member", f"one of {named}")
        self.name = name


def from_validation_error(error: msgspec.ValidationError, tables: Tables, source: str) -> OperatorConfigError:
    """Return msgspec's error as one that also shows the value found.

    Args:
        error: Its text ends with the place: "... - at `$.endpoints.drained[0]`".
        tables: What was converted.
        source: The file's path, or the document's name.
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
    """Return a value's representation, cut to MAX_VALUE_CHARACTERS."""
    text = repr(value)
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 3] + "..."


def _value_at(tables: Any, key: str) -> Any:
    """Return the value at a place like `endpoints.drained[0]`; `[...]` is any entry of a table."""
    value = tables
    for part in re.findall(r"[^.\[\]]+|\[\d+\]|\[\.\.\.\]", key):
        if part == "[...]":
            return list(value.values())[:1] if isinstance(value, dict) else value
        try:
            value = value[int(part[1:-1])] if part.startswith("[") else value[part]
        except (KeyError, IndexError, TypeError):
            return None
    return value
