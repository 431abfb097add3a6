"""One sidecar: start, signals and the end. The log goes to standard error."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from anisespool.backs.http1 import Endpoints
from anisespool.config.platform import Address, Config, ConfigError, discovery_in, load
from anisespool.core.sidecar import Sidecar
from anisespool.fronts.http1 import Server
from anisespool.membership.watch import Watch
from shuntlead.interface import RosterForm

ACCEPT_S = 0.5  # after SIGTERM: new connections go on coming for up to 0.4 s
LAST_S = 4.0  # then nothing taken can still be in time
COLLECT = (10_000, 20, 20)  # cycles are rare here: parsers let go of themselves
SPARE_SOCKETS = 32  # descriptors for all but clients and endpoints, and for those on their way out
CLIENTS_SHARE = 0.6  # of the others: many at rest beside those busy, of which each needs one to an endpoint


class Signals:
    """What the platform asks for while the program runs. They exist before anything else does, so that a
    SIGHUP at an awkward moment waits instead of killing the process."""

    def __init__(self) -> None:
        self.stop, self.reload = asyncio.Event(), asyncio.Event()

    def install(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


async def run(config: Config, signals: Signals, on_listening: Callable[[Address], None]) -> None:
    """One sidecar from its start until it is told to stop and all that it took is answered."""
    loop = asyncio.get_running_loop()
    settings, sockets = config.settings, max(16, config.sockets - SPARE_SOCKETS)
    most = int(sockets * CLIENTS_SHARE)
    endpoints = Endpoints(
        settings.report_columns, settings.connect_timeout_ns, config.keepalive_ns, sockets - most
    )
    sidecar = Sidecar(config, endpoints)
    sidecar.listed(config.known, RosterForm.CACHED)
    watch = Watch(config.discovery, config.names, config.known.revision, sidecar.listed)
    tasks = [loop.create_task(watch.run()), loop.create_task(endpoints.sweep())]
    tasks.append(loop.create_task(_reload(config.path, watch, signals.reload)))
    server = Server(sidecar, config.names, settings, most, config.sockets)
    tasks.append(loop.create_task(server.sweep()))
    try:
        on_listening(server.listen(config.listen))
    except OSError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    gc.freeze()  # what start-up made stays for good: no collection need look at it
    gc.set_threshold(*COLLECT)
    await signals.stop.wait()
    try:
        async with asyncio.timeout(LAST_S):
            await server.stop(ACCEPT_S)
    except TimeoutError:
        print("server: ended with connections still in use", file=sys.stderr)
    for task in tasks:
        task.cancel()


async def _reload(path: str, watch: Watch, asked: asyncio.Event) -> None:
    """New configurations: of what the file says only discovery's address can change under way."""
    while True:
        await asked.wait()
        asked.clear()
        try:
            watch.move(discovery_in(path))
        except ConfigError as error:  # Danger: a bad file must cost a log line, not the sidecar
            print(f"anisespool: not reloaded: {error}"[:300], file=sys.stderr)


async def _until_signalled() -> None:
    signals = Signals()
    signals.install()
    try:
        await run(load(os.environ), signals, lambda address: None)
    finally:
        # Danger: the closing loop gives signals back their deadly defaults. What comes now finds us leaving.
        signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})


def main() -> int:
    try:
        asyncio.run(_until_signalled())
    except ConfigError as error:
        print(f"anisespool: {error}", file=sys.stderr)
        return 2
    return 0
