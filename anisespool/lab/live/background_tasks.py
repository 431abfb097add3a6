"""Runs tasks in the background and waits for all of them at the end."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """A set of tasks. A failed task stays in it until `wait_all` raises its error."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a coroutine as a task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._drop_succeeded)

    def _drop_succeeded(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            self._tasks.discard(task)

    async def wait_all(self) -> None:
        """Wait until every task is done, including those that are started meanwhile.

        Raises:
            Exception: A task failed; this is the first error found. The other tasks continue.
        """
        while self._tasks:
            done, _ = await asyncio.wait(self._tasks)
            self._tasks -= done
            for task in done:
                task.result()
