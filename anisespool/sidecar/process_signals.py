"""The signals by which the platform controls the process."""

from __future__ import annotations

import asyncio
import signal


class Signals:
    """SIGTERM and SIGINT stop the sidecar, SIGHUP reloads its configuration.

    Installed before anything else is built, so that a SIGHUP during start-up waits instead of killing the
    process.

    Attributes:
        stop: Set once the process has to end.
        reload: Set by each SIGHUP; its handler clears it.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.reload = asyncio.Event()

    def install(self) -> None:
        """Handle the signals in the running loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)


def block_signals() -> None:
    """Block these signals until the process has ended, which it is about to do.

    A closing event loop restores the default actions, by which a late SIGHUP would kill the process before it
    has reported its exit status.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
