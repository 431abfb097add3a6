"""Timers after which entries of the endpoint list are applied again, at most one for each endpoint."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable


class ReapplySchedule:
    """Applies entries again after a delay. Of several delays for an endpoint the earliest counts."""

    def __init__(self, reapply: Callable[[list[str]], None]) -> None:
        """Begin without a timer.

        Args:
            reapply: Called with the ids of the endpoints whose delay is over.
        """
        self._reapply = reapply
        self._due_ns: dict[str, int] = {}

    def schedule(self, endpoint_ids: Iterable[str], delay_ns: int) -> None:
        """Apply the endpoints' entries again after a delay, unless they will be earlier."""
        due_ns = time.monotonic_ns() + max(0, delay_ns)
        ids = [
            endpoint_id
            for endpoint_id in endpoint_ids
            if endpoint_id not in self._due_ns or self._due_ns[endpoint_id] > due_ns
        ]
        if ids:
            self._due_ns.update(dict.fromkeys(ids, due_ns))
            asyncio.get_running_loop().call_later(max(0, delay_ns) / 1e9, self._apply_due, ids, due_ns)

    def _apply_due(self, endpoint_ids: list[str], due_ns: int) -> None:
        due_ids = [endpoint_id for endpoint_id in endpoint_ids if self._due_ns.get(endpoint_id) == due_ns]
        for endpoint_id in due_ids:
            del self._due_ns[endpoint_id]
        if due_ids:
            self._reapply(due_ids)
