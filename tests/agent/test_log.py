"""The agent logs in the format of a sidecar: logfmt on standard error, one event per line."""

from __future__ import annotations

import json
import re
from pathlib import Path

import pytest

from anisespool.log import MAX_LINE_CHARACTERS
from tests.agent.conftest import ProcessFleetFactory
from tests.agent.harness import AgentHarness, apply
from tests.harness.log_lines import without_time
from tests.harness.waiting import wait_until

LOGFMT_LINE = re.compile(r'[a-z_]+( [a-z_]+=([^ "=\\]+|"([^"\\]|\\.)*"))*')


class LogReader:
    """Reads the lines, less their times, that this process has logged since the start of the test."""

    def __init__(self, capture: pytest.CaptureFixture[str]) -> None:
        self._capture = capture
        self._text = ""

    def lines(self) -> list[str]:
        self._text += self._capture.readouterr().err
        return [without_time(line) for line in self._text.splitlines()]


def http_error(text: str) -> bytes:
    """Return a response of the control protocol that reports an error."""
    body = json.dumps({"version": 1, "error": {"code": "fault", "text": text}}).encode()
    return b"HTTP/1.1 500 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize(
    ("response", "line"),
    [
        (b"what?\r\n\r\n", 'change=strange error="no answer of an instance: not HTTP/1.1"'),
        (http_error("busy"), "change=strange error=busy"),
        (http_error('"a=b"\ntwo'), r'change=strange error="\"a=b\"\ntwo"'),
        (http_error("x" * 1000), f"change=strange error={'x' * 200}"),
    ],
    ids=["not HTTP", "one word", "quotes and newline", "too long"],
)
async def test_an_event_of_an_instance_is_logged_as_one_line(
    harness: AgentHarness, capfd: pytest.CaptureFixture[str], response: bytes, line: str
) -> None:
    log = LogReader(capfd)
    async with harness.agent_with_instances(1):
        found = 'instance_changed instance=i0 change=found error=""'
        await wait_until(lambda: log.lines() == [found])
        harness.instances["i0"].faults.raw_response = response
        await wait_until(lambda: len(log.lines()) > 1)
        assert log.lines() == [found, f"instance_changed instance=i0 {line}"]


async def test_all_log_lines_of_a_rollout_are_logfmt_of_bounded_length(
    harness: AgentHarness, capfd: pytest.CaptureFixture[str]
) -> None:
    log = LogReader(capfd)
    async with harness.agent_with_instances(3) as stub:
        harness.instances["i1"].faults.is_silent = True
        assert (await apply(stub)).unreachable == 1
        await harness.instances["i2"].restart()
        await wait_until(lambda: any("change=restarted" in line for line in log.lines()))
    lines = log.lines()
    assert len(lines) >= 4
    for line in lines:
        assert LOGFMT_LINE.fullmatch(line), line
        assert len(line) <= MAX_LINE_CHARACTERS


async def test_the_program_logs_only_that_it_is_ready(
    tmp_path: Path, process_fleet: ProcessFleetFactory
) -> None:
    async with process_fleet() as fleet:
        await fleet.start_agent()
        log_file = tmp_path / "agent.log"
        await wait_until(lambda: log_file.read_text() != "")
        (line,) = log_file.read_text().splitlines()
    assert without_time(line) == "agent_ready"
