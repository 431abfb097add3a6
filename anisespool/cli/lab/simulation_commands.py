"""Commands that simulate a scenario: as it is, over a grid of parameters, or in two compared variants.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import product

from rich.console import JustifyMethod
from rich.progress import BarColumn, MofNCompleteColumn, TimeRemainingColumn

from anisespool.cli import output
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.lab.arguments import (
    MAIN_FIGURES,
    NO_OVERRIDES,
    OUR_POLICY,
    RIGHT_ALIGNED_FIGURES,
    BatchOptions,
    ComparedOverrides,
    ComparedPolicyName,
    PolicyName,
    ScenarioName,
    SeedCount,
    SweptValues,
    check_policy,
    load_scenario,
)
from anisespool.cli.option_groups import expand_option_groups
from anisespool.cli.tables import Column, build_table
from anisespool.lab import experiments, scenario
from anisespool.lab.experiments import Case, Difference
from anisespool.lab.results import Result, ResultStore
from anisespool.lab.scenario import Scenario

COMPARED_FIGURES = (*MAIN_FIGURES, "p50_ms", "p99_ms", "attempts")


def list_scenarios() -> None:
    """List the scenarios of the library, with the question that each answers."""
    questions = ((name, scenario.load(name).question) for name in scenario.library())
    output.console.print(build_table("Scenarios", SCENARIO_COLUMNS, questions))


@expand_option_groups
def run_scenario(
    name: ScenarioName, *, seeds: SeedCount = 3, policy: PolicyName = OUR_POLICY, batch: BatchOptions
) -> None:
    """Simulate a scenario with several seeds. Exit 1 if a rule was broken."""
    title, loaded = load_scenario(name, batch.overrides)
    results = _run_cases(_cases(title, loaded, check_policy(policy), seeds), batch)
    _print_results(f"{name}: {loaded.question}", results, batch.as_json)
    _fail_if_rule_broken(results)


@expand_option_groups
def sweep_parameters(
    name: ScenarioName,
    *,
    axes: SweptValues,
    seeds: SeedCount = 3,
    policy: PolicyName = OUR_POLICY,
    batch: BatchOptions,
) -> None:
    """Simulate a scenario with several values of its keys, in several processes."""
    cases: list[Case] = []
    for combination in product(*map(_axis_overrides, axes)):
        title, loaded = load_scenario(name, [*batch.overrides, *combination])
        cases += _cases(" ".join(combination) or title, loaded, check_policy(policy), seeds)
    results = _run_cases(cases, batch)
    _print_results(name, results, batch.as_json)
    _fail_if_rule_broken(results)


@expand_option_groups
def compare_policies(
    name: ScenarioName,
    *,
    other_policy: ComparedPolicyName = "least-open",
    against: ComparedOverrides = NO_OVERRIDES,
    seeds: SeedCount = 10,
    batch: BatchOptions,
) -> None:
    """Compare our policy with another, or with itself under an override, paired by seed."""
    first_title, first = load_scenario(name, batch.overrides)
    cases = _cases(first_title, first, OUR_POLICY, seeds)
    if against:
        second_title, second = load_scenario(name, [*batch.overrides, *against])
        cases += _cases(second_title, second, OUR_POLICY, seeds)
    else:
        second_title = other_policy
        cases += _cases(second_title, first, check_policy(other_policy), seeds)
    results = _run_cases(cases, batch)
    _print_comparison(name, second_title, results[:seeds], results[seeds:], batch.as_json)
    _fail_if_rule_broken(results[:seeds])


def _cases(title: str, loaded: Scenario, policy: str, seeds: int) -> list[Case]:
    return [Case(title, loaded, policy, seed) for seed in range(1, seeds + 1)]


def _axis_overrides(axis: str) -> list[str]:
    """Split `KEY=V1,V2` into `KEY=V1` and `KEY=V2`."""
    key, _, values = axis.partition("=")
    return [f"{key}={value}" for value in values.split(",")]


def _run_cases(cases: list[Case], batch: BatchOptions) -> list[Result]:
    """Run the cases that the results file lacks, with a progress bar unless JSON is printed."""
    results = ResultStore(batch.results_path)
    columns = [BarColumn(), MofNCompleteColumn(), TimeRemainingColumn()]
    try:
        with output.transient_progress(*columns, quiet=batch.as_json) as progress:
            task = progress.add_task("runs", total=len(cases))
            return experiments.run_cases(
                cases, results, batch.processes or None, lambda result: progress.advance(task)
            )
    finally:
        results.close()


def _fail_if_rule_broken(results: list[Result]) -> None:
    broken = [result for result in results if result.broken]
    if broken:
        first = broken[0]
        text = f"{first.broken} ({first.case}, {first.policy}, seed {first.seed}; {len(broken)} in all)"
        raise CommandError(ExitStatus.FAILED, text)


def _print_results(title: str, results: list[Result], as_json: bool) -> None:
    if as_json:
        for result in results:
            output.print_json(result._asdict())
        return
    output.console.print(build_table(title, RESULT_COLUMNS, results))


def _share_column(figure: str) -> Column[Result]:
    justify: JustifyMethod = "right" if figure in RIGHT_ALIGNED_FIGURES else "left"
    return Column(figure, lambda result: f"{100 * result.figures[figure]:.2f} %", justify)


SCENARIO_COLUMNS: list[Column[tuple[str, str]]] = [
    Column("name", lambda row: row[0]),
    Column("question", lambda row: row[1]),
]
RESULT_COLUMNS: list[Column[Result]] = [
    Column("case", lambda result: result.case),
    Column("seed", lambda result: str(result.seed)),
    *map(_share_column, MAIN_FIGURES),
    Column("p50 ms", lambda result: f"{result.figures['p50_ms']:.1f}"),
    Column("p99 ms", lambda result: f"{result.figures['p99_ms']:.1f}"),
    Column("rules", lambda result: f"[red]{result.broken}" if result.broken else "kept"),
]


@dataclass(frozen=True, slots=True)
class _ComparedFigure:
    """A figure of two policies or variants, paired by seed.

    Attributes:
        first_mean: Mean over the runs of the first policy.
        second_mean: Mean over the runs of the second policy.
        difference: Second less first, with a confidence interval.
    """

    name: str
    first_mean: float
    second_mean: float
    difference: Difference


def _compare(first: list[Result], second: list[Result]) -> Iterator[_ComparedFigure]:
    """Yield a comparison of each of COMPARED_FIGURES."""
    for name in COMPARED_FIGURES:
        first_values = [float(result.figures[name]) for result in first]
        second_values = [float(result.figures[name]) for result in second]
        difference = experiments.paired_difference(name, first_values, second_values)
        yield _ComparedFigure(name, _mean(first_values), _mean(second_values), difference)


def _mean(values: list[float]) -> float:
    return sum(values) / len(values)


def _print_comparison(
    name: str, second_title: str, first: list[Result], second: list[Result], as_json: bool
) -> None:
    if as_json:
        _print_comparison_json(first, second)
        return
    title = f"{name}, {len(first)} pairs"
    output.console.print(build_table(title, _comparison_columns(second_title), _compare(first, second)))
    _print_broken_count("ours", first)
    _print_broken_count(second_title, second)


def _print_comparison_json(first: list[Result], second: list[Result]) -> None:
    for figure in _compare(first, second):
        means = {"first": figure.first_mean, "second": figure.second_mean}
        output.print_json(figure.difference._asdict() | means | {"shown": figure.difference.is_significant})


def _interval(figure: _ComparedFigure) -> str:
    difference = figure.difference
    return f"{difference.mean:+.4g} ({difference.low:+.4g} to {difference.high:+.4g})"


def _comparison_columns(second_title: str) -> list[Column[_ComparedFigure]]:
    return [
        Column("figure", lambda figure: figure.name),
        Column("ours", lambda figure: f"{figure.first_mean:.4g}"),
        Column(second_title, lambda figure: f"{figure.second_mean:.4g}"),
        Column("second less first", _interval),
        Column("shown", lambda figure: "yes" if figure.difference.is_significant else "no difference shown"),
    ]


def _print_broken_count(title: str, results: list[Result]) -> None:
    broken = sum(bool(result.broken) for result in results)
    if broken:
        output.console.print(f"{title}: a rule was broken in {broken} of {len(results)}", style="red")
