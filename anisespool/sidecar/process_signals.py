"""Handling of the signals that the platform sends to the process."""

from __future__ import annotations

import asyncio
import signal
import time


class Signals:
    """Events set by signals: SIGTERM and SIGINT stop the sidecar, SIGHUP reloads its configuration.

    The handlers are installed before anything else is built. Until then SIGHUP is blocked (`__main__`), so
    that one during start-up is pending and does not kill the process.

    Attributes:
        stop: Set once the process has to end.
        stop_handled_at: Time when the first request to stop was handled, monotonic ns; 0 before.
        reload: Set by each SIGHUP and cleared by the task that reloads the configuration.
    """

    def __init__(self) -> None:
        self.stop = asyncio.Event()
        self.stop_handled_at = 0
        self.reload = asyncio.Event()

    def install(self) -> None:
        """Install the handlers in the running event loop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload.set)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def request_stop(self) -> None:
        """Stop the sidecar. Repeated requests have no effect."""
        self.stop_handled_at = self.stop_handled_at or time.monotonic_ns()
        self.stop.set()


def block_signals() -> None:
    """Block the signals that `Signals` handles for the rest of the process, which is about to end.

    A closing event loop restores the default actions, so a late SIGHUP would kill the process before it exits
    with its own status.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP, signal.SIGTERM, signal.SIGINT})
