"""docs/glossary.md names only modules that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = (ROOT / "docs/glossary.md").read_text()
# Only the last column counts, as the last table has former names of modules in its first column.
CURRENT_NAMES = "\n".join(line.rpartition(" | ")[2] for line in PAGE.splitlines() if line.startswith("| "))
MODULES = sorted(set(re.findall(r"`([a-z0-9_]+(?:/[a-z0-9_]+)*\.py)`", CURRENT_NAMES)))
MODULES_BY_PACKAGE = re.findall(r"`([a-z/]+)`: ((?:`[a-z_]+`(?:, )?)+)", CURRENT_NAMES)


def test_the_page_names_modules() -> None:
    assert len(MODULES) > 50
    assert len(MODULES_BY_PACKAGE) == 4


@pytest.mark.parametrize("module", MODULES)
def test_a_named_module_exists(module: str) -> None:
    assert (ROOT / "anisespool" / module).is_file()


@pytest.mark.parametrize(("package", "modules"), MODULES_BY_PACKAGE)
def test_modules_that_are_named_by_package_exist(package: str, modules: str) -> None:
    for name in re.findall(r"[a-z_]+", modules):
        assert (ROOT / "anisespool" / package / f"{name}.py").is_file()
