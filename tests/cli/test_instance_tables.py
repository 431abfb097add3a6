"""Tables of instances, from the agent's reports and the instances' own descriptions."""

from __future__ import annotations

import pytest

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli import instance_tables
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.instance_views import InstanceDescription, parse_view
from tests.cli.support import DESCRIPTION, cells, printed


def test_the_row_of_a_reachable_instance_shows_its_uptime_and_generation() -> None:
    instance = pb.Instance(
        name="n0",
        reach=pb.REACH_ANSWERS,
        phase="serving",
        uptime_ms=5_400_000,
        generation=4,
        digest="abcdefghijk",
        standing="has",
        drained=["s-0", "s-1"],
    )
    row = cells(printed(instance_tables.instance_table([instance]))[4])
    assert row == ["n0", "answers", "serving", "1.5 h", "4 abcdefgh", "has", "s-0, s-1", ""]


def test_the_row_of_a_silent_instance_shows_the_reason_and_the_time_since_its_last_answer() -> None:
    instance = pb.Instance(name="n1", reach=pb.REACH_SILENT, detail="no answer", silent_ms=4200)
    row = cells(printed(instance_tables.instance_table([instance]))[4])
    assert row == ["n1", "silent", "", "", "", "", "", "no answer, silent for 4.2 s"]


def test_instance_details_show_properties_endpoints_and_final_responses() -> None:
    description = parse_view(DESCRIPTION, InstanceDescription, "n0")
    lines = printed(*instance_tables.instance_details(description))
    rows = [cells(line) for line in lines if line.startswith("│")]
    assert ["strain", "0.25"] in rows
    assert ["clients", "3 connections, 1 working"] in rows
    endpoint = ["s-1", "127.0.0.1:3", "draining", "here+fleet", "12.3 %", "12.35", "2.5", "1", "9", "3.25 s"]
    assert endpoint in rows
    assert ["look", "5", "1", "0", "2"] in rows


def test_properties_missing_from_an_older_instances_response_are_shown_empty() -> None:
    older = {key: value for key, value in DESCRIPTION.items() if key not in ("strain", "clients", "build")}
    lines = printed(*instance_tables.instance_details(parse_view(older, InstanceDescription, "n0")))
    rows = [cells(line) for line in lines if line.startswith("│")]
    assert ["strain", ""] in rows
    assert ["build", ""] in rows
    assert ["clients", "0 connections, 0 working"] in rows


def test_a_response_without_a_required_field_ends_the_command_with_one_line() -> None:
    response = {key: value for key, value in DESCRIPTION.items() if key != "endpoints"}
    with pytest.raises(CommandError, match=r"n0: not understood: .*`endpoints`") as error:
        parse_view(response, InstanceDescription, "n0")
    assert error.value.status is ExitStatus.FAILED
    assert "\n" not in str(error.value)
