"""Access to the table `drains`: endpoints drained on every instance, with a revision in the table `marks`.

Each function takes a connection in a transaction; `StoreWriter` calls them.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable

from anisespool.agent.desired_state import DrainSet
from anisespool.agent.wall_clock import wall_ms

REVISION_MARK = "drains_revision"  # name of the revision's row in `marks`
ADOPTED_AUTHOR = "reported by an instance"


def load_drains(db: sqlite3.Connection) -> DrainSet:
    """Return the current set of drained endpoints."""
    (revision,) = db.execute("SELECT value FROM marks WHERE name = ?", (REVISION_MARK,)).fetchone()
    rows = db.execute("SELECT endpoint FROM drains ORDER BY endpoint")
    return DrainSet(revision, tuple(endpoint for (endpoint,) in rows))


def adopt_drains(db: sqlite3.Connection, reported: DrainSet) -> DrainSet:
    """Replace the set by one that instances report at a higher revision, and return the resulting set.

    The store is older than what the instances were sent if it was lost, or restored from a backup.
    """
    if reported.revision > load_drains(db).revision:
        db.execute("DELETE FROM drains")
        rows = [(endpoint, ADOPTED_AUTHOR, wall_ms()) for endpoint in reported.endpoints]
        db.executemany("INSERT INTO drains (endpoint, author, at_ms) VALUES (?, ?, ?)", rows)
        db.execute("UPDATE marks SET value = ? WHERE name = ?", (reported.revision, REVISION_MARK))
    return load_drains(db)


def update_drains(
    db: sqlite3.Connection, drain: Iterable[str], undrain: Iterable[str], author: str, highest_observed: int
) -> DrainSet:
    """Add endpoints to the set of drained ones, remove others, and return the new set with its revision.

    Args:
        author: Operator who requested the update.
        highest_observed: Highest revision that any instance reports; the new one is higher.
    """
    now_ms = wall_ms()
    revision = max(load_drains(db).revision, highest_observed) + 1
    additions = [(endpoint, author, now_ms) for endpoint in drain]
    db.executemany("INSERT OR IGNORE INTO drains (endpoint, author, at_ms) VALUES (?, ?, ?)", additions)
    db.executemany("DELETE FROM drains WHERE endpoint = ?", [(endpoint,) for endpoint in undrain])
    db.execute("UPDATE marks SET value = ? WHERE name = ?", (revision, REVISION_MARK))
    return load_drains(db)
