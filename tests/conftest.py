"""Runs the tests that are coroutine functions; they need no decorator."""

from __future__ import annotations

import inspect
import os

import pytest

from tests.harness.async_runner import run_async_test

# GNU readline, which pytest loads, exports a terminal size (80 x 24 without a terminal) to the worker
# processes that pytest-xdist starts. A rich console made at import would keep it, whatever a test sets
# COLUMNS to.
for name in ("COLUMNS", "LINES"):
    os.environ.pop(name, None)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine function with its fixtures; pytest calls any other."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    run_async_test(pyfuncitem.obj, {name: pyfuncitem.funcargs[name] for name in names})
    return True
