"""docs/decisions.md names existing code, and has every constant of the decision module and of other rules."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from fractions import Fraction
from importlib import import_module
from pathlib import Path
from typing import NamedTuple

import pytest

from tests.balancer.test_module_limits import DECISION_MODULES
from tests.test_log_lines import events_in_code

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/decisions.md").read_text()
# Modules of rules outside of the decision module.
RULE_MODULES = (
    "buffer_budget.py",
    "discovery/catch_up.py",
    "listener/eviction.py",
    "input_scheduler.py",
    "listener/keepalive.py",
    "listener/pipeline.py",
    "listener/shutdown.py",
    "listener/timeouts.py",
    "loop_delay.py",
    "proxy/deadlines.py",
    "proxy/executed_ids.py",
    "sidecar/shutdown.py",
    "upstream/cluster.py",
)
MODULES = (*(f"balancer/{name}.py" for name in DECISION_MODULES), *RULE_MODULES)
COLUMNS = ("question", "inputs", "rule", "constants", "function", "log event", "test")


class Rule(NamedTuple):
    """A row of the page."""

    question: str
    inputs: str
    rule: str
    constants: str
    function: str
    log_event: str
    test: str


def rules() -> Iterator[Rule]:
    """Yield the rows of all tables."""
    for line in PAGE.splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if line.startswith("| ") and len(cells) == len(COLUMNS) and cells[0] not in ("---", COLUMNS[0]):
            yield Rule(*cells)


RULES = list(rules())


def names(cell: str) -> list[str]:
    """Return the names that a cell has in backquotes."""
    return re.findall(r"`([^`]+)`", cell)


def definitions(path: Path) -> set[str]:
    """Return the functions, methods (`Class.method`) and classes of a module."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
            found.add(node.name)
        if isinstance(node, ast.ClassDef):
            methods = [item for item in node.body if isinstance(item, ast.FunctionDef | ast.AsyncFunctionDef)]
            found |= {f"{node.name}.{method.name}" for method in methods}
    return found


def constants(path: Path) -> set[str]:
    """Return the numeric constants of a module, and the fields of its `...Limits` types."""
    found = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign) and isinstance(node.targets[0], ast.Name):
            name = node.targets[0].id
            is_text = isinstance(node.value, ast.Constant) and isinstance(node.value.value, str)
            is_number = isinstance(node.value, ast.Constant | ast.BinOp) and not is_text
            if is_number and name.isupper() and not name.startswith("_"):
                found.add(name)
        elif isinstance(node, ast.ClassDef) and node.name.endswith("Limits"):
            fields = [item.target for item in node.body if isinstance(item, ast.AnnAssign)]
            found |= {f"{node.name}.{field.id}" for field in fields if isinstance(field, ast.Name)}
    return found


def test_the_page_has_a_table_of_rules() -> None:
    assert len(RULES) > 30
    assert sum(line.startswith("| ---") for line in PAGE.splitlines()) == PAGE.count("| question |")


@pytest.mark.parametrize("rule", RULES, ids=lambda rule: rule.question.partition(":")[0].strip("*"))
def test_a_rule_names_existing_definitions(rule: Rule) -> None:
    assert rule.inputs
    assert rule.rule
    module, function = names(rule.function)
    assert function in definitions(ROOT / "anisespool" / module)
    file, _, test = names(rule.test)[0].partition("::")
    assert test in definitions(ROOT / file)
    for event in names(rule.log_event)[:1]:
        assert event in events_in_code()


def test_the_page_has_exactly_the_constants_of_the_rules() -> None:
    in_code = set().union(*(constants(ROOT / "anisespool" / module) for module in MODULES))
    on_page = {name for rule in RULES for name in names(rule.constants)}
    assert len(in_code) > 50
    assert on_page == in_code


def value(module: str, constant: str) -> float:
    """Return a constant's value, or the default of a field of a `...Limits` type."""
    name, _, field = constant.partition(".")
    found = getattr(import_module(f"anisespool.{module.removesuffix('.py').replace('/', '.')}"), name)
    return float(getattr(found(), field) if field else found)


@pytest.mark.parametrize("module", MODULES)
def test_a_constant_has_the_value_on_the_page(module: str) -> None:
    on_page = {
        name: float(Fraction(number.replace("_", "")))
        for rule in RULES
        for name, number in re.findall(r"`([^`]+)` ([^,\s]+)", rule.constants)
    }
    for name in constants(ROOT / "anisespool" / module):
        assert on_page[name] == value(module, name), name
