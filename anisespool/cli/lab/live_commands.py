"""Commands that run scenarios with real sidecar processes.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import TYPE_CHECKING, Any, NamedTuple

from rich.table import Table

from anisespool.cli import output
from anisespool.cli.arguments import AsJson
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.lab.arguments import (
    MAIN_FIGURES,
    NO_OVERRIDES,
    OUR_POLICY,
    FleetSeed,
    HistoryPath,
    LiveSeed,
    Mutation,
    Overrides,
    PicturePath,
    ScenarioName,
    SidecarCount,
    load_scenario,
)
from anisespool.cli.option_groups import expand_option_groups
from anisespool.cli.tables import Column, build_table
from anisespool.lab import experiments
from anisespool.lab.experiments import Case
from anisespool.lab.scenario import Scenario

if TYPE_CHECKING:  # commands import these when they run, so that `--help` does not load them
    from anisespool.lab.live.history import FaultSpan, History
    from anisespool.lab.live.live_run import LiveRunResult
    from anisespool.lab.live.statements import Verdict

COMPARED_FIGURES = (*MAIN_FIGURES, "p50_ms", "p99_ms", "attempts", "tries")


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of `lab fleet`: changes to the scenario, and the files and output to write."""

    sidecars: SidecarCount = 0
    seed: FleetSeed = 1
    mutation: Mutation = ""
    history_path: HistoryPath = None
    picture_path: PicturePath = None
    overrides: Overrides = field(default_factory=list)
    as_json: AsJson = False

    def all_overrides(self) -> list[str]:
        """Return the overrides of the scenario, including the number of sidecars."""
        return [*self.overrides, f"sidecars={self.sidecars}"] if self.sidecars else self.overrides


def run_live(
    name: ScenarioName, seed: LiveSeed = 1, overrides: Overrides = NO_OVERRIDES, as_json: AsJson = False
) -> None:
    """Run a scenario with real sidecars on loopback, and in the model. Exit 1 if a rule was broken."""
    from anisespool.cli.lab.live_run_progress import run_with_progress

    title, scenario = load_scenario(name, overrides)
    run = run_with_progress(title, scenario, seed, as_json)
    model = experiments.run_case(Case(title, scenario, OUR_POLICY, seed)).figures
    reality = run.metrics.figures()
    if as_json:
        extra = {"late_ms": run.late_ms(), "cpu_s": run.cpu_s, "broken": run.broken}
        output.print_json({"model": model, "reality": reality} | extra)
    else:
        output.console.print(_model_comparison_table(f"{name}: {scenario.question}", model, reality))
        cpu = ", ".join(f"{seconds:.1f}" for seconds in run.cpu_s)
        text = f"requests sent {run.late_ms():.1f} ms late (p99); CPU time of the sidecars {cpu} s"
        output.console.print(text)
    if run.broken:
        raise CommandError(ExitStatus.FAILED, run.broken)


@expand_option_groups
def run_fleet(name: ScenarioName, *, options: FleetOptions) -> None:
    """Run many real processes on a faulty network. Exit 1 if a rule was broken or a statement is false."""
    from anisespool.cli.lab.live_run_progress import run_with_progress
    from anisespool.lab.live import statements, timeline_svg
    from anisespool.lab.live.history import join

    title, scenario = load_scenario(name, options.all_overrides())
    _check_mutation(scenario, options.mutation)
    run = run_with_progress(
        title, scenario, options.seed, options.as_json, control=True, mutation=options.mutation
    )
    history = join(scenario, run)
    verdicts = statements.judge(history)
    if options.history_path:
        history.write(options.history_path)
    if options.picture_path:
        options.picture_path.write_text(timeline_svg.render(history))
    if options.as_json:
        _print_fleet_json(run, verdicts)
    else:
        _print_fleet_tables(f"{name}: {scenario.question}", run, history, verdicts)
    broken = [f"{verdict.statement}: {verdict.figure}" for verdict in verdicts if not verdict.holds]
    if run.broken or broken:
        raise CommandError(ExitStatus.FAILED, "; ".join([*run.violations, *broken]))


def _check_mutation(scenario: Scenario, mutation: str) -> None:
    """Raise a CommandError if the scenario's processes do not support the mutation. An empty name is none."""
    from anisespool.fakes import gossip_process
    from anisespool.lab.live import mutated_sidecar

    known = gossip_process.MUTATIONS if scenario.plays == "talkers" else ("", *mutated_sidecar.MUTATIONS)
    if mutation not in known:
        text = f"no break {mutation!r}, there are {', '.join(known[1:])}"
        raise CommandError(ExitStatus.USAGE_ERROR, text)


class _ComparedFigure(NamedTuple):
    """A figure from the model's run, and from the real one."""

    name: str
    model: float
    reality: float


def _model_comparison_table(title: str, model: dict[str, Any], reality: dict[str, Any]) -> Table:
    figures = [_ComparedFigure(name, model[name], reality[name]) for name in COMPARED_FIGURES]
    return build_table(title, MODEL_COMPARISON_COLUMNS, figures)


MODEL_COMPARISON_COLUMNS: list[Column[_ComparedFigure]] = [
    Column("figure", lambda figure: figure.name),
    Column("model", lambda figure: f"{figure.model:.4g}"),
    Column("reality", lambda figure: f"{figure.reality:.4g}"),
    Column("reality less model", lambda figure: f"{figure.reality - figure.model:+.4g}"),
]


def _fleet_figures(run: LiveRunResult) -> dict[str, Any]:
    """Return the figures of the `--json` output."""
    return run.metrics.figures() | {
        "ready_s": run.start_s,
        "late_ms": run.late_ms(),
        "stall_ms": run.backend.longest_stall_ns / 1e6,
        "cpu_s": sum(run.cpu_s),
        "memory_mb": run.memory_mb,
        "skipped": run.skipped,
        "excused": run.excused,
        "links": asdict(run.backend.links),
        "datagrams": run.backend.datagrams.delivered,
    }


def _print_fleet_json(run: LiveRunResult, verdicts: list[Verdict]) -> None:
    output.print_json(
        {
            "rules": run.violations or "kept",
            "statements": [verdict.to_json() for verdict in verdicts],
            "figures": _fleet_figures(run),
        }
    )


def _print_fleet_tables(title: str, run: LiveRunResult, history: History, verdicts: list[Verdict]) -> None:
    statements = [
        _Statement("the four rules, no crash", not run.broken, "; ".join(run.violations)),
        *(_Statement(verdict.statement, verdict.holds, verdict.figure) for verdict in verdicts),
    ]
    output.console.print(build_table(title, STATEMENT_COLUMNS, statements))
    output.console.print(build_table("Timeline", FAULT_COLUMNS, history.faults()))
    output.console.print(_fleet_summary(_fleet_figures(run)))


class _Statement(NamedTuple):
    """A statement about a run, whether it holds, and the figure that decided this."""

    text: str
    holds: bool
    figure: str


STATEMENT_COLUMNS: list[Column[_Statement]] = [
    Column("statement", lambda statement: statement.text),
    Column("kept", lambda statement: "yes" if statement.holds else "[red]no"),
    Column("figure", lambda statement: statement.figure),
]
FAULT_COLUMNS: list[Column[FaultSpan]] = [
    Column("s", lambda fault: f"{fault.begin_s:g}"),
    Column("until", lambda fault: f"{fault.end_s:g}"),
    Column("what", lambda fault: fault.description),
]


def _fleet_summary(figures: dict[str, Any]) -> str:
    return (
        f"ready in {figures['ready_s']:.1f} s; {figures['asked']} requests, "
        f"{100 * figures['in_time']:.1f} % in time, "
        f"{100 * figures['refused']:.1f} % refused, {100 * figures['failed']:.1f} % failed; sent "
        f"{figures['late_ms']:.1f} ms late (p99), endpoints at most {figures['stall_ms']:.0f} ms; "
        f"{figures['cpu_s']:.1f} s of CPU, {figures['memory_mb']:.0f} MB in all sidecars"
    )
