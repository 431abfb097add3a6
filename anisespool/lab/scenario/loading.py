"""Reads scenario files and the files that they include, and encodes scenarios.

`include = ["a", "b"]` merges files of the same folder. Later ones take precedence over earlier ones, and the
including file over all. Tables are merged key by key, the lists `bursts`, `troubles`, `links` and
`statements` are concatenated, and other lists are replaced.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from anisespool.lab.scenario.base import ScenarioError
from anisespool.lab.scenario.schema import Scenario
from anisespool.lab.scenario.validation import validate

LIBRARY = Path(__file__).parent.parent / "scenarios"
MAX_INCLUDES = 8
CONCATENATED_LISTS = ("bursts", "troubles", "links", "statements")


def load(name: str | Path) -> Scenario:
    """Loads a scenario from a file by its path, or from the library by a name without suffix.

    Raises:
        ScenarioError: The file does not exist, or the scenario is wrong.
    """
    path = Path(name)
    if not path.suffix:
        path = LIBRARY / f"{name}.toml"
    return from_raw(_read(path, 0), str(path))


def library() -> list[str]:
    """Names of the library's scenarios, without the files (`_*`) that only others include."""
    return sorted(path.stem for path in LIBRARY.glob("*.toml") if not path.stem.startswith("_"))


def from_raw(raw: dict[str, Any], source: str) -> Scenario:
    """Checks a parsed scenario.

    Raises:
        ScenarioError: The scenario is wrong. The text begins with `source`.
    """
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        text, _, key_path = str(error).partition(" - at `$")
        key = key_path.rstrip("`").lstrip(".") or "the file"
        raise ScenarioError(f"{source}: {key}: {text}") from None
    validate(scenario, source)
    return scenario


def encode(scenario: Scenario) -> bytes:
    """Encodes a scenario as canonical JSON."""
    return msgspec.json.encode(scenario, order="sorted")


def decode(data: bytes) -> Scenario:
    """Decodes a scenario that `encode` encoded."""
    return msgspec.json.decode(data, type=Scenario)


def _read(path: Path, depth: int) -> dict[str, Any]:
    """Parses a file, and merges the files it includes."""
    if depth > MAX_INCLUDES:
        raise ScenarioError(f"{path}: include: found more than {MAX_INCLUDES} deep, wanted less")
    try:
        raw = tomllib.loads(path.read_text())
    except OSError as error:
        known = ", ".join(library())
        raise ScenarioError(f"{path}: {error.strerror}; the library has {known}") from None
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ScenarioError(f"{path}: {error}") from None
    names = raw.pop("include", [])
    if not isinstance(names, list) or not all(isinstance(name, str) for name in names):
        raise ScenarioError(f"{path}: include: found {names!r}, wanted a list of names")
    merged: dict[str, Any] = {}
    for name in names:
        merged = _merge(merged, _read(path.parent / f"{name}.toml", depth + 1))
    return _merge(merged, raw)


def _merge(base: dict[str, Any], override: dict[str, Any]) -> dict[str, Any]:
    merged = dict(base)
    for key, value in override.items():
        if key in CONCATENATED_LISTS and isinstance(value, list):
            merged[key] = [*merged.get(key, []), *value]
        elif isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merged[key] | value
        else:
            merged[key] = value
    return merged
