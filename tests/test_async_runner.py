"""Tests that are coroutine functions run with their fixtures, can fail, and have a timeout."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from tests.harness.async_runner import run_async_test

pytest_plugins = ["pytester"]


def test_coroutine_functions_run_with_their_fixtures_and_can_fail(pytester: pytest.Pytester) -> None:
    pytester.makeconftest((Path(__file__).parent / "conftest.py").read_text())
    pytester.makepyfile(
        """
        import asyncio
        import pytest

        @pytest.mark.parametrize("number", [1, 2])
        async def test_parameter_and_fixture(tmp_path, number):
            await asyncio.sleep(0)
            assert tmp_path.is_dir() and number == 1

        def test_plain_function():
            pass
        """
    )
    pytester.runpytest_inprocess().assert_outcomes(passed=2, failed=1)


def test_a_test_that_hangs_is_cancelled_and_fails() -> None:
    cancelled = asyncio.Event()

    async def hang() -> None:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise

    with pytest.raises(TimeoutError):
        run_async_test(hang, {}, timeout_s=0.01)
    assert cancelled.is_set()
