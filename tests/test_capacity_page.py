"""docs/capacity.md lists every constant of the decision module, with its value in the code."""

from __future__ import annotations

import ast
import inspect
import re
from importlib import import_module
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / "anisespool"
BALANCER = PACKAGE / "balancer"
SECTIONS = (ROOT / "docs/capacity.md").read_text().split("\n## ")
ROW = re.compile(r"^\| `(?P<name>[\w.]+)` \| `(?P<value>[^`]+)` \| `(?P<module>[\w/]+\.py)` \|", re.MULTILINE)
NOT_DECISION_MODULES = {"interface.py", "inspection.py"}


class Row(NamedTuple):
    """A row of the page: a constant and its value."""

    module: str
    """Path below `anisespool`."""
    name: str
    """The constant's name, or `Type.field` for a field's default."""
    value: float


def _rows(title: str, folder: str) -> list[Row]:
    (section,) = [section for section in SECTIONS if section.startswith(title)]
    return [
        Row(f"{folder}{row['module']}", row["name"], _number(row["value"])) for row in ROW.finditer(section)
    ]


def _number(text: str) -> float:
    numerator, _, denominator = text.partition(" / ")
    return float(numerator) / float(denominator or 1)


DECISION_ROWS = _rows("Constants of the decision module", "balancer/")
OTHER_ROWS = _rows("Constants of other packages", "")


def _import(module: str) -> ModuleType:
    return import_module("anisespool." + module.removesuffix(".py").replace("/", "."))


def _value(row: Row) -> object:
    name, _, field = row.name.partition(".")
    constant = getattr(_import(row.module), name)
    return inspect.signature(constant).parameters[field].default if field else constant


def _constants(path: Path) -> set[str]:
    """Return the names of a module's numeric constants, and of the defaults of its `...Limits` types."""
    module = _import(str(path.relative_to(PACKAGE)))
    names = set()
    for node in ast.parse(path.read_text()).body:
        if isinstance(node, ast.Assign):
            names |= {target.id for target in node.targets if isinstance(target, ast.Name)}
        elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            names.add(node.target.id)
    constants = {name for name in names if name.isupper() and not name.startswith("_")}
    found = {name for name in constants if isinstance(getattr(module, name), int | float)}
    for name, limits in inspect.getmembers(module, inspect.isclass):
        if name.endswith("Limits") and limits.__module__ == module.__name__:
            defaults = inspect.signature(limits).parameters.values()
            found |= {f"{name}.{field.name}" for field in defaults if isinstance(field.default, int | float)}
    return found


def _decision_modules() -> list[Path]:
    return [
        path
        for path in sorted(BALANCER.rglob("*.py"))
        if "simulator" not in path.parts
        and not path.name.startswith("settings")
        and path.name not in NOT_DECISION_MODULES
    ]


@pytest.mark.parametrize("row", [*DECISION_ROWS, *OTHER_ROWS], ids=lambda row: f"{row.module}:{row.name}")
def test_a_constant_has_the_value_on_the_page(row: Row) -> None:
    assert _value(row) == row.value


def test_every_row_of_the_page_is_parsed() -> None:
    constants, _, _ = "\n## ".join(SECTIONS).partition("\n## Targets and results")
    rows = [line for line in constants.splitlines() if re.match(r"\| `.*\.py` \|", line)]
    assert len(rows) == len(DECISION_ROWS) + len(OTHER_ROWS)


def test_every_constant_of_the_decision_module_is_on_the_page() -> None:
    in_code = {
        (str(path.relative_to(PACKAGE)), name) for path in _decision_modules() for name in _constants(path)
    }
    assert len(in_code) > 70
    assert sorted((row.module, row.name) for row in DECISION_ROWS) == sorted(in_code)
