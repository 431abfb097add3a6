"""When entries of the endpoint list are applied again, with one timer for all of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable


class ReapplySchedule:
    """Applies entries again after a delay. Of several delays for an endpoint the earliest counts."""

    def __init__(self, reapply: Callable[[list[str]], None]) -> None:
        """Begin with nothing due.

        Args:
            reapply: Called with the ids of the endpoints whose delay is over.
        """
        self._reapply = reapply
        self._due_ns: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due_ns = 0

    def schedule(self, endpoint_ids: Iterable[str], delay_ns: int) -> None:
        """Apply the endpoints' entries again after a delay, unless they will be earlier."""
        due_ns = time.monotonic_ns() + delay_ns
        for endpoint_id in endpoint_ids:
            self._due_ns[endpoint_id] = min(due_ns, self._due_ns.get(endpoint_id, due_ns))
        if self._due_ns and (self._timer is None or due_ns < self._timer_due_ns):
            self._start_timer(due_ns)

    def cancel(self, endpoint_id: str) -> None:
        """Forget an endpoint, which has been removed."""
        self._due_ns.pop(endpoint_id, None)

    def _start_timer(self, due_ns: int) -> None:
        if self._timer:
            self._timer.cancel()
        delay_s = max(0, due_ns - time.monotonic_ns()) / 1e9
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._apply_due)
        self._timer_due_ns = due_ns

    def _apply_due(self) -> None:
        self._timer = None
        now_ns = time.monotonic_ns()
        due_ids = [endpoint_id for endpoint_id, due_ns in self._due_ns.items() if due_ns <= now_ns]
        for endpoint_id in due_ids:
            del self._due_ns[endpoint_id]
        if self._due_ns:
            self._start_timer(min(self._due_ns.values()))
        if due_ids:
            self._reapply(due_ids)
