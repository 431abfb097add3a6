"""The agent's database file: SQLite in WAL mode with synchronous FULL, so that a commit survives any crash.

A file that is damaged, of another program or of a newer version is rejected before anything is written to it.
"""

from __future__ import annotations

import sqlite3
from pathlib import Path

from anisespool.agent.store.errors import UnusableStoreError

APPLICATION_ID = int.from_bytes(b"anis")  # PRAGMA application_id of the agent's files
QUICK_CHECK_PASSED = "ok"  # result of PRAGMA quick_check
MIGRATIONS = (
    # Version 1: changes, and their delivery to each instance with its outcome.
    """
    CREATE TABLE changes (
        generation INTEGER PRIMARY KEY, base INTEGER NOT NULL, digest TEXT NOT NULL, content TEXT NOT NULL,
        state TEXT NOT NULL, reason TEXT NOT NULL DEFAULT '', author TEXT NOT NULL, note TEXT NOT NULL,
        created_ms INTEGER NOT NULL, wave INTEGER NOT NULL, first_wave INTEGER NOT NULL,
        most_refused INTEGER NOT NULL, most_unreachable INTEGER NOT NULL, force INTEGER NOT NULL,
        settle_ms INTEGER NOT NULL);
    CREATE TABLE targets (
        generation INTEGER NOT NULL, name TEXT NOT NULL, boot TEXT NOT NULL, state TEXT NOT NULL,
        detail TEXT NOT NULL DEFAULT '', at_ms INTEGER NOT NULL,
        PRIMARY KEY (generation, name)) WITHOUT ROWID;
    """,
    # Version 2: drains of endpoints on every instance.
    """
    CREATE TABLE drains (
        endpoint TEXT PRIMARY KEY, author TEXT NOT NULL, at_ms INTEGER NOT NULL) WITHOUT ROWID;
    CREATE TABLE marks (name TEXT PRIMARY KEY, value INTEGER NOT NULL) WITHOUT ROWID;
    INSERT INTO marks VALUES ('drains_revision', 0);
    """,
)
SCHEMA_VERSION = len(MIGRATIONS)
RECOVERY_HINT = "it was left as it is: move it away, or restore a copy"


def open_store(path: Path) -> sqlite3.Connection:
    """Open the database, and create or migrate it if necessary.

    Raises:
        UnusableStoreError: the file is not the agent's, is of a newer version, or is damaged.
    """
    if path.exists() and path.stat().st_size:
        _verify(path)
    try:
        db = sqlite3.connect(path, isolation_level=None, check_same_thread=False)
        path.chmod(0o600)
        db.execute("PRAGMA journal_mode=WAL")
        db.execute("PRAGMA synchronous=FULL")
        db.execute("PRAGMA busy_timeout=2000")
        _migrate(db)
    except sqlite3.Error as error:
        raise UnusableStoreError(path, str(error)) from None
    return db


def _verify(path: Path) -> None:
    """Check a file before anything is written to it: it may be the only copy of a newer agent's state."""
    try:
        db = sqlite3.connect(f"file:{path}?mode=ro", uri=True)
        try:
            application_id = db.execute("PRAGMA application_id").fetchone()[0]
            version = db.execute("PRAGMA user_version").fetchone()[0]
            check_result = db.execute("PRAGMA quick_check(1)").fetchone()[0]
        finally:
            db.close()
    except sqlite3.Error as error:
        raise UnusableStoreError(path, f"damaged ({error}); {RECOVERY_HINT}") from None
    if application_id != APPLICATION_ID:
        raise UnusableStoreError(path, f"not a database of this agent; {RECOVERY_HINT}")
    if version > SCHEMA_VERSION:
        reason = f"version {version}, this agent supports {SCHEMA_VERSION}; run the newer agent"
        raise UnusableStoreError(path, reason)
    if check_result != QUICK_CHECK_PASSED:
        raise UnusableStoreError(path, f"damaged ({check_result}); {RECOVERY_HINT}")


def _migrate(db: sqlite3.Connection) -> None:
    """Run the missing migrations.

    Each shares a transaction with the update of the version number, so that a crash can't separate the two.
    """
    version = db.execute("PRAGMA user_version").fetchone()[0]
    for number in range(version, SCHEMA_VERSION):
        db.executescript(
            f"BEGIN IMMEDIATE; {MIGRATIONS[number]} PRAGMA application_id={APPLICATION_ID}; "
            f"PRAGMA user_version={number + 1}; COMMIT;"
        )
