"""The machine's clock with the interface of the model's clock. It records errors of its callbacks."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from anisespool.lab.model.checker import RuleError


class WallClock:
    """Monotonic time, and timers on the running event loop."""

    def __init__(self) -> None:
        self.rule_violation = ""  # the first rule that was broken
        self.internal_error = ""  # the first error of this process itself
        self._loop = asyncio.get_running_loop()

    @property
    def now(self) -> int:
        """The current time, monotonic ns."""
        return time.monotonic_ns()

    def at(self, when: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` at `when` (monotonic ns)."""
        self._loop.call_at(when / 1e9, self.call, callback, arguments)

    def after(self, delay: int, callback: Callable[..., None], *arguments: Any) -> None:
        """Call `callback` after `delay` ns."""
        self._loop.call_later(delay / 1e9, self.call, callback, arguments)

    def call(self, callback: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        """Call `callback` now, and record the rule whose violation it raises."""
        try:
            callback(*arguments)
        except RuleError as error:
            self.rule_violation = self.rule_violation or str(error)

    def handle_exception(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record an error that no callback or task handled; serves as the event loop's exception handler.

        A run with such an error gives no verdict. The end of a connection is no error.
        """
        error = context.get("exception")
        if not isinstance(error, ConnectionError):
            self.internal_error = self.internal_error or repr(error or context["message"])
            loop.default_exception_handler(context)
