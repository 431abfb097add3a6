"""A void run of real processes counts as a missed objective and does not raise."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.lab.live import live_run
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import from_raw
from benchmarks import live, request
from benchmarks.report import Report


async def void_run(*_: Any, **__: Any) -> live_run.LiveRunResult:
    raise VoidError("sent 24.6 ms late")


def test_a_void_run_is_a_missed_objective(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(live_run, "play", void_run)
    report = Report("Runs", ("scenario",))
    assert live.play_unless_void(report, "site", from_raw({}, "site"), seed=1) is None
    assert report.missed_objectives == ["site: void: sent 24.6 ms late"]


def test_a_void_run_of_a_pair_is_a_missed_objective(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(live_run, "play", void_run)
    assert request.BENCHMARK.run().missed_objectives == ["void: sent 24.6 ms late"]
