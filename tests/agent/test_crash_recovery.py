"""The agent is killed at each crash point. Its successor reports the current statuses and continues."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

import pytest

from anisespool.agent.crash_points import CrashPoint
from tests.agent.conftest import ProcessFleetFactory
from tests.agent.harness import accept_changes, reject_changes
from tests.config.test_operator_file import VALID_OPERATOR_FILE
from tests.harness.waiting import wait_until


@pytest.mark.parametrize(
    ("point", "count"),
    [(point, 1) for point in CrashPoint if point < CrashPoint.DRAIN_RECORDED]
    + [
        (CrashPoint.WAVE_RECORDED, 2),
        (CrashPoint.SENDING, 3),
        (CrashPoint.ANSWERED, 4),
        (CrashPoint.CONFIRMED, 5),
    ],
)
async def test_after_a_crash_in_a_change_the_next_agent_completes_it(
    tmp_path: Path, process_fleet: ProcessFleetFactory, point: CrashPoint, count: int
) -> None:
    change = tmp_path / "change.toml"
    change.write_text("[connections]\nrest_ms = 3.0\n")
    async with process_fleet() as fleet:
        await fleet.start_instances()
        await fleet.start_crashing_agent(point, count)
        await fleet.run_command("apply", str(change), "--wave", "2")
        await fleet.wait_for_crash()
        up_to_date = {instance.name for instance in fleet.instances if instance.generation}
        # The others reject the change, so that the first status shows what the killed agent had delivered.
        for instance in fleet.instances:
            if not instance.generation:
                reject_changes(instance, "wait")
        await fleet.start_agent()
        while not (report := await fleet.reported_up_to_date()):
            pass
        assert {name for name, is_up_to_date in report.items() if is_up_to_date} == up_to_date
        outdated = {instance.name for instance in fleet.instances} - up_to_date
        while outdated and await fleet.newest_change_state() != "paused":
            pass
        for instance in fleet.instances:
            accept_changes(instance)
        if outdated:
            assert (await fleet.run_command("resume"))[0] == 0
        await wait_until(lambda: all(instance.generation == 1 for instance in fleet.instances))
        # Each instance applies the change once, however often it is sent.
        assert all(instance.applied_generations == [1] for instance in fleet.instances)
        while not all((await fleet.reported_up_to_date()).values()):
            pass


@pytest.mark.parametrize(
    ("point", "count"),
    [(CrashPoint.DRAIN_RECORDED, 1), (CrashPoint.DRAIN_DELIVERED, 1), (CrashPoint.DRAIN_DELIVERED, 3)],
)
async def test_after_a_crash_in_a_drain_the_next_agent_completes_it(
    process_fleet: ProcessFleetFactory, point: CrashPoint, count: int
) -> None:
    async with process_fleet() as fleet:
        await fleet.start_instances()
        await fleet.start_crashing_agent(point, count)
        await fleet.run_command("drain", "s-1")
        await fleet.wait_for_crash()
        await fleet.start_agent()
        await wait_until(lambda: all(instance.drained == ["s-1"] for instance in fleet.instances))


# Arguments, exit status and a part of the output of each command, in the order of execution. {change},
# {invalid} and {missing} stand for files.
COMMANDS = [
    (("list",), 0, '"i1"'),
    (("list", "x*"), 1, "no instance matches 'x*'"),
    (("apply", "{change}", "--dry-run"), 3, '"refused": 1'),
    (("apply", "{invalid}"), 2, "control: found in a live change"),
    (("apply", "{missing}"), 2, "No such file"),
    (("apply", "{change}", "--wave", "x"), 2, "anisespool --help"),
    (("apply", "{change}", "--base", "7"), 1, "status"),
    (("apply", "{change}", "--wave", "1"), 3, "paused"),
    (("status",), 3, '"i1: no"'),
    (("abort",), 0, "aborted"),
    (("drain", "e-1", "--instance", "i0"), 0, '"settled": true'),
    (("drain", "e-1", "--instance", "nobody"), 1, "nobody"),
    (("inspect", "i0"), 0, '"generation": 1'),
    (("retire", "i0", "nobody"), 3, "no such instance"),
    (("rollback", "--wave", "1"), 3, '"generation": 2'),
    (("fly",), 2, "fly"),
]


async def test_the_output_and_exit_status_of_the_commands(
    tmp_path: Path, process_fleet: ProcessFleetFactory
) -> None:
    files = {name: tmp_path / f"{name}.toml" for name in ("change", "invalid", "missing")}
    files["change"].write_text("[members]\n")
    files["invalid"].write_text(VALID_OPERATOR_FILE)
    async with process_fleet() as fleet:
        status, lines = await fleet.run_command("list")
        assert status == 4
        assert "anisespool agent --config" in lines[0]
        accepting, rejecting = fleet.instances[:2]
        await asyncio.gather(accepting.start(), rejecting.start())
        reject_changes(rejecting, "no")
        await fleet.start_agent()
        for arguments, expected_status, text in COMMANDS:
            status, lines = await fleet.run_command(*(argument.format(**files) for argument in arguments))
            output = json.dumps(lines).replace('\\"', '"')
            assert (status, text in output) == (expected_status, True), (arguments, lines)
        command = ["-m", "anisespool", "status", "--config", str(fleet.operator_file)]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *command, stdout=asyncio.subprocess.PIPE
        )
        stdout, _ = await process.communicate()
        assert "Instances" in stdout.decode()  # title of the table of instances with their statuses
        assert process.returncode == 3
