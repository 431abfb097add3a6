"""Typed access to the keys of the JSON file that LB_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from anisespool.config.platform.errors import PlatformConfigError

FILE_VARIABLE = "LB_CONFIG"
JsonObject = dict[str, Any]
ValueT = TypeVar("ValueT")


class PlatformFile:
    """The file's top-level JSON object or one of its sections.

    Access to a key raises a PlatformConfigError that names the key if its value is invalid.
    """

    def __init__(self, raw: object) -> None:
        """Wrap a JSON value.

        Raises:
            ValueError: The value is not an object.
        """
        if not isinstance(raw, dict):
            raise ValueError("expected a JSON object")
        self.raw: JsonObject = raw

    @classmethod
    def read(cls, path: str) -> PlatformFile:
        """Read the file.

        Raises:
            PlatformConfigError: The file can't be read or is not a JSON object.
        """
        try:
            with open(path, "rb") as file:
                return cls(json.load(file))
        except (OSError, ValueError, RecursionError) as error:
            raise PlatformConfigError(FILE_VARIABLE, error) from None

    def convert(self, key: str, converter: Callable[[Any], ValueT]) -> ValueT:
        """Return the converted value of a key; `converter` gets None if the key is missing.

        Raises:
            PlatformConfigError: `converter` raised ValueError or TypeError.
        """
        try:
            return converter(self.raw.get(key))
        except (ValueError, TypeError) as error:
            raise PlatformConfigError(FILE_VARIABLE, error, key) from None

    def positive_number(self, section: str, key: str, default: int) -> int:
        """Return a number from a section, rounded down to an integer.

        Args:
            section: Key of the section.
            key: Key in the section.
            default: Value if the section or the key is missing.

        Raises:
            PlatformConfigError: The value is not a number or is below 1.
        """
        value = (self.raw.get(section) or {}).get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
            raise PlatformConfigError(FILE_VARIABLE, f"{value!r} is not a number >= 1", f"{section}.{key}")
        return int(value)

    def indexes_by_name(self, key: str, name_of: Callable[[Any], str]) -> dict[str, int]:
        """Return the index of each name in a list of the settings. A missing or falsy value counts as empty.

        The value may be of any iterable type: a string is read as a list of its characters.

        Args:
            key: Key of the list.
            name_of: Returns the name of an entry; raises KeyError or TypeError if it has none.

        Raises:
            PlatformConfigError: The value is not iterable, or an entry has no name that can be a key.
        """
        try:
            return {name_of(entry): index for index, entry in enumerate(self.raw.get(key) or [])}
        except (KeyError, TypeError):
            raise PlatformConfigError(
                FILE_VARIABLE, "expected a list of named entries", f"settings.{key}"
            ) from None
