"""The agent's store: migration, rejection of unusable files, full disks, and operations that fail."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable, Iterator
from contextlib import closing
from pathlib import Path

import pytest

from anisespool.agent.desired_state import ChangeDraft, Delivery, DeliveryState, DrainSet
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.state import RolloutState
from anisespool.agent.store import change_table, delivery_table, drain_table, schema
from anisespool.agent.store.errors import GenerationConflictError, StoreError, UnusableStoreError
from anisespool.agent.store.schema import open_store
from anisespool.agent.store.writer import StoreWriter

DRAFT = ChangeDraft("{}", "d", "me", "why", RolloutPolicy(wave_size=3, max_unreachable=2, force=True), 250)


@pytest.fixture
def path(tmp_path: Path) -> Path:
    return tmp_path / "a.db"


@pytest.fixture
def db(path: Path) -> Iterator[sqlite3.Connection]:
    with closing(open_store(path)) as connection:
        yield connection


def test_an_older_version_is_migrated_with_its_content(path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    with monkeypatch.context() as older:
        older.setattr(schema, "MIGRATIONS", schema.MIGRATIONS[:1])
        older.setattr(schema, "SCHEMA_VERSION", 1)
        db = open_store(path)
        change_table.insert_change(db, DRAFT, 0, 0)
        db.close()
    db = open_store(path)
    change = change_table.newest_change(db)
    assert change
    assert (change.generation, change.base, change.digest, change.content) == (1, 0, "d", "{}")
    assert change.policy == DRAFT.policy
    assert change.settle_ms == 250
    assert drain_table.update_drains(db, ["x"], [], "me", 41).revision == 42
    assert db.execute("PRAGMA user_version").fetchone()[0] == schema.SCHEMA_VERSION
    assert db.execute("PRAGMA synchronous").fetchone()[0] == 2
    assert path.stat().st_mode & 0o777 == 0o600


def make_newer(path: Path) -> None:
    db = open_store(path)
    db.execute(f"PRAGMA user_version={schema.SCHEMA_VERSION + 1}")
    db.close()


def make_damaged(path: Path) -> None:
    db = open_store(path)
    rows = [(str(number), "x" * 900) for number in range(99)]
    db.executemany("INSERT INTO targets VALUES (1, ?, '', '', ?, 0)", rows)
    db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    db.close()
    path.write_bytes(path.read_bytes()[:12000] + b"\xff" * 5000)


def make_file_of_another_program(path: Path) -> None:
    sqlite3.connect(path).executescript("CREATE TABLE t (x); INSERT INTO t VALUES (1);")


def make_text_file(path: Path) -> None:
    path.write_bytes(b"not a database at all" * 99)


@pytest.mark.parametrize(
    ("make_unusable", "reason"),
    [
        (make_newer, f"version {schema.SCHEMA_VERSION + 1}, this agent supports {schema.SCHEMA_VERSION}"),
        (make_damaged, "damaged"),
        (make_file_of_another_program, "not a database of this agent"),
        (make_text_file, "damaged"),
    ],
)
def test_an_unusable_file_is_rejected_with_its_path_and_left_unchanged(
    path: Path, make_unusable: Callable[[Path], None], reason: str
) -> None:
    make_unusable(path)
    before = path.read_bytes()
    with pytest.raises(UnusableStoreError, match=reason) as error:
        open_store(path)
    assert str(path) in str(error.value)
    assert path.read_bytes() == before


async def test_of_two_concurrent_changes_on_one_base_the_second_conflicts(path: Path) -> None:
    async with StoreWriter(open_store(path)) as store:
        results = await asyncio.gather(
            *(store.execute(lambda db: change_table.insert_change(db, DRAFT, 0, 6)) for _ in range(2)),
            return_exceptions=True,
        )
        assert sorted(type(result).__name__ for result in results) == ["Change", "GenerationConflictError"]
        newest = await store.execute(change_table.newest_change)
        assert newest
        assert newest.generation == 7  # above the generation that an instance reports
        third = await store.execute(lambda db: change_table.insert_change(db, DRAFT, -1, 0))
        first = await store.execute(lambda db: change_table.find_change(db, 7))
        assert third.generation == 8
        assert first
        assert first.state is RolloutState.SUPERSEDED
        with pytest.raises(GenerationConflictError, match="generation 8 by me"):
            await store.execute(lambda db: change_table.insert_change(db, DRAFT, 7, 0))


async def test_a_write_on_a_full_disk_is_undone_and_succeeds_once_there_is_space(path: Path) -> None:
    db = open_store(path)
    async with StoreWriter(db) as store:
        await store.execute(lambda db: change_table.insert_change(db, DRAFT, 0, 0))
        db.execute(f"PRAGMA max_page_count={db.execute('PRAGMA page_count').fetchone()[0]}")
        large = [Delivery(f"n{number}", "b", DeliveryState.SENT, "x" * 500) for number in range(200)]
        with pytest.raises(sqlite3.OperationalError, match="full"):
            await store.execute(lambda db: delivery_table.record_deliveries(db, 1, large))
        assert "full" in store.last_error
        assert await store.execute(lambda db: delivery_table.load_deliveries(db, 1)) == {}
        db.execute("PRAGMA max_page_count=100000")
        await store.execute(lambda db: delivery_table.record_deliveries(db, 1, large))
        stored = await store.execute(lambda db: delivery_table.load_deliveries(db, 1))
        assert len(stored) == 200
        assert store.last_error == ""


async def test_an_operation_that_fails_does_not_fail_the_others_of_its_batch(path: Path) -> None:
    async with StoreWriter(open_store(path)) as store:

        def fail(db: sqlite3.Connection) -> None:
            raise sqlite3.OperationalError("database or disk is full")

        read, failed, written = await asyncio.gather(
            store.execute(drain_table.load_drains),
            store.execute(fail),
            store.execute(lambda db: drain_table.update_drains(db, ["s-1"], [], "t", 0)),
            return_exceptions=True,
        )
        assert isinstance(failed, sqlite3.OperationalError)
        assert (read, written) == (DrainSet(0, ()), DrainSet(1, ("s-1",)))
        assert await store.execute(drain_table.load_drains) == written


@pytest.mark.parametrize("error", [StoreError("text"), KeyError("key"), ValueError(), ZeroDivisionError()])
async def test_only_the_operation_that_raises_is_undone_and_its_caller_gets_the_exception(
    path: Path, error: Exception
) -> None:
    def write_and_fail(db: sqlite3.Connection) -> None:
        drain_table.update_drains(db, ["s-2"], [], "t", 0)
        raise error

    async with StoreWriter(open_store(path)) as store:
        failed, written = await asyncio.gather(
            store.execute(write_and_fail),
            store.execute(lambda db: drain_table.update_drains(db, ["s-1"], [], "t", 0)),
            return_exceptions=True,
        )
        assert failed is error
        assert written == await store.execute(drain_table.load_drains) == DrainSet(1, ("s-1",))
        assert store.last_error == ""


def test_the_number_of_stored_changes_is_bounded(
    db: sqlite3.Connection, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(change_table, "MAX_CHANGE_RECORDS", 5)
    for generation in range(1, 13):
        change_table.insert_change(db, DRAFT, -1, 0)
        delivery_table.record_deliveries(db, generation, [Delivery("a", "b", DeliveryState.SENT, "x" * 9999)])
    assert len(change_table.recent_changes(db, 99)) == 5
    assert len(delivery_table.load_deliveries(db, 12)["a"].detail) == 500
    assert db.execute("SELECT count(*) FROM targets").fetchone()[0] <= 6
