"""Shares the event loop between connections whose input takes long to handle.

A read may hold thousands of small requests, or pieces of a body. Handled in one go, it would keep all other
clients waiting; so would hundreds of such reads in one turn of the event loop. Each connection handles its
input in steps. What is not handled at once waits for a later turn, and each turn has a limit on its time.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from typing import Protocol

TURN_NS = 1_000_000  # time for input in each turn of the event loop
MIN_OTHER_SHARE = 2  # other work takes this multiple of the time for input before more is handled at once
MAX_BACKLOG_NS = 2 * TURN_NS


class InputHandler(Protocol):
    """A connection with input to handle."""

    def handle_input(self) -> bool:
        """Handle the next part of the input; return whether there is more that can be handled now."""


class InputScheduler:
    """Runs the steps of all connections in turn, as many of new input as of input that takes longer."""

    __slots__ = ("_backlog_ns", "_is_scheduled", "_ended_at", "_longer", "_new")

    def __init__(self) -> None:
        """Begin without input."""
        self._new: deque[InputHandler] = deque()
        self._longer: deque[InputHandler] = deque()
        self._is_scheduled = False
        self._backlog_ns = 0  # time spent on input lately, less the share of the time that is meant for it
        self._ended_at = 0  # time of the end of the latest step

    @property
    def is_busy(self) -> bool:
        """Whether input waits, so that no connection should be read more often than its turn comes."""
        return self._backlog_ns >= TURN_NS or bool(self._new or self._longer)

    def submit(self, handler: InputHandler, is_short: bool) -> None:
        """Run the first step now, unless input has taken too much time lately, and further ones later.

        A handler is submitted again only after its `handle_input` has returned False.

        Args:
            handler: The connection.
            is_short: Whether the first step takes so little time that it need not wait.
        """
        now = time.monotonic_ns()
        self._backlog_ns = max(0, self._backlog_ns - (now - self._ended_at) // MIN_OTHER_SHARE)
        self._ended_at = now
        if not is_short and (self._new or self._backlog_ns >= TURN_NS):
            self._new.append(handler)
        else:
            self._run(handler)
        self._schedule()

    def _run_next(self, handlers: deque[InputHandler]) -> None:
        if handlers:
            self._run(handlers.popleft())

    def _run(self, handler: InputHandler) -> None:
        started_at = time.monotonic_ns()
        if handler.handle_input():
            self._longer.append(handler)
        self._ended_at = time.monotonic_ns()
        self._backlog_ns = min(self._backlog_ns + self._ended_at - started_at, MAX_BACKLOG_NS)

    def _schedule(self) -> None:
        if not self._is_scheduled and (self._new or self._longer):
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_turn)

    def _run_turn(self) -> None:
        self._is_scheduled = False
        ends_at = time.monotonic_ns() + TURN_NS
        try:
            while (self._new or self._longer) and time.monotonic_ns() < ends_at:
                self._run_next(self._longer)
                self._run_next(self._new)
        finally:
            self._schedule()
