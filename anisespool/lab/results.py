"""Stores the results of experiments in SQLite, so that an interrupted sweep resumes where it stopped."""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

SCHEMA = """
CREATE TABLE IF NOT EXISTS runs (
    key TEXT PRIMARY KEY, case_name TEXT NOT NULL, policy TEXT NOT NULL, seed INTEGER NOT NULL,
    broken TEXT NOT NULL, figures TEXT NOT NULL) WITHOUT ROWID;
"""
SELECT = "SELECT key, case_name, policy, seed, broken, figures FROM runs"
INSERT = "INSERT OR REPLACE INTO runs VALUES (?, ?, ?, ?, ?, ?)"


class Result(NamedTuple):
    """The result of one run.

    Attributes:
        key: Digest of the run's scenario, policy, seed and code.
        case: Name of the scenario or its variant.
        broken: The rule that was broken; empty if none was.
        figures: The figures that `RunMetrics.figures` returned.
    """

    key: str
    case: str
    policy: str
    seed: int
    broken: str
    figures: dict[str, Any]


class ResultStore:
    """Results by the key of their run, in a file or, without a path, in memory."""

    def __init__(self, path: Path | None = None) -> None:
        self._db = sqlite3.connect(path or ":memory:")
        self._db.execute("PRAGMA journal_mode=WAL")
        self._db.executescript(SCHEMA)

    def find(self, keys: Iterable[str]) -> dict[str, Result]:
        """Return the stored results that have one of `keys`, by key."""
        wanted = set(keys)
        return {row[0]: _from_row(row) for row in self._db.execute(SELECT) if row[0] in wanted}

    def store(self, result: Result) -> None:
        """Store a result and commit it."""
        row = (*result[:5], json.dumps(result.figures))
        self._db.execute(INSERT, row)
        self._db.commit()

    def close(self) -> None:
        """Close the database."""
        self._db.close()


def _from_row(row: tuple[str, str, str, int, str, str]) -> Result:
    key, case, policy, seed, broken, figures = row
    return Result(key, case, policy, seed, broken, json.loads(figures))
