"""Access to the table `targets`: the delivery of each change to each instance, and its outcome.

Each function takes a connection in a transaction; `StoreWriter` calls them.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from typing import NamedTuple

from anisespool.agent.desired_state import Delivery, DeliveryState
from anisespool.agent.wall_clock import wall_ms

MAX_DETAIL_CHARACTERS = 500


class DeliveryRow(NamedTuple):
    """A row of `targets`. The fields are the columns, in the order of the table."""

    generation: int
    name: str
    boot: str
    state: str
    detail: str
    at_ms: int


_COLUMNS = ", ".join(DeliveryRow._fields)
_PLACEHOLDERS = ", ".join("?" for _ in DeliveryRow._fields)


def record_deliveries(db: sqlite3.Connection, generation: int, deliveries: Iterable[Delivery]) -> None:
    """Write deliveries of a change. They replace earlier ones to the same instances."""
    now_ms = wall_ms()
    rows = [_to_row(generation, delivery, now_ms) for delivery in deliveries]
    db.executemany(f"INSERT OR REPLACE INTO targets ({_COLUMNS}) VALUES ({_PLACEHOLDERS})", rows)


def load_deliveries(db: sqlite3.Connection, generation: int) -> dict[str, Delivery]:
    """Return the deliveries of a change, by instance name."""
    rows = db.execute(f"SELECT {_COLUMNS} FROM targets WHERE generation = ?", (generation,))
    deliveries = [_from_row(DeliveryRow._make(row)) for row in rows]
    return {delivery.instance: delivery for delivery in deliveries}


def clear_rejections(db: sqlite3.Connection, generation: int) -> None:
    """Delete the rejections of a change, so that it is sent to those instances again."""
    rejected = (generation, DeliveryState.REJECTED.value)
    db.execute("DELETE FROM targets WHERE generation = ? AND state = ?", rejected)


def delete_up_to(db: sqlite3.Connection, generation: int) -> None:
    """Delete the deliveries of `generation` and of all earlier generations."""
    db.execute("DELETE FROM targets WHERE generation <= ?", (generation,))


def _to_row(generation: int, delivery: Delivery, now_ms: int) -> DeliveryRow:
    return DeliveryRow(
        generation=generation,
        name=delivery.instance,
        boot=delivery.boot,
        state=delivery.state.value,
        detail=delivery.detail[:MAX_DETAIL_CHARACTERS],
        at_ms=now_ms,
    )


def _from_row(row: DeliveryRow) -> Delivery:
    return Delivery(row.name, row.boot, DeliveryState(row.state), row.detail)
