"""`anisespool lab explore`: explores all interleavings of a protocol with few members."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from anisespool.cli import output
from anisespool.cli.arguments import AsJson
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.lab.arguments import (
    MaxDuplicated,
    MaxLost,
    MaxRestarts,
    MaxStates,
    MemberCount,
    ProtocolName,
)
from anisespool.cli.tables import Column, build_table
from anisespool.lab.explore.generations import GenerationsModel
from anisespool.lab.explore.network import FaultBudget
from anisespool.lab.explore.rollout import RolloutModel
from anisespool.lab.explore.state_space import ExplorationResult, ProtocolModel, explore

# Models by the name of their protocol on the command line.
MODELS: dict[str, Callable[[int, FaultBudget], ProtocolModel[Any]]] = {
    "generations": lambda members, budget: GenerationsModel(members, 2, budget),
    "waves": lambda members, budget: RolloutModel(members, 1, budget),
}


def explore_protocol(
    protocol: ProtocolName,
    members: MemberCount = 2,
    max_lost: MaxLost = 1,
    max_duplicated: MaxDuplicated = 1,
    max_restarts: MaxRestarts = 1,
    max_states: MaxStates = 200_000,
    as_json: AsJson = False,
) -> None:
    """Explore all interleavings of a protocol with few members. Exit 1, with the shortest trace, if one
    violates an invariant or cannot converge."""
    if protocol not in MODELS:
        text = f"no protocol {protocol!r}, there are {', '.join(MODELS)}"
        raise CommandError(ExitStatus.USAGE_ERROR, text)
    budget = FaultBudget(max_lost, max_duplicated, max_restarts)
    result = explore(MODELS[protocol](members, budget), max_states)
    if as_json:
        output.print_json(result.to_json_object())
    else:
        _print_result(protocol, result)
    if result.violation:
        raise CommandError(ExitStatus.FAILED, result.violation)


def _print_result(protocol: str, result: ExplorationResult) -> None:
    output.console.print(build_table(protocol, RESULT_COLUMNS, [result]))
    for number, label in enumerate(result.trace, 1):
        output.console.print(f"{number:3}. {label}", markup=False)


RESULT_COLUMNS: list[Column[ExplorationResult]] = [
    Column("states", lambda result: f"{result.states:,}"),
    Column("steps", lambda result: f"{result.steps:,}"),
    Column("depth", lambda result: str(result.depth)),
    Column("complete", lambda result: "yes" if result.complete else "no: raise --most, or lower the faults"),
    Column("states a second", lambda result: f"{result.states_per_second:,.0f}"),
]
