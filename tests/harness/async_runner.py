"""Runs a test that is a coroutine function, on a new event loop and with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

TEST_TIMEOUT_S = 60.0
"""Ends a test that hangs; far above the duration of any test, even on a busy machine."""


def run_async_test(
    test: Callable[..., Coroutine[Any, Any, None]],
    arguments: dict[str, Any],
    timeout_s: float = TEST_TIMEOUT_S,
) -> None:
    """Run the test with its fixtures' values, until it ends or times out.

    Raises:
        TimeoutError: The test did not end in time, and was cancelled.
    """
    asyncio.run(asyncio.wait_for(test(**arguments), timeout_s))
