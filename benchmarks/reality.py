"""The model beside real processes: six scenarios of the library, the same requests in both.

Sidecars are real processes over loopback; a run whose clients were late themselves is void and says so. The
objective for each scenario: no rule broken, and service and rejections at most 0.03 apart.
"""

from __future__ import annotations

from typing import Any

from anisespool.lab import experiments, scenario
from anisespool.lab.experiments import Case
from anisespool.lab.live.live_run import LiveRunResult
from anisespool.lab.scenario import Scenario
from benchmarks import live
from benchmarks.model_comparison import ModelComparison
from benchmarks.report import Report
from benchmarks.runner import Benchmark

SCENARIOS = ("site", "slow-fifth", "failing-fifth", "match-night", "resets", "burst-fits")
SECONDS = 20.0
WARMUP_S = 4.0
SEED = 1
MAX_DIFFERENCE = 0.03  # of service and of rejections


def _load(name: str) -> Scenario:
    changes = [f"seconds={SECONDS}", f"warm_s={WARMUP_S}"]
    _, loaded = experiments.vary(scenario.load(name), changes, name)
    return loaded


def _measure(report: Report) -> None:
    comparison = ModelComparison(MAX_DIFFERENCE)
    for name in SCENARIOS:
        loaded = _load(name)
        model = experiments.one(Case(name, loaded, "ours", SEED)).figures
        played = live.play_unless_void(report, name, loaded, SEED)
        if played is None:
            continue
        real = played.metrics.figures()
        _add_row(report, name, model, real, played)
        report.check_objective(not played.broken, f"{name}: {played.broken or 'rules kept'}")
        comparison.add(name, real, model)
        comparison.check_objectives(report, name)
    comparison.add_notes(report)


def _add_row(
    report: Report, name: str, model: dict[str, Any], real: dict[str, Any], played: LiveRunResult
) -> None:
    attempts = max(1, played.metrics.requests_sent)
    report.add_row(
        name,
        real["asked"],
        f"{model['service']:.3f}",
        f"{real['service']:.3f}",
        100 * model["refused"],
        100 * real["refused"],
        model["p50_ms"],
        real["p50_ms"],
        model["p99_ms"],
        real["p99_ms"],
        played.late_ms(),
        f"{1000 * sum(played.cpu_s) / attempts:.2f}",
    )


BENCHMARK = Benchmark(
    f"The model and real processes, {SECONDS:g} s each",
    (
        "scenario",
        "asked",
        "service",
        "real",
        "refused %",
        "real",
        "p50 ms",
        "real",
        "p99 ms",
        "real",
        "sent late ms",
        "CPU ms a try",
    ),
    _measure,
)
