"""Reads and writes of the agent's store. Each function takes a connection; `StoreWriter` runs them.

Column names are those of `schema.MIGRATIONS`; `_change_from_row` and `_row_from_change` map them to fields.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

from anisespool.agent.rollout import RolloutPolicy, RolloutState
from anisespool.agent.schema import StoreError
from anisespool.config.clock import wall_ns

MAX_CHANGE_RECORDS = 1000  # older changes are deleted together with their deliveries
MAX_DETAIL_CHARACTERS = 500
ANY_BASE = -1  # as base generation: whichever is the newest


class GenerationConflictError(StoreError):
    """Another change came first: the newest generation is not the one that the author based the change on."""

    def __init__(self, newest: Change | None, base: int) -> None:
        found = f"generation {newest.generation} by {newest.author}" if newest else "nothing yet"
        super().__init__(f"the newest is {found}, not {base}")
        self.newest = newest
        self.base = base


@dataclass(frozen=True, slots=True)
class Change:
    """One generation of the desired configuration, with its rollout."""

    generation: int
    base: int  # the generation before it
    digest: str
    content: str  # canonical JSON of the document
    state: RolloutState
    reason: str  # why it is in that state; may be empty
    author: str
    note: str
    created_ms: int
    policy: RolloutPolicy
    settle_ms: int  # pause between two waves


@dataclass(frozen=True, slots=True)
class ChangeDraft:
    """A change before it has a generation."""

    content: str
    digest: str
    author: str
    note: str
    policy: RolloutPolicy
    settle_ms: int = 0


class DeliveryState(Enum):
    """How far the delivery of a change to an instance got. The values are stored as text."""

    SENT = "sent"
    CONFIRMED = "confirmed"
    REJECTED = "refused"


@dataclass(frozen=True, slots=True)
class Delivery:
    """A change sent to an instance, and its outcome."""

    instance: str
    boot: str  # the instance's start that it was sent to
    state: DeliveryState
    detail: str = ""  # why it was rejected


@dataclass(frozen=True, slots=True)
class DrainSet:
    """The endpoints that are drained on every instance."""

    revision: int
    endpoints: tuple[str, ...]


_CHANGE_COLUMNS = (
    "generation",
    "base",
    "digest",
    "content",
    "state",
    "reason",
    "author",
    "note",
    "created_ms",
    "wave",
    "first_wave",
    "most_refused",
    "most_unreachable",
    "force",
    "settle_ms",
)
_SELECT_CHANGE = f"SELECT {', '.join(_CHANGE_COLUMNS)} FROM changes"
_INSERT_CHANGE = (
    f"INSERT INTO changes ({', '.join(_CHANGE_COLUMNS)}) "
    f"VALUES ({', '.join(f':{column}' for column in _CHANGE_COLUMNS)})"
)


def newest_change(db: sqlite3.Connection) -> Change | None:
    """The change with the highest generation."""
    return _first_change(db, "TRUE")


def find_change(db: sqlite3.Connection, generation: int) -> Change | None:
    """The change with this generation."""
    return _first_change(db, "generation = ?", generation)


def last_settled_before(db: sqlite3.Connection, generation: int) -> Change | None:
    """The newest settled change before `generation`."""
    return _first_change(db, "generation < ? AND state = ?", generation, RolloutState.SETTLED.value)


def recent_changes(db: sqlite3.Connection, limit: int) -> list[Change]:
    """At most `limit` changes, the newest first."""
    rows = db.execute(f"{_SELECT_CHANGE} ORDER BY generation DESC LIMIT ?", (limit,))
    return [_change_from_row(row) for row in rows]


def insert_change(db: sqlite3.Connection, draft: ChangeDraft, base: int, highest_observed: int) -> Change:
    """Make `draft` the newest change; a rollout that is under way is superseded.

    Args:
        db: Connection in a transaction.
        draft: The change.
        base: Generation that the author read as the newest, or ANY_BASE.
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
        created_ms=_now_ms(),
        policy=draft.policy,
        settle_ms=draft.settle_ms,
    )


def _write_newest(db: sqlite3.Connection, change: Change) -> None:
    """Insert a new newest change. It supersedes a rollout that is under way; the oldest change expires."""
    db.execute(
        "UPDATE changes SET state = ? WHERE state IN (?, ?)",
        (RolloutState.SUPERSEDED.value, RolloutState.RUNNING.value, RolloutState.PAUSED.value),
    )
    db.execute(_INSERT_CHANGE, _row_from_change(change))
    expired = (change.generation - MAX_CHANGE_RECORDS,)
    db.execute("DELETE FROM changes WHERE generation <= ?", expired)
    db.execute("DELETE FROM targets WHERE generation <= ?", expired)


def update_state(
    db: sqlite3.Connection, generation: int, expected: RolloutState, state: RolloutState, reason: str
) -> bool:
    """Move a change from state `expected` to `state`. False if it is in another state by now."""
    cursor = db.execute(
        "UPDATE changes SET state = ?, reason = ? WHERE generation = ? AND state = ?",
        (state.value, reason, generation, expected.value),
    )
    return cursor.rowcount == 1


def record_deliveries(db: sqlite3.Connection, generation: int, deliveries: Iterable[Delivery]) -> None:
    """Write the deliveries of a change, in place of earlier ones to the same instances."""
    now_ms = _now_ms()
    rows = [
        (generation, one.instance, one.boot, one.state.value, one.detail[:MAX_DETAIL_CHARACTERS], now_ms)
        for one in deliveries
    ]
    db.executemany("INSERT OR REPLACE INTO targets VALUES (?, ?, ?, ?, ?, ?)", rows)


def load_deliveries(db: sqlite3.Connection, generation: int) -> dict[str, Delivery]:
    """The deliveries of a change, by instance."""
    rows = db.execute("SELECT name, boot, state, detail FROM targets WHERE generation = ?", (generation,))
    return {name: Delivery(name, boot, DeliveryState(state), detail) for name, boot, state, detail in rows}


def clear_rejections(db: sqlite3.Connection, generation: int) -> None:
    """Delete the rejections of a change, so that it is sent to those instances again."""
    rejected = (generation, DeliveryState.REJECTED.value)
    db.execute("DELETE FROM targets WHERE generation = ? AND state = ?", rejected)


def load_drains(db: sqlite3.Connection) -> DrainSet:
    """The current set of drained endpoints."""
    revision = db.execute("SELECT value FROM marks WHERE name = 'drains_revision'").fetchone()[0]
    rows = db.execute("SELECT endpoint FROM drains ORDER BY endpoint")
    return DrainSet(revision, tuple(row[0] for row in rows))


def update_drains(
    db: sqlite3.Connection, drain: Iterable[str], undrain: Iterable[str], author: str, highest_observed: int
) -> DrainSet:
    """Add endpoints to the set of drained ones and remove others, as a new revision.

    Args:
        db: Connection in a transaction.
        drain: Ids of endpoints to add.
        undrain: Ids of endpoints to remove.
        author: Operator who requested it.
        highest_observed: Highest revision that any instance reports; the new one is higher.
    """
    now_ms = _now_ms()
    revision = max(load_drains(db).revision, highest_observed) + 1
    additions = [(endpoint, author, now_ms) for endpoint in drain]
    db.executemany("INSERT OR IGNORE INTO drains VALUES (?, ?, ?)", additions)
    db.executemany("DELETE FROM drains WHERE endpoint = ?", [(endpoint,) for endpoint in undrain])
    db.execute("UPDATE marks SET value = ? WHERE name = 'drains_revision'", (revision,))
    return load_drains(db)


def _now_ms() -> int:
    return wall_ns() // 1_000_000


def _first_change(db: sqlite3.Connection, condition: str, *values: int | str) -> Change | None:
    """The newest change that fulfils an SQL condition."""
    query = f"{_SELECT_CHANGE} WHERE {condition} ORDER BY generation DESC LIMIT 1"
    row = db.execute(query, values).fetchone()
    return _change_from_row(row) if row else None


def _row_from_change(change: Change) -> dict[str, Any]:
    """Values by column name."""
    return {
        "generation": change.generation,
        "base": change.base,
        "digest": change.digest,
        "content": change.content,
        "state": change.state.value,
        "reason": change.reason,
        "author": change.author,
        "note": change.note,
        "created_ms": change.created_ms,
        "wave": change.policy.wave_size,
        "first_wave": change.policy.first_wave_size,
        "most_refused": change.policy.max_rejected,
        "most_unreachable": change.policy.max_unreachable,
        "force": change.policy.force,
        "settle_ms": change.settle_ms,
    }


def _change_from_row(row: tuple[Any, ...]) -> Change:
    """A row of `_SELECT_CHANGE`."""
    values = dict(zip(_CHANGE_COLUMNS, row, strict=True))
    return Change(
        generation=values["generation"],
        base=values["base"],
        digest=values["digest"],
        content=values["content"],
        state=RolloutState(values["state"]),
        reason=values["reason"],
        author=values["author"],
        note=values["note"],
        created_ms=values["created_ms"],
        policy=RolloutPolicy(
            wave_size=values["wave"],
            first_wave_size=values["first_wave"],
            max_rejected=values["most_refused"],
            max_unreachable=values["most_unreachable"],
            force=bool(values["force"]),
        ),
        settle_ms=values["settle_ms"],
    )
