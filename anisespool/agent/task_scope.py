"""Scopes of background tasks: no task outlives the scope in which it was started."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from types import TracebackType
from typing import Any


class TaskScope:
    """Background tasks by key, at most one for each key. Leaving the scope cancels and awaits them.

    Unlike in an asyncio.TaskGroup, a task that fails does not cancel the others.
    """

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._cancelled: set[asyncio.Task[None]] = set()  # cancelled, but not ended yet

    def __contains__(self, key: object) -> bool:
        return key in self._tasks

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, key: str, coroutine: Coroutine[Any, Any, None]) -> None:
        """Start a task for `coroutine` under `key`, which must not have a task already."""
        self._tasks[key] = asyncio.get_running_loop().create_task(coroutine)

    def remove(self, key: str) -> None:
        """Release `key`. Its task calls this as its last step."""
        self._tasks.pop(key, None)

    def cancel(self, key: str) -> None:
        """Cancel the task of `key`, and release the key immediately."""
        task = self._tasks.pop(key, None)
        if task:
            task.cancel()
            self._cancelled.add(task)
            task.add_done_callback(self._cancelled.discard)

    async def wait_until_idle(self) -> None:
        """Wait until all current tasks have ended, with or without an error.

        Cancelling the wait does not cancel the tasks.
        """
        if self._tasks:
            await asyncio.wait(list(self._tasks.values()))

    async def __aenter__(self) -> TaskScope:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for key in list(self._tasks):
            self.cancel(key)
        await asyncio.gather(*self._cancelled, return_exceptions=True)
