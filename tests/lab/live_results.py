"""Small scenarios and empty results, for tests that judge runs without playing them."""

from __future__ import annotations

import time
from typing import Any

from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.scenario import Scenario, from_raw


def one_class_scenario(**class_options: Any) -> Scenario:
    """A scenario with one request class, whose clients make up to three attempts."""
    clients = {"tries": 3, "backoff_ms": 1}
    return from_raw({"warm_s": 0, "classes": [{"name": "x"} | class_options], "clients": clients}, "one")


def empty_result(scenario: Scenario | None = None) -> LiveRunResult:
    """The result of a run that begins now."""
    return LiveRunResult.of(scenario or one_class_scenario(), time.monotonic_ns())
