"""The format of log lines, and the list in docs/on-call.md of all events of the code with their keys."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest

from anisespool import log
from anisespool.log import LIMITED_INTERVAL_S, MAX_LINE_CHARACTERS, EventLimit, format_event, log_event
from tests.harness.log_lines import without_time

ROOT = Path(__file__).parent.parent
# Packages that write no log of a running sidecar or agent.
EXCLUDED_PACKAGES = {"lab", "fakes"}
OTHER_LOG_LIBRARIES = {"logging", "loguru", "structlog"}
ROW = re.compile(r"^\| `([a-z][a-z0-9_]*)` \| ([^|]*) \| ([^|]+) \| ([^|]+) \|$", re.MULTILINE)


def modules_that_log() -> Iterator[Path]:
    """Yield the modules of the sidecar, the agent and the command line, except the log module."""
    for path in sorted((ROOT / "anisespool").rglob("*.py")):
        relative = path.relative_to(ROOT / "anisespool")
        if relative.parts[0] not in EXCLUDED_PACKAGES and relative.name != "log.py":
            yield path


def events_in_code() -> dict[str, set[str]]:
    """Return the keys of each event, from every call of log_event() and format_event()."""
    found: dict[str, set[str]] = {}
    for path in modules_that_log():
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call) or not is_log_call(node):
                continue
            assert isinstance(node.args[0], ast.Constant), (
                f"{path}:{node.lineno}: the name of an event must be a literal"
            )
            keys = {keyword.arg for keyword in node.keywords if keyword.arg}
            found.setdefault(str(node.args[0].value), set()).update(keys)
    return found


def is_log_call(node: ast.Call) -> bool:
    """Return whether a call writes or formats a line of the log."""
    name = getattr(node.func, "id", getattr(node.func, "attr", ""))
    return name in ("log_event", "format_event")


def imported_modules(tree: ast.Module) -> set[str]:
    """Return the top-level names of the modules that a module imports."""
    names: set[str] = set()
    for node in ast.walk(tree):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
    return names


@pytest.mark.parametrize(
    "source", ["import structlog", "import logging.config", "from structlog import get_logger"]
)
def test_an_import_of_another_log_library_is_detected(source: str) -> None:
    assert imported_modules(ast.parse(source)) & OTHER_LOG_LIBRARIES


def test_no_module_imports_another_log_library() -> None:
    """The logger of a library would write events in another format, which this file does not detect."""
    for path in modules_that_log():
        assert not imported_modules(ast.parse(path.read_text())) & OTHER_LOG_LIBRARIES, path


def events_on_the_page() -> dict[str, set[str]]:
    page = (ROOT / "docs/on-call.md").read_text()
    return {name: set(re.findall(r"`([a-z0-9_]+)`", keys)) for name, keys, _, _ in ROW.findall(page)}


def test_the_on_call_page_lists_exactly_the_events_of_the_code() -> None:
    assert events_on_the_page() == events_in_code()


@pytest.mark.parametrize(
    ("fields", "line"),
    [
        ({}, "event"),
        ({"endpoint": "e-1", "count": 3}, "event endpoint=e-1 count=3"),
        ({"error": "two words"}, 'event error="two words"'),
        ({"error": 'say "a=b"\n'}, r'event error="say \"a=b\"\n"'),
        ({"error": ""}, 'event error=""'),
    ],
)
def test_values_are_quoted_only_where_necessary(fields: dict[str, object], line: str) -> None:
    assert format_event("event", **fields) == line


def test_an_event_is_logged_once_in_an_interval_for_each_reason_and_the_others_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr(log, "time", SimpleNamespace(monotonic=lambda: now_s))
    limit = EventLimit()
    assert [limit.count_to_log(reason) for reason in "aabaa"] == [1, 0, 1, 0, 0]
    now_s += LIMITED_INTERVAL_S
    assert [limit.count_to_log(reason) for reason in "ab"] == [4, 1]


def test_the_length_of_a_line_is_bounded(capsys: pytest.CaptureFixture[str]) -> None:
    log_event("event", error="x" * 1000)
    line = capsys.readouterr().err.removesuffix("\n")
    assert len(without_time(line)) == MAX_LINE_CHARACTERS
