"""Start, signals and the end of one sidecar. The log goes to standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from anisespool.config import Address, Config, ConfigError, load
from anisespool.discovery import Watch
from anisespool.endpoints import Endpoints
from anisespool.server import Server
from anisespool.sidecar import Sidecar
from shuntlead.interface import RosterForm

ACCEPT_S = 0.5  # after SIGTERM: new connections go on coming for up to 0.4 s
LAST_S = 4.0  # then nothing taken can still be in time
SPARE_SOCKETS = 64  # descriptors for all but clients and endpoints


async def run(config: Config, stop: asyncio.Event, on_listening: Callable[[Address], None]) -> None:
    """One sidecar from its start until `stop` is set and all that it took is answered."""
    loop = asyncio.get_running_loop()
    settings, most = config.settings, max(8, (config.sockets - SPARE_SOCKETS) // 2)
    endpoints = Endpoints(settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, most)
    sidecar = Sidecar(config, endpoints)
    sidecar.listed(config.known, RosterForm.CACHED)
    watch = Watch(config.discovery, config.names, config.known.revision, sidecar.listed)
    tasks = [loop.create_task(watch.run()), loop.create_task(endpoints.sweep())]
    server = Server(sidecar, config.names, settings, most)
    try:
        on_listening(server.listen(config.listen))
    except OSError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    gc.freeze()  # what start-up made stays for good: no collection need look at it
    await stop.wait()
    try:
        async with asyncio.timeout(LAST_S):
            await server.stop(ACCEPT_S)
    except TimeoutError:
        print("server: ended with connections still in use", file=sys.stderr)
    for task in tasks:
        task.cancel()


async def _until_signalled(config: Config) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await run(config, stop, lambda address: None)


def main() -> int:
    try:
        config = load(os.environ)
        asyncio.run(_until_signalled(config))
    except ConfigError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
