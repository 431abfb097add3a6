"""`anisespool lab report`: one run, or two drawn over each other, as an HTML page and as text."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rich.console import JustifyMethod

from anisespool.cli import output
from anisespool.cli.arguments import AsJson
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.lab.arguments import (
    OUR_POLICY,
    RIGHT_ALIGNED_FIGURES,
    Overrides,
    PolicyName,
    ReportPath,
    ReportSeed,
    ScenarioName,
    SecondRunName,
    SecondRunOverrides,
    check_policy,
    load_scenario,
)
from anisespool.cli.option_groups import expand_option_groups
from anisespool.cli.tables import Column, build_table
from anisespool.lab import experiments
from anisespool.lab.experiments import Case
from anisespool.lab.model.timeline import ScenarioRun, class_rows
from anisespool.lab.scenario import Scenario

REALITY = "reality"  # value of --with for a second run with real processes


@dataclass(frozen=True, slots=True)
class ReportOptions:
    """Options of a report: the first run, and the second one that is drawn over it."""

    second_run: SecondRunName = ""
    second_overrides: SecondRunOverrides = field(default_factory=list)
    policy: PolicyName = OUR_POLICY
    seed: ReportSeed = 1
    overrides: Overrides = field(default_factory=list)
    as_json: AsJson = False


@expand_option_groups
def write_report(name: ScenarioName, *, file: ReportPath, options: ReportOptions) -> None:
    """Report one run, or two drawn over each other, as HTML and as text. Exit 1 if a rule was broken."""
    from anisespool.lab import report

    runs = _run_all(name, options)
    file.write_text(report.render_report(f"{name}, seed {options.seed}", runs))
    for run in runs:
        _print_run(name, run, options.as_json)
    if not options.as_json:
        output.console.print(f"written to {file}")
    broken = [run for run in runs if run.broken]
    if broken:
        raise CommandError(ExitStatus.FAILED, f"{broken[0].name}: {broken[0].broken}")


def _run_all(name: str, options: ReportOptions) -> list[ScenarioRun]:
    """Execute the first run, and the second if there is one."""
    title, scenario = load_scenario(name, options.overrides)
    policy = options.policy
    seed = options.seed
    runs = [experiments.run_with_timeline(Case(check_policy(policy), scenario, policy, seed))]
    if options.second_run == REALITY:
        runs.append(_run_live(title, scenario, seed, options.as_json))
    elif options.second_run:
        second_policy = check_policy(options.second_run)
        runs.append(experiments.run_with_timeline(Case(second_policy, scenario, second_policy, seed)))
    elif options.second_overrides:
        overrides = [*options.overrides, *options.second_overrides]
        second_title, second_scenario = load_scenario(name, overrides)
        runs.append(experiments.run_with_timeline(Case(second_title, second_scenario, policy, seed)))
    return runs


def _run_live(title: str, scenario: Scenario, seed: int, quiet: bool) -> ScenarioRun:
    from anisespool.cli.lab.live_run_progress import run_with_progress

    run = run_with_progress(title, scenario, seed, quiet)
    return ScenarioRun(
        REALITY, scenario, run.metrics, run.backend.timeline, run.backend.utilization, run.broken
    )


def _print_run(name: str, run: ScenarioRun, as_json: bool) -> None:
    """Print the figures of a run as JSON lines or a table, with a row for each request class."""
    from anisespool.lab import report

    if as_json:
        for row in class_rows(run.metrics):
            output.print_json({"run": run.name} | row)
        return
    columns = [_figure_column(figure) for figure in report.COLUMNS]
    output.console.print(build_table(f"{name}, {run.name}", columns, class_rows(run.metrics)))


def _figure_column(figure: str) -> Column[dict[str, Any]]:
    from anisespool.lab import report

    justify: JustifyMethod = "right" if figure in RIGHT_ALIGNED_FIGURES else "left"
    return Column(figure, lambda row: report.format_cell(figure, row[figure]), justify)
