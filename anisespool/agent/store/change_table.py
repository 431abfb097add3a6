"""Access to the table `changes`: each generation of the desired configuration, with its rollout.

Each function takes a connection in a transaction; `StoreWriter` calls them. `ChangeRow` has a field for each
column. `COLUMN_NAMES` maps the fields whose column has a different name to that name.
"""

from __future__ import annotations

import sqlite3
from typing import NamedTuple

from anisespool.agent.desired_state import Change, ChangeDraft
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutState
from anisespool.agent.store import delivery_table
from anisespool.agent.store.errors import GenerationConflictError
from anisespool.agent.wall_clock import wall_ms

MAX_CHANGE_RECORDS = 1000  # older changes are deleted together with their deliveries
ANY_BASE = -1  # base generation that accepts any newest change


class ChangeRow(NamedTuple):
    """A row of `changes`, in the order in which its columns are selected."""

    generation: int
    base: int
    digest: str
    content: str
    state: str
    reason: str
    author: str
    note: str
    created_ms: int
    wave_size: int
    first_wave_size: int
    max_rejected: int
    max_unreachable: int
    force: int
    settle_ms: int


COLUMN_NAMES = {
    "wave_size": "wave",
    "first_wave_size": "first_wave",
    "max_rejected": "most_refused",
    "max_unreachable": "most_unreachable",
}
_COLUMNS = ", ".join(COLUMN_NAMES.get(field, field) for field in ChangeRow._fields)
_PLACEHOLDERS = ", ".join("?" for _ in ChangeRow._fields)
_SELECT = f"SELECT {_COLUMNS} FROM changes"
_INSERT = f"INSERT INTO changes ({_COLUMNS}) VALUES ({_PLACEHOLDERS})"


def newest_change(db: sqlite3.Connection) -> Change | None:
    """Return the change with the highest generation; None if the table is empty."""
    return _first_change(db, "TRUE")


def find_change(db: sqlite3.Connection, generation: int) -> Change | None:
    """Return the change with this generation; None if there is none."""
    return _first_change(db, "generation = ?", generation)


def last_settled_before(db: sqlite3.Connection, generation: int) -> Change | None:
    """Return the newest settled change before `generation`; None if there is none."""
    return _first_change(db, "generation < ? AND state = ?", generation, RolloutState.SETTLED.value)


def recent_changes(db: sqlite3.Connection, limit: int) -> list[Change]:
    """Return at most `limit` changes, the newest first."""
    rows = db.execute(f"{_SELECT} ORDER BY generation DESC LIMIT ?", (limit,))
    return [_from_row(ChangeRow._make(row)) for row in rows]


def insert_change(db: sqlite3.Connection, draft: ChangeDraft, base: int, highest_observed: int) -> Change:
    """Make `draft` the newest change, and return it. A running or paused rollout is superseded.

    Args:
        base: Newest generation that the author has seen, or ANY_BASE.
        highest_observed: Highest generation that any instance reports; the new one is higher.

    Raises:
        GenerationConflictError: `base` is not the newest generation.
    """
    newest = newest_change(db)
    current = newest.generation if newest else 0
    if base not in (ANY_BASE, current):
        raise GenerationConflictError(newest, base)
    change = _new_change(draft, generation=max(current, highest_observed) + 1, base=current)
    _write_newest(db, change)
    return change


def update_state(
    db: sqlite3.Connection, generation: int, expected: RolloutState, state: RolloutState, reason: str
) -> bool:
    """Move a change from state `expected` to `state`. Return False if its state is not `expected`."""
    cursor = db.execute(
        "UPDATE changes SET state = ?, reason = ? WHERE generation = ? AND state = ?",
        (state.value, reason, generation, expected.value),
    )
    return cursor.rowcount == 1


def _new_change(draft: ChangeDraft, generation: int, base: int) -> Change:
    return Change(
        generation=generation,
        base=base,
        digest=draft.digest,
        content=draft.content,
        state=RolloutState.RUNNING,
        reason="",
        author=draft.author,
        note=draft.note,
        created_ms=wall_ms(),
        policy=draft.policy,
        settle_ms=draft.settle_ms,
    )


def _write_newest(db: sqlite3.Connection, change: Change) -> None:
    """Insert the newest change, mark a running or paused one as superseded, and delete expired changes."""
    db.execute(
        "UPDATE changes SET state = ? WHERE state IN (?, ?)",
        (RolloutState.SUPERSEDED.value, RolloutState.RUNNING.value, RolloutState.PAUSED.value),
    )
    db.execute(_INSERT, _to_row(change))
    last_expired = change.generation - MAX_CHANGE_RECORDS
    db.execute("DELETE FROM changes WHERE generation <= ?", (last_expired,))
    delivery_table.delete_up_to(db, last_expired)


def _first_change(db: sqlite3.Connection, condition: str, *values: int | str) -> Change | None:
    """Return the newest change that meets an SQL condition; None if there is none."""
    row = db.execute(f"{_SELECT} WHERE {condition} ORDER BY generation DESC LIMIT 1", values).fetchone()
    return _from_row(ChangeRow._make(row)) if row else None


def _to_row(change: Change) -> ChangeRow:
    return ChangeRow(
        generation=change.generation,
        base=change.base,
        digest=change.digest,
        content=change.content,
        state=change.state.value,
        reason=change.reason,
        author=change.author,
        note=change.note,
        created_ms=change.created_ms,
        wave_size=change.policy.wave_size,
        first_wave_size=change.policy.first_wave_size,
        max_rejected=change.policy.max_rejected,
        max_unreachable=change.policy.max_unreachable,
        force=change.policy.force,
        settle_ms=change.settle_ms,
    )


def _from_row(row: ChangeRow) -> Change:
    return Change(
        generation=row.generation,
        base=row.base,
        digest=row.digest,
        content=row.content,
        state=RolloutState(row.state),
        reason=row.reason,
        author=row.author,
        note=row.note,
        created_ms=row.created_ms,
        policy=RolloutPolicy(
            wave_size=row.wave_size,
            first_wave_size=row.first_wave_size,
            max_rejected=row.max_rejected,
            max_unreachable=row.max_unreachable,
            force=bool(row.force),
        ),
        settle_ms=row.settle_ms,
    )
