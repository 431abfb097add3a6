"""An agent continues from a database of an earlier version, and writes the same rows as that version.

A sidecar and an agent run as processes. data/agent_store/session.json has commands with their answers, and
the database as SQL after the last command. A command that only reads is repeated until its answer is the
recorded one, as the agent works in the background. For a command that follows a change, only the last line is
compared.
"""

from __future__ import annotations

import json
import os
import re
import shutil
import sqlite3
import time
from pathlib import Path
from typing import Any

import pytest

from tests.golden.support import DATA, TIMEOUT_S, normalize, run_command, running

STORE = DATA / "agent_store"
READ_COMMANDS = {"status", "list", "inspect", "peers"}
STREAMING_COMMANDS = {"apply", "rollback", "drain", "undrain"}
RECORDED_MS = range(1_785_286_800_000, 1_785_286_900_000)
"""Range of the Unix times in the recorded database."""


def run_agent_command(words: list[str]) -> dict[str, Any]:
    """Run one command against the agent, and return its exit status and normalized output."""
    result = run_command([*words, "--json", "--config", "operator.toml"])
    lines = [json.loads(line.replace(f"@{os.uname().nodename}", "@host")) for line in result.output]
    if words[0] in STREAMING_COMMANDS:
        lines = lines[-1:]
    if words[0] == "resume":
        lines = [add_sent_to_lacks(line) for line in lines]
    return {"status": result.status, "output": normalize_answer(lines), "error_lines": len(result.errors)}


def add_sent_to_lacks(progress: dict[str, Any]) -> dict[str, Any]:
    """Return a rollout's progress in which `lacks` includes the instances counted by `sent`.

    Whether the reconciler has sent the change before the answer depends on the speed of the machine.
    """
    return progress | {"lacks": progress["lacks"] + progress["sent"], "sent": 0}


def normalize_answer(value: Any) -> Any:
    """Return a normalized JSON value, with 0 for the times of changes that this test made."""
    text = json.dumps(normalize(value))
    text = re.sub(r'(?<="created_ms": )\d+', lambda found: keep_recorded_time(found[0]), text)
    return json.loads(text)


def keep_recorded_time(milliseconds: str) -> str:
    """Return a time of the recorded database unchanged, and 0 for any other."""
    return milliseconds if int(milliseconds) in RECORDED_MS else "0"


def dump(path: Path) -> list[str]:
    """Return the database's header and its SQL, without the times, host and boot numbers of this test."""
    database = sqlite3.connect(path)
    header = [
        f"{name} {database.execute(f'PRAGMA {name}').fetchone()[0]}"
        for name in ("application_id", "user_version", "journal_mode")
    ]
    lines = [*header, *database.iterdump()]
    database.close()
    text = "\n".join(lines).replace(f"@{os.uname().nodename}", "@host")
    text = re.sub(r"\b\d{13}\b", lambda found: keep_recorded_time(found[0]), text)
    return re.sub(r"('n0',)'[^']+'", r"\1'<boot>'", text).splitlines()


def test_an_agent_continues_from_an_earlier_database(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    session = json.loads((STORE / "session.json").read_text())
    monkeypatch.chdir(tmp_path)
    monkeypatch.setenv("LOGNAME", "ana")
    state = tmp_path / "state"
    state.mkdir(mode=0o700)
    shutil.copy(STORE / "agent.db", state)
    (tmp_path / "change.toml").write_text(session["change.toml"])
    socket = tmp_path / "sockets" / "n0.sock"
    with running(["sidecar"], tmp_path, socket), running(["agent"], tmp_path, state / "agent.sock") as agent:
        for step in session["steps"]:
            found = run_agent_command(step["words"])
            deadline = time.monotonic() + TIMEOUT_S
            while (
                step["words"][0] in READ_COMMANDS and found != step["answer"] and time.monotonic() < deadline
            ):
                time.sleep(0.1)
                found = run_agent_command(step["words"])
            assert found == step["answer"], step["words"]
        agent.terminate()
        assert agent.wait(TIMEOUT_S) == 0
    assert dump(state / "agent.db") == session["database"]


def test_a_new_database_has_the_recorded_tables(tmp_path: Path) -> None:
    """The database is the one that an agent creates when it has none."""
    (tmp_path / "state").mkdir(mode=0o700)
    with running(["agent"], tmp_path, tmp_path / "state" / "agent.sock"):
        found = dump(tmp_path / "state" / "agent.db")
    assert found == json.loads((STORE / "session.json").read_text())["new_database"]
