"""All processes of a run end with it, however it ends, and no others do."""

from __future__ import annotations

import asyncio
import io
import os
import signal
import subprocess
import sys
from pathlib import Path

from anisespool.lab.live.process_supervisor import ProcessSupervisor, kill_marked_at_end, marked_processes
from tests.harness.waiting import wait_until

LONG_SCENARIO = """
seconds = 60.0
sidecars = 3
[traffic]
per_s = 20.0
[[troubles]]
kind = "freeze"
sidecars = [1]
at_s = 0.0
for_s = 50.0
"""
CHILDREN = 5  # supervisor, endpoints and three sidecars
PARENT_FIELD = 1  # index in /proc/PID/stat, counted from the field after the command's name
STATE_FIELD = 0


def children_of(parent: int) -> list[int]:
    """The child processes of a process that still run."""
    children = []
    for folder in Path("/proc").iterdir():
        if not folder.name.isdigit():
            continue
        try:
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
        except OSError:
            continue
        if int(fields[PARENT_FIELD]) == parent and fields[STATE_FIELD] != "Z":
            children.append(int(folder.name))
    return children


def command_of(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/cmdline").read_bytes().decode().split("\0")[:-1]


def find_supervisor(run: int) -> int:
    module = "anisespool.lab.live.process_supervisor"
    (supervisor,) = (child for child in children_of(run) if module in command_of(child))
    return supervisor


async def test_no_process_is_left_when_the_run_itself_is_killed(tmp_path: Path) -> None:
    scenario = tmp_path / "long.toml"
    scenario.write_text(LONG_SCENARIO)
    command = (sys.executable, "-m", "anisespool", "lab", "fleet", str(scenario), "--json")
    run = await asyncio.create_subprocess_exec(*command)
    await wait_until(lambda: len(children_of(run.pid)) == CHILDREN)  # the last sidecar has just started
    supervisor = find_supervisor(run.pid)
    mark = command_of(supervisor)[-1]
    assert len(marked_processes(mark)) == CHILDREN - 1
    os.kill(marked_processes(mark)[-1], signal.SIGSTOP)
    run.kill()
    await run.wait()
    await wait_until(lambda: not marked_processes(mark))
    await wait_until(lambda: not Path(f"/proc/{supervisor}/exe").exists())


def test_a_supervisor_kills_only_its_own_processes() -> None:
    own, other = ProcessSupervisor(), ProcessSupervisor()
    own_process = subprocess.Popen(["sleep", "60"], env=own.env)
    other_process = subprocess.Popen(["sleep", "60"], env=other.env)
    kill_marked_at_end(own.mark, io.StringIO())
    assert own_process.wait() == -signal.SIGKILL
    assert other_process.poll() is None
    other_process.kill()
    other_process.wait()
