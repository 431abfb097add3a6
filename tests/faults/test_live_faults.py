"""Faults of processes, machines and links in runs with real processes, and the command that runs them."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from anisespool.cli.main import main
from anisespool.lab import scenario
from anisespool.lab.live import live_run, process_account, timeline_svg
from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.history import History, join
from anisespool.lab.live.live_run import RunHandle
from anisespool.lab.live.process_account import OutageCause, ProcessAccount, ReportedEvent
from anisespool.lab.scenario import ScenarioError, from_raw
from tests.harness.void_runs import play_undisturbed

SMALL: dict[str, Any] = {
    "seconds": 3,
    "warm_s": 0.5,
    "sidecars": 3,
    "traffic": {"per_s": 60},
    "endpoints": [{"count": 2}, {"zone": 1}],
}
PROCESS_FAULTS = ("descriptors", "memory", "clock", "starve")  # one for each of sidecars 0 to 3
EXTRA_DESCRIPTORS = 4
MAX_CLOSED_MEANWHILE = 12  # descriptors closed between setting the limit and counting them


@dataclass(frozen=True)
class Descriptors:
    """The limit on a process's open files, and how many are open."""

    limit: int
    open: int

    @property
    def is_at_limit(self) -> bool:
        """Whether the number of open files is at the limit, or just below it."""
        return self.limit - MAX_CLOSED_MEANWHILE < self.open <= self.limit

    @classmethod
    def of(cls, pid: int) -> Descriptors:
        folder = Path(f"/proc/{pid}")
        match = re.search(r"^Max open files +(\d+)", (folder / "limits").read_text(), re.MULTILINE)
        assert match
        return cls(int(match[1]), len(list((folder / "fd").iterdir())))


def arrivals_between(history: History, begin_s: float, end_s: float) -> list[Arrival]:
    """Requests that endpoints received in the span."""
    return [arrival for arrival in history.arrivals if begin_s < history.second(arrival.received_at) < end_s]


def delivered_between(history: History, begin_s: float, end_s: float) -> list[Arrival]:
    """Requests that the network delivered in the span."""
    return [arrival for arrival in history.arrivals if begin_s < history.second(arrival.delivered_at) < end_s]


def assert_drawn_the_same_each_time(history: History) -> None:
    picture = timeline_svg.render(history)
    assert picture.startswith("<?xml")
    assert picture == timeline_svg.render(history)


def assert_written_in_order(history: History, path: Path) -> None:
    history.write(path)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["at_s"] for line in lines] == sorted(line["at_s"] for line in lines)
    assert any(line.get("fault") == "starve" for line in lines)


async def test_processes_are_limited_clock_shifted_starved_and_cut_off(tmp_path: Path) -> None:
    faults = [
        {
            "kind": kind,
            "sidecars": [sidecar],
            "at_s": 0.5,
            "for_s": 1.5,
            "size": EXTRA_DESCRIPTORS,
            "jump_s": -3600,
        }
        for sidecar, kind in enumerate(PROCESS_FAULTS)
    ]
    changes = {"sidecars": 4, "troubles": faults, "membership": {"delay_s": [0, 0.1]}}
    parsed = from_raw(SMALL | changes, "x")
    seen: list[Descriptors] = []

    async def inspect_and_cut(run: RunHandle) -> None:
        await run.until(1.0)
        seen.clear()  # drops the entries of a void run
        seen.append(Descriptors.of(run.members[0].pid))
        run.add_link({"at_s": 0, "for_s": 0.8, "from": "sidecar:1", "to": "endpoints", "cut": "refused"})

    result = await play_undisturbed(
        partial(live_run.play, parsed, 2, control=True, during_run=inspect_and_cut)
    )
    assert not result.broken
    assert [descriptors.is_at_limit for descriptors in seen] == [True], seen
    assert result.accounts[3].outages[0].cause is OutageCause.STARVED
    history = join(parsed, result)
    assert not any(arrival.sidecar == 1 for arrival in arrivals_between(history, 1.3, 1.7))
    assert any(arrival.sidecar == 1 for arrival in arrivals_between(history, 2.2, parsed.seconds + 1))
    assert_drawn_the_same_each_time(history)
    assert_written_in_order(history, tmp_path / "history")


async def test_machines_vanish_are_replaced_or_cut_off_and_responses_are_lost() -> None:
    faults = [
        {"kind": "vanish", "endpoints": [0], "at_s": 0.5, "for_s": 1},
        {"kind": "replace", "endpoints": [1], "at_s": 1, "for_s": 0.6},
        {"kind": "cut", "zone": 1, "at_s": 2.2, "for_s": 0.8},
        {"kind": "lossy", "endpoints": [2], "size": 0.3, "at_s": 1, "for_s": 1},
    ]
    changes = {
        "seconds": 4.5,
        "troubles": faults,
        "rules": {"cold_s": 2},
        "membership": {"delay_s": [0.05, 0.1]},
    }
    parsed = from_raw(SMALL | changes, "x")
    result = await play_undisturbed(partial(live_run.play, parsed, 6, control=True))
    assert not result.broken
    history = join(parsed, result)
    replaced, replacement = 1, 3
    assert any(arrival.endpoint == replacement for arrival in delivered_between(history, 1, 4.5))
    assert not any(arrival.endpoint == replaced for arrival in delivered_between(history, 2, 4.5))
    zones = parsed.sidecar_zones()
    assert not any(
        (arrival.zone == 1) != (zones[arrival.sidecar] == 1)
        for arrival in delivered_between(history, 2.3, 2.9)
    )


def test_the_events_of_a_member_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(process_account, "MAX_EVENTS", 5)
    account = ProcessAccount()
    for moment in range(4):
        account.add_events([ReportedEvent(moment, "x", {})] * 2)
    assert (len(account.events), account.dropped) == (5, 3)


@dataclass(frozen=True)
class FleetCommand:
    """Calls `anisespool lab fleet` in this process."""

    monkeypatch: pytest.MonkeyPatch
    capsys: pytest.CaptureFixture[str]

    def run(self, *arguments: str) -> tuple[int, str]:
        """Run the command with these arguments; return its exit status, and all output on one line."""
        self.monkeypatch.setattr("sys.argv", ["anisespool", "lab", "fleet", *arguments])
        status = main()
        out, err = self.capsys.readouterr()
        return status, " ".join((out + err).split())


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> FleetCommand:
    return FleetCommand(monkeypatch, capsys)


def write_scenario(folder: Path, wanted_share: float) -> str:
    """Write a scenario of a small fleet with a statement on the share served in time; return its path."""
    path = folder / "small.toml"
    path.write_text(
        "seconds = 1.5\nwarm_s = 0.5\nsidecars = 2\n[traffic]\nper_s = 40\n"
        f'[[statements]]\nsays = "served"\nshare = {wanted_share}\n'
    )
    return str(path)


def test_lab_fleet_prints_verdicts_and_writes_picture_and_history(
    fleet: FleetCommand, tmp_path: Path
) -> None:
    picture, history = tmp_path / "picture.svg", tmp_path / "history.jsonl"
    path = write_scenario(tmp_path, 0.5)
    status, printed = fleet.run(path, "--picture", str(picture), "--history", str(history))
    assert status == 0, printed
    assert "served from 0 to 1.5 s" in printed
    assert "<svg" in picture.read_text()
    assert history.read_text()


def test_lab_fleet_fails_when_a_rule_is_broken(fleet: FleetCommand, tmp_path: Path) -> None:
    status, printed = fleet.run(write_scenario(tmp_path, 0.5), "--spoilt", "forgets-some", "--json")
    assert status == 1, printed
    assert "was not answered in time" in printed


@pytest.mark.parametrize(
    ("share", "options", "text"),
    [
        (1.1, [], "share"),  # above the maximum of 1
        (0.5, ["--spoilt", "nothing"], "no break 'nothing', there are sound"),
        (0.5, ["--sidecars", "201"], "found 201, wanted at most 200"),
    ],
)
def test_lab_fleet_rejects_invalid_input(
    fleet: FleetCommand, tmp_path: Path, share: float, options: list[str], text: str
) -> None:
    status, printed = fleet.run(write_scenario(tmp_path, share), *options)
    assert status == 2, printed
    assert text in printed


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        ({"troubles": [{"kind": "freeze", "at_s": 0, "sidecars": [7]}]}, r"sidecars: found \[7\]"),
        ({"links": [{"at_s": 0, "for_s": 0}]}, "for_s"),
    ],
)
def test_an_invalid_fleet_scenario_is_rejected(raw: dict[str, Any], text: str) -> None:
    with pytest.raises(ScenarioError, match=text):
        from_raw(raw, "x")


def test_the_fleet_talk_scenario_runs_gossip_processes() -> None:
    assert scenario.load("fleet-talk").plays == "talkers"
