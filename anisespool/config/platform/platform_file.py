"""The JSON file that LB_CONFIG names: typed access to its keys."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any, TypeVar

from anisespool.config.platform.errors import PlatformConfigError

FILE_VARIABLE = "LB_CONFIG"
JsonObject = dict[str, Any]
ValueT = TypeVar("ValueT")


class PlatformFile:
    """One object of the file, the outermost or a section of it.

    Every error is a PlatformConfigError that names the key.

    Attributes:
        raw: The object as parsed.
    """

    def __init__(self, raw: object) -> None:
        """Wrap a JSON value.

        Raises:
            ValueError: It is no object.
        """
        if not isinstance(raw, dict):
            raise ValueError("an object is needed")
        self.raw: JsonObject = raw

    @classmethod
    def read(cls, path: str) -> PlatformFile:
        """Read the file.

        Raises:
            PlatformConfigError: It can't be read, or is no JSON object.
        """
        try:
            with open(path, "rb") as file:
                return cls(json.load(file))
        except (OSError, ValueError, RecursionError) as error:
            raise PlatformConfigError(FILE_VARIABLE, error) from None

    def convert(self, key: str, converter: Callable[[Any], ValueT]) -> ValueT:
        """Return the value of a key, converted; a missing key is None to `converter`.

        Raises:
            PlatformConfigError: `converter` raised ValueError or TypeError.
        """
        try:
            return converter(self.raw.get(key))
        except (ValueError, TypeError) as error:
            raise PlatformConfigError(FILE_VARIABLE, error, key) from None

    def positive_number(self, section: str, key: str, default: int) -> int:
        """Return a number above 0 from a section.

        Args:
            section: The section's key.
            key: The key in it.
            default: What holds without section or key.

        Raises:
            PlatformConfigError: The value is no number, or below 1.
        """
        value = (self.raw.get(section) or {}).get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
            raise PlatformConfigError(FILE_VARIABLE, f"{value!r} is no number above 0", f"{section}.{key}")
        return int(value)

    def indexes_by_name(self, key: str, name_of: Callable[[Any], str]) -> dict[str, int]:
        """Return the position of each name in a list of the settings; a missing list is empty.

        Args:
            key: The list's key.
            name_of: Returns the name of an entry. Raises KeyError, TypeError.

        Raises:
            PlatformConfigError: It is no list, or an entry has no name.
        """
        try:
            return {name_of(entry): index for index, entry in enumerate(self.raw.get(key) or [])}
        except (KeyError, TypeError):
            raise PlatformConfigError(FILE_VARIABLE, "names are needed", f"settings.{key}") from None
