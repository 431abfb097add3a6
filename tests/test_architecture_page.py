"""docs/architecture.md names only modules that exist, and has a row for every package."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/architecture.md").read_text()


def test_every_named_module_exists() -> None:
    modules = set(re.findall(r"`([a-z_0-9/]+\.py)`", PAGE))
    assert len(modules) > 30
    folders = (ROOT, ROOT / "anisespool")
    missing = [module for module in modules if not any((folder / module).is_file() for folder in folders)]
    assert missing == []


def test_every_package_has_a_row() -> None:
    packages = {path.parent.name for path in (ROOT / "anisespool").glob("*/__init__.py")}
    rows = set(re.findall(r"^\| `([a-z_]+)/` \|", PAGE, re.MULTILINE))
    assert rows == packages
