"""The wall clock: a single module reads it, so that the lab can shift it."""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from anisespool.config import clock

PACKAGE = Path(clock.__file__).parent.parent
NOT_IN_A_SIDECAR = {"lab", "fakes", "cli"}
WALL_CLOCK_READ = re.compile(r"\btime\.time(_ns)?\b")


def test_the_wall_clock_is_read_in_one_module_only() -> None:
    modules = [path.relative_to(PACKAGE) for path in PACKAGE.rglob("*.py")]
    production = [module for module in modules if module.parts[0] not in NOT_IN_A_SIDECAR]
    readers = [module for module in production if WALL_CLOCK_READ.search((PACKAGE / module).read_text())]
    assert readers == [Path("config/clock.py")]


@pytest.fixture
def movable_clock() -> Iterator[None]:
    """Remove the offset of the clock after the test."""
    yield
    clock.set_offset(0.0)


@pytest.mark.usefixtures("movable_clock")
def test_the_wall_clock_can_be_shifted() -> None:
    before = clock.wall_ns()
    clock.set_offset(-3600.0)
    assert before - 3601 * 10**9 < clock.wall_ns() < before - 3599 * 10**9
