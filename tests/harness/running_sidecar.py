"""Runs a sidecar in the test's process, with a fake discovery service and fake endpoints."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from anisespool.config.operator import OperatorConfig
from anisespool.config.platform import Address
from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes import platform
from anisespool.fakes.discovery import ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.sidecar import Signals, run
from tests.harness.platform_config import write_config


@dataclass(slots=True)
class RunningSidecar:
    """A sidecar in this process, and its fake discovery service.

    Attributes:
        address: The address on which it listens for clients.
        discovery: The fake discovery service.
        signals: Used instead of the process's signals.
        task: The task that runs the sidecar.
    """

    address: Address
    discovery: ScriptedDiscovery
    signals: Signals
    task: asyncio.Task[None]


@asynccontextmanager
async def running_sidecar(
    folder: Path, *endpoints: Endpoint, operator_config: OperatorConfig | None = None, **changes: Any
) -> AsyncIterator[RunningSidecar]:
    """Run a sidecar whose initial list has these endpoints, `s-0`, `s-1` and so on.

    Args:
        folder: The folder of its configuration file.
        endpoints: Fake endpoints that are already serving.
        operator_config: The content of an operator's file; None without one.
        changes: Changes as in `write_config`.
    """
    async with ScriptedDiscovery().serve() as discovery:
        known = [
            platform.member(f"s-{number}", endpoint.address) for number, endpoint in enumerate(endpoints)
        ]
        config = load_platform_config(write_config(folder, discovery.address, known, **changes))
        signals = Signals()
        listening: asyncio.Future[Address] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(run(config, signals, listening.set_result, operator_config))
        try:
            yield RunningSidecar(await listening, discovery, signals, task)
        finally:
            task.cancel()
            with suppress(asyncio.CancelledError):
                await task
