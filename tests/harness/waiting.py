"""Waits for a condition that a test can check but is not notified of."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

POLL_INTERVAL_S = 0.002


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until `condition()` holds; if it never does, the test's timeout ends the wait."""
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
