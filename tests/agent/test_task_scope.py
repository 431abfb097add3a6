"""Background tasks end with the scope that started them."""

from __future__ import annotations

import asyncio

import pytest

from anisespool.agent.task_scope import TaskScope


async def run_until_cancelled(ended: list[str], name: str) -> None:
    try:
        await asyncio.Event().wait()
    finally:
        await asyncio.sleep(0)  # delays the end by one iteration of the event loop
        ended.append(name)


async def fail() -> None:
    raise ValueError("failed")


async def test_leaving_the_scope_cancels_and_awaits_its_tasks() -> None:
    ended: list[str] = []
    async with TaskScope() as scope:
        for name in ("a", "b", "c"):
            scope.start(name, run_until_cancelled(ended, name))
        await asyncio.sleep(0)
        scope.cancel("b")
        assert "b" not in scope
        assert len(scope) == 2
        assert ended == []
    assert sorted(ended) == ["a", "b", "c"]
    assert len(scope) == 0


async def test_a_failing_task_does_not_cancel_the_others() -> None:
    ended: list[str] = []
    async with TaskScope() as scope:
        scope.start("a", run_until_cancelled(ended, "a"))
        scope.start("b", fail())
        await asyncio.sleep(0.01)
        assert "a" in scope
        assert ended == []
    assert ended == ["a"]


async def test_waiting_for_tasks_can_be_cancelled_without_cancelling_them() -> None:
    ended: list[str] = []
    async with TaskScope() as scope:
        await scope.wait_until_idle()
        scope.start("a", run_until_cancelled(ended, "a"))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.01):
                await scope.wait_until_idle()
        assert ended == []
