"""The decision files' own limits: sizes and imports."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
MODULE = ROOT / "anisespool/balancer/balancer.py"
MAX_HANDLER_LINES = 350  # of balancer.py, which has an event handler for each event
MAX_RULE_LINES = 200  # of every other decision file
NO_DECISION_MODULES = {
    "__init__",
    "inspection",
    "interface",
    "settings",
    "settings_names",
    "settings_reader",
    "settings_types",
}
RULE_PACKAGES = {"admission", "estimates", "retry", "selection"}


def decision_modules() -> list[str]:
    """The decision files' names below the package, such as `admission/controller`."""
    package = MODULE.parent
    paths = [path.relative_to(package) for path in package.rglob("*.py")]
    places = {path.parts[0] for path in paths if len(path.parts) > 1}
    assert places == RULE_PACKAGES | {"simulator"}
    names = [path.with_suffix("").as_posix() for path in paths if path.parts[0] != "simulator"]
    return sorted(name for name in names if name.rpartition("/")[2] not in NO_DECISION_MODULES)


DECISION_MODULES = decision_modules()


def policy_files() -> list[str]:
    files: list[str] = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    return files


def test_the_policy_lists_every_decision_file() -> None:
    assert len(DECISION_MODULES) > 30
    assert policy_files() == [f"anisespool/balancer/{name}.py" for name in DECISION_MODULES]
    others = {path.stem for path in MODULE.parent.glob("*.py")} - set(DECISION_MODULES)
    assert others == NO_DECISION_MODULES


@pytest.mark.parametrize("name", DECISION_MODULES)
def test_a_decision_file_stays_small(name: str) -> None:
    text = (MODULE.parent / f"{name}.py").read_text()
    lines = text.splitlines()
    assert len(lines) <= (MAX_HANDLER_LINES if name == "balancer" else MAX_RULE_LINES)
    assert max(map(len, lines)) <= 110
    assert ast.get_docstring(ast.parse(text))
    if name == "balancer":
        assert "anisespool/balancer/interface.py" in lines[0]


@pytest.mark.parametrize("name", DECISION_MODULES)
def test_module_imports_only_the_interface_and_the_standard_library(name: str) -> None:
    imported = set()
    for node in ast.walk(ast.parse((MODULE.parent / f"{name}.py").read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(str(node.module))
    outside = {m for m in imported if m.split(".")[0] not in sys.stdlib_module_names}
    ours = ("interface", *(module.replace("/", ".") for module in DECISION_MODULES))
    allowed = {"anisespool.log", "anisespool.balancer", *(f"anisespool.balancer.{module}" for module in ours)}
    assert outside <= allowed
    assert not imported & {"time", "datetime", "os", "threading"}


@pytest.mark.parametrize("path", sorted(MODULE.parent.rglob("*.py")), ids=lambda path: str(path.stem))
def test_a_module_of_named_tuples_does_not_postpone_annotations(path: Path) -> None:
    """Postponed ones are strings, and a named tuple compiles each of them at import."""
    tree = ast.parse(path.read_text())
    bases = {
        ast.unparse(base) for node in ast.walk(tree) if isinstance(node, ast.ClassDef) for base in node.bases
    }
    futures = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert not {"NamedTuple", "__future__"} <= bases | futures


def test_each_event_of_the_log_is_on_the_on_call_page() -> None:
    """Its keys are compared for all packages by tests/test_log_lines.py."""
    page = (ROOT / "docs/on-call.md").read_text()
    events = {
        str(node.args[0].value)
        for name in DECISION_MODULES
        for node in ast.walk(ast.parse((MODULE.parent / f"{name}.py").read_text()))
        if isinstance(node, ast.Call)
        and getattr(node.func, "id", "") == "format_event"
        and isinstance(node.args[0], ast.Constant)
    }
    assert len(events) >= 4
    for event in events:
        assert f"| `{event}` |" in page, event
