"""Fake instances in the process of the test, and an agent in a separate process that can be killed."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from anisespool.agent.crash_points import CrashPoint
from anisespool.config.platform import Address
from anisespool.fakes.instance import Instance
from anisespool.fakes.local_fleet import LocalFleet


class ProcessFleet(LocalFleet):
    """Five fake instances and an agent process. Commands also run as processes."""

    def __init__(self, directory: Path) -> None:
        agent_options = "scan_s = 0.05\nask_s = 0.1\nanswer_s = 0.5\n"
        super().__init__(directory, Address("127.0.0.1", 1), [], agent_options)
        self.control_directory.mkdir(mode=0o700)
        self.instances = [Instance(self.control_directory, f"i{number}") for number in range(5)]

    async def start_instances(self) -> None:
        await asyncio.gather(*(instance.start() for instance in self.instances))

    async def start_crashing_agent(self, point: CrashPoint, count: int) -> None:
        """Start an agent that kills itself when it reaches `point` for the `count`th time."""
        module = "anisespool.fakes.crashing_agent"
        await self.start_agent("-m", module, str(self.operator_file), str(point.value), str(count))

    async def wait_for_crash(self) -> None:
        assert self.agent
        assert await self.agent.wait() == -signal.SIGKILL

    async def newest_change_state(self) -> str:
        _, lines = await self.run_command("status")
        return str(lines[-1]["change"]["state"])

    async def reported_up_to_date(self) -> dict[str, bool]:
        """Return by instance name whether the agent reports the instance as up to date."""
        _, lines = await self.run_command("status")
        return {target["name"]: target["standing"] == "has" for target in lines[-1]["targets"]}
