"""Commands whose answers scripts read: exit status, `--json` output and errors are as recorded.

data/commands.json has a row for each command. `errors` is compared where operators act on the exact line (an
invalid operator's file), otherwise only the number of lines. VOLATILE_KEYS are not compared: the duration of
a search, and the `key` of a lab's result, which is a digest that includes the code.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path
from typing import Any

import pytest

from tests.golden.support import DATA, run_command

VOLATILE_KEYS = {"key", "seconds"}
COMMANDS = json.loads((DATA / "commands.json").read_text())


def title(row: dict[str, Any]) -> str:
    """Return the name of a row in pytest's report."""
    return " ".join(row.get("name", row["words"]))


@pytest.mark.parametrize("row", COMMANDS, ids=title)
def test_a_command_gives_the_recorded_answer(
    row: dict[str, Any], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ("records.log", "found_fault.json", "lab_scenario.toml"):
        shutil.copy(DATA / name, tmp_path)
    (tmp_path / "wrong.toml").write_text(row.get("wrong.toml", ""))
    monkeypatch.chdir(tmp_path)
    result = run_command(row["words"])
    assert result.status == row["status"]
    assert [comparable(line) for line in result.output] == row["output"]
    assert len(result.errors) == row["error_lines"]
    assert result.errors == row.get("errors", result.errors)


def comparable(line: str) -> dict[str, Any]:
    """Return a line of JSON without the volatile keys."""
    return {key: value for key, value in json.loads(line).items() if key not in VOLATILE_KEYS}
