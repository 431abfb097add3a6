"""Membership of real sidecars with faults between them, judged by the network and by members' views."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from anisespool.cli import membership_matrix
from anisespool.cli.instance_views import MembershipView, parse_view
from anisespool.config.operator import MembershipOptions
from anisespool.fakes import control_client
from anisespool.lab.live import live_run, statements
from anisespool.lab.live.history import History, join
from anisespool.lab.live.live_run import LiveRunResult, RunHandle
from anisespool.lab.live.sidecar_process import SidecarProcess
from anisespool.lab.scenario import from_raw
from anisespool.membership.service import MembershipService
from tests.cli.support import PEERS
from tests.harness.void_runs import play_all, play_undisturbed

SEED = 3
AT_ONCE = 6
MIN_DELIVERED = 500  # a run with fewer delivered datagrams proves nothing
UDP_PAYLOAD_MARKER = 0xA5  # the first byte of a datagram of the protocol
BASE: dict[str, Any] = {
    "seconds": 11,
    "warm_s": 3,
    "sidecars": 9,
    "talk": True,
    "endpoints": [{"count": 2, "zone": zone} for zone in range(3)],
    "traffic": {"per_s": 30},
    "membership": {"delay_s": [0.05, 0.1]},
}
NONE_DEAD: dict[str, Any] = {"says": "none-dead-that-answers"}
VIEWS_AGREE: dict[str, Any] = {"says": "views-agree", "of": "members"}
GOSSIP_LINK: dict[str, Any] = {"carries": "talk", "at_s": 0.5}
LONG_FREEZE = "frozen for longer than the suspicion time"
ROLLING_RESTART = "rolling restart"
CASES: dict[str, dict[str, Any]] = {
    "no fault": {"statements": [NONE_DEAD, VIEWS_AGREE]},
    "one path is cut in one direction": {
        "links": [GOSSIP_LINK | {"for_s": 10, "from": "sidecar:0", "to": "sidecar:1", "cut": "silent"}],
        "statements": [NONE_DEAD, VIEWS_AGREE],
    },
    "one receives nothing for a moment": {
        "links": [GOSSIP_LINK | {"for_s": 1.2, "from": "all", "to": "sidecar:4", "cut": "silent"}],
        "statements": [NONE_DEAD, VIEWS_AGREE | {"from_s": 6}],
    },
    "a zone is cut off for a while": {
        "links": [
            GOSSIP_LINK | {"for_s": 5, "from": "zone:1", "to": "!zone:1", "both": True, "cut": "silent"}
        ],
        "statements": [VIEWS_AGREE | {"from_s": 10.5}, {"says": "served", "share": 0.95}],
    },
    "loss, delay, duplicates, reordering": {
        "links": [
            GOSSIP_LINK
            | {"for_s": 9, "loss": 0.1, "delay_ms": 5, "spread_ms": 40, "duplicate": 0.2, "reorder": 0.2}
        ],
        "statements": [NONE_DEAD, VIEWS_AGREE | {"from_s": 10.8}],
    },
    "corrupt datagrams": {
        "links": [GOSSIP_LINK | {"for_s": 9, "corrupt": 0.3}],
        "statements": [NONE_DEAD, VIEWS_AGREE | {"from_s": 10.8}],
    },
    "frozen for less than the suspicion time": {
        "troubles": [{"kind": "freeze", "sidecars": [2, 5], "at_s": 1, "for_s": 1.6}],
        "statements": [NONE_DEAD, VIEWS_AGREE | {"from_s": 5}],
    },
    LONG_FREEZE: {
        "troubles": [{"kind": "freeze", "sidecars": [2], "at_s": 1, "for_s": 5}],
        "statements": [NONE_DEAD | {"from_s": 6.2}, VIEWS_AGREE | {"from_s": 10}],
    },
    "two are killed": {
        "troubles": [{"kind": "down", "sidecars": [1, 7], "at_s": 1, "for_s": 99}],
        "statements": [{"says": "gone-known", "from_s": 6}, VIEWS_AGREE | {"from_s": 6}],
    },
    "one is killed and restarts at once": {
        "troubles": [{"kind": "down", "sidecars": [6], "at_s": 1, "for_s": 0.5}],
        "statements": [NONE_DEAD | {"from_s": 2}, VIEWS_AGREE | {"from_s": 8}],
    },
    ROLLING_RESTART: {
        "troubles": [{"kind": "roll", "at_s": 0.5, "spread_s": 4}],
        "statements": [VIEWS_AGREE | {"from_s": 10.5}],
    },
    "seven of nine are killed": {
        "troubles": [{"kind": "down", "sidecars": [0, 1, 2, 3, 4, 5, 6], "at_s": 1, "for_s": 99}],
        "statements": [{"says": "gone-known", "from_s": 9}, VIEWS_AGREE | {"from_s": 9}],
    },
}


@dataclass(frozen=True)
class MembershipRun:
    """The result of a run, and its history."""

    result: LiveRunResult
    history: History


async def play(case: dict[str, Any]) -> MembershipRun:
    scenario = from_raw(BASE | case, "members")
    result = await live_run.play(scenario, SEED, control=True)
    return MembershipRun(result, join(scenario, result))


@pytest.fixture(scope="module")
def runs() -> Mapping[str, MembershipRun]:
    """All runs by the name of their case, a few at a time."""
    print(f"seed {SEED}")
    plays = [partial(play, case) for case in CASES.values()]
    return dict(zip(CASES, asyncio.run(play_all(plays, AT_ONCE)), strict=True))


@pytest.mark.parametrize("name", CASES)
def test_members_agree_on_who_is_alive(name: str, runs: Mapping[str, MembershipRun]) -> None:
    run = runs[name]
    assert not run.result.broken
    verdicts = statements.judge(run.history)
    assert all(verdict.holds for verdict in verdicts), [verdict for verdict in verdicts if not verdict.holds]
    datagrams = run.result.backend.datagrams
    assert datagrams.delivered > MIN_DELIVERED
    assert not datagrams.oversized


def test_a_frozen_member_is_declared_dead_and_reports_its_pause(
    runs: Mapping[str, MembershipRun],
) -> None:
    events = runs[LONG_FREEZE].history.events
    assert any(event.kind == "paused" and event.member == 2 for event in events)
    assert any(event.kind == "dead" and event.fields["member"] == 2 for event in events)


def test_members_in_a_rolling_restart_leave_and_are_not_declared_dead(
    runs: Mapping[str, MembershipRun],
) -> None:
    events = runs[ROLLING_RESTART].history.events
    assert not any(event.kind == "dead" for event in events)
    assert any(event.kind == "left" for event in events)


def first_sidecar(run: RunHandle) -> SidecarProcess:
    sidecar = run.members[0]
    assert isinstance(sidecar, SidecarProcess)
    return sidecar


async def test_membership_is_not_loaded_if_the_settings_forbid_it() -> None:
    """The operator's file enables it."""
    inspected = False

    async def inspect(run: RunHandle) -> None:
        nonlocal inspected
        sidecar = first_sidecar(run)
        assert "membership_disabled setting=allowed.peers" in sidecar.log_path.read_text()
        udp_sockets = Path(f"/proc/{sidecar.pid}/net/udp").read_text()
        assert f":{sidecar.address.port:04X} " not in udp_sockets
        assert sidecar.control_socket
        status, answer = await control_client.call(sidecar.control_socket, "/v1/peers")
        assert status == 404
        assert answer["error"]["code"] == "unknown-verb"
        inspected = True

    scenario = from_raw(
        BASE | {"seconds": 1, "warm_s": 0.2, "sidecars": 1, "talk": False, "peers": True}, "x"
    )
    result = await play_undisturbed(partial(live_run.play, scenario, 1, control=True, during_run=inspect))
    assert inspected
    assert result.backend.datagrams.sent == [0]


async def start_command(*arguments: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "anisespool",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        env=os.environ | {"COLUMNS": "200"},
    )


async def run_command(*arguments: str) -> tuple[int | None, str]:
    """Run `anisespool` with these arguments; return its exit status and standard output."""
    process = await start_command(*arguments)
    output, _ = await process.communicate()
    return process.returncode, output.decode()


@asynccontextmanager
async def running_agent(sidecar: SidecarProcess) -> AsyncIterator[str]:
    """Run an agent of all sidecars of the run; yield the path of its configuration file."""
    assert sidecar.control_socket
    sockets = sidecar.control_socket.parent
    state = sockets.parent / "state"
    file = sockets.parent / "agent.toml"
    file.write_text(f'[control]\nfolder = "{sockets}"\n[agent]\nstate = "{state}"\n')
    agent = await start_command("agent", "--config", str(file))
    try:
        while not (state / "agent.sock").exists():
            await asyncio.sleep(0.05)
        yield str(file)
    finally:
        agent.kill()
        await agent.wait()


async def test_the_matrix_shows_who_sees_whom_and_a_path_that_is_cut() -> None:
    """The views pass through control sockets, the agent and the command."""
    printed: list[tuple[int | None, str]] = []

    async def call_commands(run: RunHandle) -> None:
        async with running_agent(first_sidecar(run)) as file:
            await run.until(2.5)  # every other member has been probed since the cut
            printed.clear()  # drops the output of a void run
            printed.append(await run_command("peers", "--config", file))
            printed.append(await run_command("peers", "--config", file, "--json"))

    cut = GOSSIP_LINK | {"for_s": 6, "at_s": 0, "from": "sidecar:0", "to": "sidecar:1", "cut": "silent"}
    scenario = from_raw(BASE | {"sidecars": 4, "seconds": 6, "links": [cut]}, "x")
    result = await play_undisturbed(
        partial(live_run.play, scenario, 2, control=True, during_run=call_commands)
    )
    assert not result.broken
    (status, table), (_, json_lines) = printed
    assert status == 0
    assert "all of one view" in table
    assert "Who sees whom" in table
    views = [json.loads(line) for line in json_lines.splitlines()]
    assert [view["name"] for view in views] == ["n0", "n1", "n2", "n3"]
    assert views[0]["alive"] == [0, 1, 2, 3]
    assert views[0]["around"] == [1]
    marks = [membership_matrix.member_marks(parse_view(view, MembershipView, "")) for view in views]
    assert marks[0] == "o/.."
    assert marks[2] == "..o."


def test_member_marks_show_every_state() -> None:
    view = parse_view(PEERS, MembershipView, "a")
    assert membership_matrix.member_marks(view) == "./o?x- "


def test_the_matrix_names_views_that_differ_and_members_without_one() -> None:
    first = parse_view(PEERS, MembershipView, "a")
    changes = {"suspect": [], "gone": [3, 4], "cut_off": False}
    second = parse_view(PEERS | changes, MembershipView, "b")
    *_, summary, missing = membership_matrix.render({"a": first, "b": second}, {"c": "talks to nobody"})
    assert "2 views differ" in str(summary)
    assert str(missing) == "c: talks to nobody"


@contextmanager
def bound_udp_socket() -> Iterator[socket.socket]:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        yield sock


def address_of(sock: socket.socket) -> str:
    return "{}:{}".format(*sock.getsockname())


async def test_the_service_waits_for_an_address_that_the_previous_process_still_holds(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """At a restart the old process may hold the address a moment longer; no request waits for it."""
    with bound_udp_socket() as previous, bound_udp_socket() as peer:
        path = tmp_path / "config.json"
        listen = address_of(previous)
        path.write_text(json.dumps({"peer_listen": listen, "peers": [listen, address_of(peer)]}))
        config = SimpleNamespace(path=str(path), seed=1, settings=SimpleNamespace(self_index=0))
        service = MembershipService(config, MembershipOptions(), lambda event: None)  # type: ignore[arg-type]
        service.start()
        assert service.describe()["datagrams"] == {}
        previous.close()
        while not service.describe()["datagrams"].get("sent"):
            await asyncio.sleep(0.01)
        await service.stop()
        assert capsys.readouterr().err.count("membership_bind_failed") == 1
        assert peer.recv(300)[0] == UDP_PAYLOAD_MARKER
