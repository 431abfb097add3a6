"""Runs many real processes under faults: 200 sidecars, 60 endpoints and five zones on one machine.

In a large run, a zone is cut off, a third of the sidecars is killed and restarted, and endpoints are drained.
Then `datagram_links` measures the network against its configured faults. Last, four scenarios with faults
compare the model with real processes. Rules are checked by the endpoints' counts. Objectives: no rule is
broken, every statement of a scenario holds, the large run is ready within 60 s and finished within 150 s, and
service and rejections of model and processes differ by at most 0.03.
"""

from __future__ import annotations

import time
from typing import Any

from anisespool.lab import experiments, scenario
from anisespool.lab.experiments import Case
from anisespool.lab.live import statements
from anisespool.lab.live.history import join
from anisespool.lab.live.live_run import LiveRunResult
from anisespool.lab.live.statements import Verdict
from anisespool.lab.scenario import Scenario
from benchmarks import live
from benchmarks.datagram_links import measure_links
from benchmarks.model_comparison import ModelComparison
from benchmarks.report import Cell, Report
from benchmarks.runner import Benchmark

SEED = 1
LARGE_RUN = "fleet-many"
COMPARED = ("fleet-zone-cut", "fleet-rough-ways", "fleet-pauses", "fleet-kills")
MAX_DIFFERENCE = 0.03
"""Maximum difference of the shares of service and of rejections between model and processes."""
MAX_READY_S = 60.0
MAX_TOTAL_S = 150.0
COMPARISON_COLUMNS = (
    "scenario",
    "asked",
    "service",
    "real",
    "refused %",
    "real",
    "failed %",
    "real",
    "statements",
    "sent late ms",
)


def _check_statements(report: Report, name: str, verdicts: list[Verdict]) -> None:
    for verdict in verdicts:
        report.check_objective(verdict.holds, f"{name}: {verdict.statement}: {verdict.figure}")


def _measure_large_run(report: Report) -> None:
    loaded = scenario.load(LARGE_RUN)
    start = time.monotonic()
    run = live.play_unless_void(report, LARGE_RUN, loaded, SEED, control=True)
    total_s = time.monotonic() - start
    if run is None:
        return
    _add_large_run(report, loaded, run, total_s)
    report.check_objective(not run.broken, f"{LARGE_RUN}: {run.broken}")
    text = f"ready after {run.start_s:.1f} s, at most {MAX_READY_S:g} wanted"
    report.check_objective(run.start_s <= MAX_READY_S, text)
    text = f"{total_s:.0f} s in total, at most {MAX_TOTAL_S:g} wanted"
    report.check_objective(total_s <= MAX_TOTAL_S, text)
    verdicts = statements.judge(join(loaded, run))
    _check_statements(report, LARGE_RUN, verdicts)
    report.add_table(
        "Statements of the large run",
        ("says", "kept", "figure"),
        *((verdict.statement, "yes" if verdict.holds else "no", verdict.figure) for verdict in verdicts),
    )


def _add_large_run(report: Report, loaded: Scenario, run: LiveRunResult, total_s: float) -> None:
    figures = run.metrics.figures()
    report.add_row(
        loaded.sidecars,
        loaded.endpoint_count,
        len(loaded.zones()),
        run.start_s,
        total_s,
        figures["asked"],
        100 * figures["service"],
        100 * figures["refused"],
        100 * figures["failed"],
        run.memory_mb,
        sum(run.cpu_s),
        run.late_ms(),
        run.backend.longest_stall_ns / 1e6,
        run.excused,
    )


def _compare_with_model(report: Report) -> None:
    """Run the same requests and faults in the model and with real processes."""
    comparison = ModelComparison(MAX_DIFFERENCE)
    rows: list[tuple[Cell, ...]] = []
    for name in COMPARED:
        loaded = scenario.load(name)
        model = experiments.run_case(Case(name, loaded, "ours", SEED))
        run = live.play_unless_void(report, name, loaded, SEED, control=True)
        if run is None:
            continue
        real = run.metrics.figures()
        verdicts = statements.judge(join(loaded, run))
        rows.append(_comparison_row(name, model.figures, real, verdicts, run))
        met = not run.broken and not model.broken
        report.check_objective(met, f"{name}: {run.broken or model.broken}")
        _check_statements(report, name, verdicts)
        comparison.add(name, real, model.figures)
        comparison.check_objectives(report, name)
    comparison.add_notes(report)
    report.add_table("The model and real processes under the same faults", COMPARISON_COLUMNS, *rows)


def _comparison_row(
    name: str,
    model: dict[str, Any],
    real: dict[str, Any],
    verdicts: list[Verdict],
    run: LiveRunResult,
) -> tuple[Cell, ...]:
    met = sum(verdict.holds for verdict in verdicts)
    return (
        name,
        str(real["asked"]),
        f"{model['service']:.3f}",
        f"{real['service']:.3f}",
        f"{100 * model['refused']:.1f}",
        f"{100 * real['refused']:.1f}",
        f"{100 * model['failed']:.1f}",
        f"{100 * real['failed']:.1f}",
        f"{met} of {len(verdicts)}",
        f"{run.late_ms():.1f}",
    )


def _measure(report: Report) -> None:
    _measure_large_run(report)
    measure_links(report)
    _compare_with_model(report)


BENCHMARK = Benchmark(
    "Many real processes: a zone cut off, a third of the sidecars killed and restarted, drains",
    (
        "sidecars",
        "endpoints",
        "zones",
        "ready s",
        "whole s",
        "asked",
        "service %",
        "refused %",
        "failed %",
        "sidecars' MB",
        "CPU s",
        "sent late ms",
        "endpoints late ms",
        "excused",
    ),
    _measure,
)
