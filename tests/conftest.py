"""Lets tests be coroutine functions, without a decorator, and passes over the tests of KNOWN-RED.txt."""

from __future__ import annotations

import inspect
import os

import pytest

from tests.harness import known_red
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


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that runs the known failures, too."""
    parser.addoption("--known-red", action="store_true", help="run the tests that KNOWN-RED.txt lists, too")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Deselect the tests that KNOWN-RED.txt lists."""
    if config.getoption("--known-red"):
        return
    entries = known_red.parse(known_red.PATH.read_text())
    listed = [item for item in items if any(entry.matches(item.nodeid) for entry in entries)]
    config.hook.pytest_deselected(items=listed)
    items[:] = [item for item in items if item not in listed]


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the known failures that were passed over."""
    if config.getoption("--known-red"):
        return
    for entry in known_red.parse(known_red.PATH.read_text()):
        terminalreporter.write_line(f"KNOWN RED, not run: {entry.test_id} (issue {entry.fields['issue']})")
