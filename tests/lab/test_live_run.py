"""Runs with real processes: rules kept under faults, the model's requests, and the `lab` commands."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from anisespool.cli.main import main
from anisespool.lab import experiments, report
from anisespool.lab.experiments import Case
from anisespool.lab.live import live_run
from anisespool.lab.model import timeline
from anisespool.lab.model.arrivals import plan_client_requests
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.model.world import VIRTUAL_START_NS, World
from anisespool.lab.scenario import ScenarioError, from_raw
from tests.harness.void_runs import play_undisturbed

BUSY: dict[str, Any] = {
    "seconds": 3,
    "warm_s": 1,
    "sidecars": 2,
    "rules": {"cold_s": 1.0},
    "classes": [
        {"name": "look", "effect": "repeatable", "work_ms": 10},
        {"name": "send-one", "work_ms": 20, "work": "exponential"},
    ],
    "traffic": {"per_s": 150, "uneven": 0.5},
    "clients": {"tries": 2},
    "endpoints": [{"count": 3, "cores": 3}, {"count": 2, "cores": 3, "zone": 1}],
    "troubles": [
        {"kind": kind, "at_s": at_s, "for_s": 0.5, "endpoints": [endpoint], "size": size}
        for kind, at_s, endpoint, size in (
            ("reset", 0.3, 0, 1),
            ("kill", 0.5, 1, 1),
            ("restart", 1.0, 2, 1),
            ("slow", 1.2, 3, 3),
            ("fail", 1.4, 4, 0.5),
            ("pause", 1.8, 0, 1),
            ("drain", 2.0, 4, 1),
            ("traffic", 1.0, 0, 2),
        )
    ],
}
SIDECAR_KILLED = {"kind": "sidecar", "at_s": 1.5, "part": 1.0}


def test_real_processes_keep_the_rules_under_every_fault_and_get_the_models_requests() -> None:
    scenario = from_raw(BUSY | {"troubles": [*BUSY["troubles"], SIDECAR_KILLED]}, "busy")
    world = World(scenario, 3)
    model = world.run()
    result = asyncio.run(play_undisturbed(partial(live_run.play, scenario, 3, control=True)))
    assert (world.broken, result.broken) == ("", "")
    requested = sum(result.metrics.requested.values())
    assert requested > 400  # the model restarts a killed sidecar at once
    assert requested + result.skipped == sum(model.requested.values())
    assert result.metrics.attempts >= requested * 0.8
    assert len(result.backend.timeline) > 10
    assert len(result.backend.utilization) == 5
    for class_index in (0, 1):  # over half of them; the benchmark measures how many
        in_time = result.metrics.ended[class_index, "in_time"]
        assert in_time > result.metrics.requested[class_index] / 2


def drawn(client_request: ClientRequest, first: int = 0) -> tuple[int, int, int, int]:
    """The random values of a request, with its arrival counted from `first`."""
    return (
        client_request.arrived_at - first,
        client_request.class_index,
        client_request.work_ns,
        client_request.sidecar,
    )


def test_a_plan_contains_the_models_requests() -> None:
    bursts = [{"at_s": 1, "count": 20, "over_ms": 50, "every_s": 1}]
    scenario = from_raw(BUSY | {"bursts": bursts}, "busy")
    requests_of_model: list[tuple[int, int, int, int]] = []

    class RecordingWorld(World):
        def on_client_request(self, client_request: ClientRequest) -> None:
            requests_of_model.append(drawn(client_request, VIRTUAL_START_NS))
            super().on_client_request(client_request)

    assert RecordingWorld(scenario, 5).run().attempts
    assert requests_of_model == [
        drawn(client_request) for client_request in plan_client_requests(scenario, 5)
    ]


@pytest.mark.parametrize(
    ("raw", "text"),
    [
        ({"sidecars": 300}, "x: sidecars: found 300, wanted at most 200"),
        ({"sidecars": 90, "plays": "talkers"}, "x: sidecars: found 90, wanted at most 64"),
        ({"endpoints": [{"count": 201}]}, "x: endpoints: found 201, wanted at most 200"),
    ],
)
def test_a_scenario_that_is_too_large_for_real_processes_is_rejected(raw: dict[str, Any], text: str) -> None:
    with pytest.raises(ScenarioError) as error:
        live_run.check_limits(from_raw(raw, "x"), "x")
    assert text in str(error.value)


def test_a_report_is_self_contained_and_reproducible() -> None:
    scenario = from_raw(BUSY | {"asks": "Is <this> escaped?"}, "busy")
    runs = [
        experiments.run_with_timeline(Case(policy, scenario, policy, 1)) for policy in ("ours", "least-open")
    ]
    page = report.render_report("busy", runs)
    assert page == report.render_report("busy", runs)
    assert page.count("<svg") == len(report.DIAGRAMS)
    assert "Is &lt;this&gt; escaped?" in page
    assert "src=" not in page
    assert "@import" not in page
    assert 'href="http' not in page
    assert ">kill" in page.replace("> kill", ">kill")
    assert runs[1].name in page
    assert {row["class"] for row in timeline.class_rows(runs[0].metrics)} == {"look", "send-one"}


@dataclass(frozen=True)
class LabCommands:
    """Calls `anisespool lab` in this process."""

    monkeypatch: pytest.MonkeyPatch
    capsys: pytest.CaptureFixture[str]

    def run(self, *arguments: str) -> tuple[int, str]:
        """Run the command with these arguments; return its exit status and all output."""
        self.monkeypatch.setattr("sys.argv", ["anisespool", "lab", *arguments])
        status = main()
        out, err = self.capsys.readouterr()
        return status, out + err


@pytest.fixture
def lab(monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]) -> LabCommands:
    return LabCommands(monkeypatch, capsys)


@pytest.fixture
def short_scenario(tmp_path: Path) -> str:
    path = tmp_path / "short.toml"
    path.write_text("seconds = 1.0\nwarm_s = 0.5\n[traffic]\nper_s = 60.0\n")
    return str(path)


def test_lab_real_prints_the_figures_as_json(lab: LabCommands, short_scenario: str) -> None:
    status, printed = lab.run("real", short_scenario, "--json")
    assert status == 0, printed
    assert '"late_ms"' in printed


def test_lab_real_rejects_a_scenario_that_is_too_large(lab: LabCommands, tmp_path: Path) -> None:
    too_large = tmp_path / "too_large.toml"
    too_large.write_text("sidecars = 300\n")
    status, printed = lab.run("real", str(too_large))
    assert status == 2, printed
    assert "sidecars: found 300, wanted at most 200" in printed


def test_lab_report_shows_the_real_run_beside_the_model(
    lab: LabCommands, short_scenario: str, tmp_path: Path
) -> None:
    page = tmp_path / "page.html"
    status, printed = lab.run("report", short_scenario, "--file", str(page), "--json", "--with", "reality")
    assert status == 0, printed
    assert '"run": "reality"' in printed
    assert "reality: send-one" in page.read_text()


def test_lab_report_rejects_an_unknown_policy(lab: LabCommands, short_scenario: str, tmp_path: Path) -> None:
    page = str(tmp_path / "page.html")
    status, printed = lab.run("report", short_scenario, "--file", page, "--with", "nobody")
    assert status == 2, printed
    assert "no policy 'nobody'" in printed
