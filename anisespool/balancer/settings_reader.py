"""Typed access to the platform's settings in JSON."""

from math import isfinite
from typing import Any


class SettingsError(ValueError):
    """A setting is missing or has a wrong type or value; the text names it."""


class ObjectReader:
    """Reads a JSON object; each error names the key with its path."""

    def __init__(self, raw: Any, path: str) -> None:
        if not isinstance(raw, dict):
            raise SettingsError(f"setting {path or '(root)'}: expected an object")
        self._raw = raw
        self._path = path

    def _get(self, key: str, kinds: tuple[type, ...], default: Any) -> Any:
        value = self._raw.get(key)
        if value is None:
            if default is None:
                raise SettingsError(f"setting {self._path}{key}: missing")
            return default
        if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
            raise SettingsError(f"setting {self._path}{key}: wrong type {type(value).__name__}")
        if isinstance(value, float) and not isfinite(value):
            raise SettingsError(f"setting {self._path}{key}: not finite")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        """Return an integer; a float is truncated."""
        return int(self._get(key, (int, float), default))

    def positive(self, key: str) -> int:
        """Return an integer above 0."""
        value = self.integer(key)
        if value <= 0:
            raise SettingsError(f"setting {self._path}{key}: {value} is not above 0")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a finite number."""
        return float(self._get(key, (int, float), default))

    def text(self, key: str, default: str | None = None) -> str:
        """Return a string."""
        return str(self._get(key, (str,), default))

    def flag(self, key: str) -> bool:
        """Return a boolean; False if missing."""
        return bool(self._get(key, (bool,), False))

    def items(self, key: str, required: bool = False) -> list[Any]:
        """Return a list; an optional one that is missing is empty."""
        return list(self._get(key, (list,), None if required else []))

    def child(self, key: str, required: bool = True) -> "ObjectReader":
        """Return a reader of a nested object; an optional one that is missing is empty."""
        return ObjectReader(self._get(key, (dict,), None if required else {}), f"{self._path}{key}.")

    def children(self, key: str, required: bool = True) -> list["ObjectReader"]:
        """Return readers of the objects in a list."""
        values = self.items(key, required)
        return [ObjectReader(value, f"{self._path}{key}[{n}].") for n, value in enumerate(values)]
