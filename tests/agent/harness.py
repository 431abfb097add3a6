"""An agent and fake instances in the process of the test, and helpers for the agent's gRPC calls."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import grpc
import pytest

from anisespool.agent import main
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.v1 import agent_pb2_grpc
from anisespool.config import operator
from anisespool.fakes.instance import Instance

CONTENT = json.dumps({"connections": {"rest_ms": 5.0}})
SHORT_INTERVALS = {"scan_s": 0.05, "ask_s": 0.05, "answer_s": 0.3}


def operator_config(directory: Path, **agent_options: Any) -> operator.OperatorConfig:
    """Return an operator's file whose agent polls often; `agent_options` go to its section [agent]."""
    agent = {"state": str(directory / "state")} | SHORT_INTERVALS | agent_options
    tables = {"control": {"folder": str(directory / "ctl")}, "agent": agent}
    return operator.parse_operator_config(tables, "file")


class AgentHarness:
    """An agent, and the fake instances in its control directory.

    Attributes:
        config: The operator's file; see `configure`.
        control_directory: Directory of the instances' sockets.
        instances: Instances by name.
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self.config = operator_config(directory)
        self.control_directory = directory / "ctl"
        self.control_directory.mkdir(mode=0o700, exist_ok=True)
        self.instances: dict[str, Instance] = {}

    def configure(self, **agent_options: Any) -> None:
        """Set options of the section [agent] for agents that are started later."""
        self.config = operator_config(self._directory, **agent_options)

    async def start_instances(self, *names: str) -> list[Instance]:
        """Start fake instances with these names."""
        started = [Instance(self.control_directory, name) for name in names]
        for instance in started:
            await instance.start()
            self.instances[instance.name] = instance
        return started

    @asynccontextmanager
    async def agent(self) -> AsyncIterator[Any]:
        """Run an agent until the block ends, and yield a stub for it."""
        ready = asyncio.Event()
        stop = asyncio.Event()
        task = asyncio.create_task(main.serve(self.config, ready.set, stop))
        wait_for_ready = asyncio.create_task(ready.wait())
        await asyncio.wait([task, wait_for_ready], return_when=asyncio.FIRST_COMPLETED)
        if task.done():
            wait_for_ready.cancel()
            task.result()
        assert self.config.agent
        try:
            async with grpc.aio.insecure_channel(f"unix:{self.config.agent.socket_path}") as channel:
                yield agent_pb2_grpc.AgentStub(channel)
        finally:
            stop.set()
            await task

    @asynccontextmanager
    async def agent_with_instances(self, count: int) -> AsyncIterator[Any]:
        """Run an agent with fake instances `i0`, `i1` and so on until the block ends, and yield a stub."""
        await self.start_instances(*(f"i{number}" for number in range(count)))
        try:
            async with self.agent() as stub:
                yield stub
        finally:
            self.stop_instances()

    def stop_instances(self) -> None:
        """Stop the fake instances and remove their sockets."""
        for instance in self.instances.values():
            instance.stop()


def reject_changes(instance: Instance, reason: str) -> None:
    """Make a fake instance reject every change from now on."""
    instance.faults.rejection = reason


def accept_changes(instance: Instance) -> None:
    """Make a fake instance accept changes again."""
    instance.faults.rejection = ""


async def reachabilities(stub: Any) -> dict[str, Any]:
    """Return the reachability of each instance as the agent lists it, by name."""
    return {row.name: row.reach async for row in stub.List(pb.ListRequest())}


async def wait_until_all_answer(stub: Any, count: int) -> None:
    """Wait until the agent lists `count` instances, all of which have answered the last poll."""
    while list((await reachabilities(stub)).values()) != [pb.REACH_ANSWERS] * count:
        await asyncio.sleep(0.01)


async def last_message(stream: Any) -> Any:
    """Read a stream to its end and return the last message."""
    return [message async for message in stream][-1]


async def apply(stub: Any, content: str = CONTENT, **fields: Any) -> Any:
    """Call Apply and return the last progress message."""
    request: dict[str, Any] = {"base_generation": -1, "most_unreachable": -1, "author": "t"} | fields
    return await last_message(stub.Apply(pb.ApplyRequest(content_json=content, **request)))


async def statuses(stub: Any) -> dict[str, str]:
    """Return the rollout status of each target, by instance name."""
    reply = await stub.Status(pb.StatusRequest())
    return {target.name: target.standing for target in reply.targets}


async def wait_for_statuses(stub: Any, expected: dict[str, str]) -> None:
    """Wait until the targets have exactly these statuses."""
    while (await statuses(stub)) != expected:
        await asyncio.sleep(0.02)


async def _complete(call: Any) -> None:
    """Read a stream to its end, or await a call."""
    if hasattr(call, "__aiter__"):
        async for _ in call:
            pass
    else:
        await call


async def assert_call_fails(call: Any, code: grpc.StatusCode, text: str) -> None:
    """Check that a call or stream fails with this status and with `text` in its details."""
    with pytest.raises(grpc.aio.AioRpcError) as error:
        await _complete(call)
    assert error.value.code() is code
    assert text in (error.value.details() or "")
