"""Compares the model with real processes on six scenarios of the library, with the same requests in both.

Sidecars are real processes over loopback. A run whose clients sent their requests late is void, and
reported as such. The objective for each scenario: no rule is broken, and service and rejections differ by at
most 0.03.
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
MAX_DIFFERENCE = 0.03
"""Maximum difference of the shares of service and of rejections."""


def _load(name: str) -> Scenario:
    changes = [f"seconds={SECONDS}", f"warm_s={WARMUP_S}"]
    _, loaded = experiments.with_overrides(scenario.load(name), changes, name)
    return loaded


def _measure(report: Report) -> None:
    comparison = ModelComparison(MAX_DIFFERENCE)
    for name in SCENARIOS:
        loaded = _load(name)
        model = experiments.run_case(Case(name, loaded, "ours", SEED)).figures
        run = live.play_unless_void(report, name, loaded, SEED)
        if run is None:
            continue
        real = run.metrics.figures()
        _add_row(report, name, model, real, run)
        report.check_objective(not run.broken, f"{name}: {run.broken or 'rules kept'}")
        comparison.add(name, real, model)
        comparison.check_objectives(report, name)
    comparison.add_notes(report)


def _add_row(
    report: Report, name: str, model: dict[str, Any], real: dict[str, Any], run: LiveRunResult
) -> None:
    attempts = max(1, run.metrics.requests_sent)
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
        run.late_ms(),
        f"{1000 * sum(run.cpu_s) / attempts:.2f}",
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
