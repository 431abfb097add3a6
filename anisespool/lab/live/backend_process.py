"""The process of a run's endpoints, discoveries and network: `python -m anisespool.lab.live.backend_process`.

It exchanges the messages of `backend_messages` on standard input and output, and runs from the run's first
moment until its input ends. Each sidecar, or in large fleets each zone, reaches every endpoint at an address
of its own. The address identifies the link between the two, so the sidecar does not have to name itself.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import AsyncExitStack

import msgspec

from anisespool.lab.live.backend_messages import RunOrder
from anisespool.lab.live.live_backend import LiveBackend
from anisespool.lab.scenario import Link


async def _read_line() -> str:
    """Return the next line of standard input, or an empty string at its end."""
    return await asyncio.get_running_loop().run_in_executor(None, sys.stdin.readline)


def _write_message(message: msgspec.Struct) -> None:
    print(msgspec.json.encode(message).decode(), flush=True)


async def serve() -> None:
    """Serve one run, from its order to its report."""
    order: RunOrder = msgspec.json.decode(await _read_line(), type=RunOrder)
    backend = LiveBackend(order.scenario, order.seed)
    asyncio.get_running_loop().set_exception_handler(backend.clock.handle_exception)
    async with AsyncExitStack() as stack:
        discoveries = await backend.open()
        stack.callback(backend.close)
        for discovery in discoveries:
            await stack.enter_async_context(discovery.serve())
        _write_message(backend.describe(discoveries))
        backend.start(int(await _read_line()))
        while line := await _read_line():
            backend.add_link(msgspec.json.decode(line, type=Link))
    _write_message(backend.report())


if __name__ == "__main__":
    asyncio.run(serve())
