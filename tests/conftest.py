"""Lets tests be coroutine functions, without a decorator."""

from __future__ import annotations

import inspect
import os

import pytest

from tests.harness.async_runner import run_async_test

# pytest loads GNU readline, which exports a terminal size (80 x 24 without a terminal) to the workers of
# pytest-xdist. A rich console that is created at import would keep this size, even if a test sets COLUMNS.
for name in ("COLUMNS", "LINES"):
    os.environ.pop(name, None)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run a coroutine function with its fixtures; pytest itself calls any other function."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = inspect.signature(pyfuncitem.obj).parameters
    run_async_test(pyfuncitem.obj, {name: pyfuncitem.funcargs[name] for name in names})
    return True
