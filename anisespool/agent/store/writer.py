"""The thread that owns the store's connection, and commits all queued operations in one transaction."""

from __future__ import annotations

import asyncio
import sqlite3
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from types import TracebackType
from typing import Any, TypeVar

Result = TypeVar("Result")
Operation = Callable[[sqlite3.Connection], Result]  # function of a table module with other arguments bound


@dataclass(slots=True)
class _QueuedOperation:
    """An operation, and the future that its caller awaits."""

    operation: Operation[Any]
    result: asyncio.Future[Any]


class StoreWriter:
    """Runs operations on the store in one thread.

    Operations that arrive during a commit are committed together by the next one, so that the deliveries of
    a wave share a few syncs to disk. The end of the `async with` block, or `close`, ends the thread.

    Attributes:
        last_error: Text of the last SQLite error; empty once a later write has succeeded.
    """

    def __init__(self, db: sqlite3.Connection) -> None:
        self.last_error = ""
        self._db = db
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="store")
        self._queue: deque[_QueuedOperation] = deque()
        self._flush_task: asyncio.Task[None] | None = None

    async def execute(self, operation: Operation[Result]) -> Result:
        """Run `operation` and return its result once it is on disk. A failed operation alone is rolled back.

        Raises:
            sqlite3.Error: the operation could not be committed.
        """
        loop = asyncio.get_running_loop()
        result: asyncio.Future[Result] = loop.create_future()
        self._queue.append(_QueuedOperation(operation, result))
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = loop.create_task(self._flush())
        return await result

    async def _flush(self) -> None:
        while self._queue:
            batch = list(self._queue)
            self._queue.clear()
            outcomes = await self._run_batch([queued.operation for queued in batch])
            for queued, outcome in zip(batch, outcomes, strict=True):
                if queued.result.done():  # the caller was cancelled
                    continue
                if isinstance(outcome, Exception):
                    queued.result.set_exception(outcome)
                else:
                    queued.result.set_result(outcome)

    async def _run_batch(self, batch: list[Operation[Any]]) -> list[Any]:
        """Return the results or exceptions of a batch, in its order.

        If the transaction fails, the operations are run again one by one. Otherwise one that can't be written
        would fail the whole batch, including reads.
        """
        loop = asyncio.get_running_loop()
        try:
            return await loop.run_in_executor(self._thread, self._commit, batch)
        except sqlite3.Error as error:
            if len(batch) == 1:
                self.last_error = str(error)
                return [error]
        return [(await self._run_batch([operation]))[0] for operation in batch]

    def _commit(self, batch: list[Operation[Any]]) -> list[Any]:
        """Run a batch in one transaction. Runs in the store's thread."""
        db = self._db
        changes_before = db.total_changes
        db.execute("BEGIN IMMEDIATE")
        try:
            outcomes = [self._run_in_savepoint(operation) for operation in batch]
            db.execute("COMMIT")
        except BaseException:
            if db.in_transaction:
                db.execute("ROLLBACK")
            raise
        if db.total_changes > changes_before:  # a successful read does not prove that writes succeed again
            self.last_error = ""
        return outcomes

    def _run_in_savepoint(self, operation: Operation[Any]) -> Any:
        """Return the operation's result, or the exception that caused its rollback."""
        self._db.execute("SAVEPOINT operation")
        outcome: Any
        try:
            outcome = operation(self._db)
        except sqlite3.Error:
            raise  # it fails the whole transaction, and `_run_batch` runs the operations one by one
        except Exception as error:  # whatever its type, it concerns this operation's caller only
            self._db.execute("ROLLBACK TO operation")
            outcome = error
        self._db.execute("RELEASE operation")
        return outcome

    async def close(self) -> None:
        """Commit what is queued, end the thread and close the connection."""
        try:
            if self._flush_task:
                await self._flush_task
        finally:
            self._thread.shutdown(wait=True)
            self._db.close()

    async def __aenter__(self) -> StoreWriter:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()
