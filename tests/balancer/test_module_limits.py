"""Limits on the modules that make decisions: size, imports, and their list in the deploy file."""

from __future__ import annotations

import ast
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
MODULE = ROOT / "anisespool/balancer/balancer.py"
MAX_HANDLER_LINES = 350  # limit for balancer.py, which has a handler for each event
MAX_RULE_LINES = 200  # limit for every other module
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
    """Return the decision modules' paths in the package, such as `admission/controller`."""
    package = MODULE.parent
    paths = [path.relative_to(package) for path in package.rglob("*.py")]
    folders = {path.parts[0] for path in paths if len(path.parts) > 1}
    assert folders == RULE_PACKAGES | {"simulator"}
    names = [path.with_suffix("").as_posix() for path in paths if path.parts[0] != "simulator"]
    return sorted(name for name in names if name.rpartition("/")[2] not in NO_DECISION_MODULES)


DECISION_MODULES = decision_modules()


def policy_files() -> list[str]:
    files: list[str] = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    return files


def test_the_deploy_file_lists_every_decision_module() -> None:
    assert len(DECISION_MODULES) > 30
    assert policy_files() == [f"anisespool/balancer/{name}.py" for name in DECISION_MODULES]
    others = {path.stem for path in MODULE.parent.glob("*.py")} - set(DECISION_MODULES)
    assert others == NO_DECISION_MODULES


@pytest.mark.parametrize("name", DECISION_MODULES)
def test_a_decision_module_stays_small(name: str) -> None:
    text = (MODULE.parent / f"{name}.py").read_text()
    lines = text.splitlines()
    assert len(lines) <= (MAX_HANDLER_LINES if name == "balancer" else MAX_RULE_LINES)
    assert max(map(len, lines)) <= 110
    assert ast.get_docstring(ast.parse(text))
    if name == "balancer":
        assert "anisespool/balancer/interface.py" in lines[0]


@pytest.mark.parametrize("name", DECISION_MODULES)
def test_a_decision_module_imports_only_decision_modules_and_the_standard_library(name: str) -> None:
    imported = set()
    for node in ast.walk(ast.parse((MODULE.parent / f"{name}.py").read_text())):
        if isinstance(node, ast.Import):
            imported |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom):
            imported.add(str(node.module))
    outside = {m for m in imported if m.split(".")[0] not in sys.stdlib_module_names}
    own = ("interface", *(module.replace("/", ".") for module in DECISION_MODULES))
    allowed = {"anisespool.log", "anisespool.balancer", *(f"anisespool.balancer.{module}" for module in own)}
    assert outside <= allowed
    assert not imported & {"time", "datetime", "os", "threading"}


@pytest.mark.parametrize("path", sorted(MODULE.parent.rglob("*.py")), ids=lambda path: str(path.stem))
def test_a_module_with_named_tuples_does_not_postpone_annotations(path: Path) -> None:
    """Postponed annotations are strings, and a named tuple compiles each of them at import."""
    tree = ast.parse(path.read_text())
    bases = {
        ast.unparse(base) for node in ast.walk(tree) if isinstance(node, ast.ClassDef) for base in node.bases
    }
    futures = {node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)}
    assert not {"NamedTuple", "__future__"} <= bases | futures


def test_the_on_call_page_lists_each_log_event() -> None:
    """tests/test_log_lines.py compares the keys of the events, for all packages."""
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
