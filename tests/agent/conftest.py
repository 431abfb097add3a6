"""Fixtures of the agent's tests."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

import pytest

from tests.agent.harness import AgentHarness
from tests.agent.process_fleet import ProcessFleet

ProcessFleetFactory = Callable[[], AbstractAsyncContextManager[ProcessFleet]]


@pytest.fixture
def harness(tmp_path: Path) -> AgentHarness:
    """Return the harness of an agent in this process, not started yet and without instances."""
    return AgentHarness(tmp_path)


@pytest.fixture
def process_fleet(tmp_path: Path) -> ProcessFleetFactory:
    """Return a factory of a fleet that is not started: five fake instances and an agent as a process.

    The fleet ends with the block.
    """

    @asynccontextmanager
    async def create_fleet() -> AsyncIterator[ProcessFleet]:
        fleet = ProcessFleet(tmp_path)
        try:
            yield fleet
        finally:
            await fleet.close()
            for instance in fleet.instances:
                instance.stop()

    return create_fleet
