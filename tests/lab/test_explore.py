"""Exploration of protocols: the states that it visits, and the deliberate defects that it has to find."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import pytest
from typer.testing import CliRunner

from anisespool.cli.lab import app
from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate
from anisespool.lab.explore.generations import GenerationsModel
from anisespool.lab.explore.network import FaultBudget, Network, possible_faults
from anisespool.lab.explore.rollout import RolloutModel
from anisespool.lab.explore.state_space import Step, explore, replay

NO_FAULTS = FaultBudget(0, 0, 0)


def ignore_generation(applied: AppliedConfig, update: ConfigUpdate, digest: str) -> ApplyDecision:
    """The rule of instances without its check of the generation."""
    return ApplyDecision.APPLY if update.base == applied.digest else ApplyDecision.BASE_MISMATCH


def accept_everything(applied: AppliedConfig, update: ConfigUpdate, digest: str) -> ApplyDecision:
    """A rule that applies every update."""
    return ApplyDecision.APPLY


class CountingModel:
    """A model that counts to `end` by 1 or 2. `forbidden` violates an invariant; `trap` has no next state."""

    def __init__(self, end: int, forbidden: int = -1, trap: int = -1) -> None:
        self._end = end
        self._forbidden = forbidden
        self._trap = trap

    def initial_state(self) -> int:
        return 0

    def steps(self, state: int) -> Iterator[Step]:
        for increment in (1, 2):
            after = state + increment
            if state != self._trap and after <= self._end:
                yield Step(f"add {increment}", after, is_fault=after == self._trap)

    def violation(self, state: int) -> str:
        return "forbidden state" if state == self._forbidden else ""

    def is_converged(self, state: int) -> bool:
        return state == self._end

    def canonical(self, state: int) -> int:
        return state


def test_the_trace_to_a_violation_is_a_shortest_one() -> None:
    result = explore(CountingModel(10, forbidden=7))
    assert result.violation == "forbidden state"
    assert len(result.trace) == 4


def test_a_trace_can_be_replayed() -> None:
    model = CountingModel(10, forbidden=7)
    assert replay(model, explore(model).trace) == 7


def test_a_trace_with_an_impossible_step_is_rejected() -> None:
    with pytest.raises(ValueError, match="step 1: found 'add 3', wanted one of add 1, add 2"):
        replay(CountingModel(10, forbidden=7), ["add 3"])


def test_a_protocol_that_always_recovers_has_no_violation() -> None:
    assert explore(CountingModel(10)).violation == ""


@pytest.mark.parametrize(
    ("trap", "trace_length"),
    [
        pytest.param(6, 3, id="after-a-fault"),
        pytest.param(0, 0, id="falsy-initial-state"),
    ],
)
def test_a_state_from_which_the_protocol_cannot_recover_is_found(trap: int, trace_length: int) -> None:
    result = explore(CountingModel(10, trap=trap))
    assert "rest" in result.violation
    assert len(result.trace) == trace_length


def test_an_exploration_ended_by_the_bound_on_states_is_reported_as_incomplete() -> None:
    result = explore(CountingModel(1000), max_states=50)
    assert not result.complete
    assert result.states == 51


def test_an_exploration_within_the_bound_on_states_is_reported_as_complete() -> None:
    assert explore(CountingModel(1000)).complete


@pytest.fixture
def network() -> Network:
    return Network().send(1, "x").send(0, "y").send(1, "x")


def test_a_network_keeps_each_copy_of_a_message(network: Network) -> None:
    assert len(network.messages) == 3
    assert len(list(network.distinct())) == 2
    assert network.remove(network.messages[0]).messages == network.messages[1:]


def test_a_network_loses_and_duplicates_each_distinct_message_within_the_budget(network: Network) -> None:
    faults = {
        (fault.label, len(fault.network.messages), fault.budget)
        for fault in possible_faults(network, FaultBudget(1, 1, 0))
    }
    assert faults == {
        ("lose y to 0", 2, FaultBudget(0, 1, 0)),
        ("double y to 0", 4, FaultBudget(1, 0, 0)),
        ("lose x to 1", 2, FaultBudget(0, 1, 0)),
        ("double x to 1", 4, FaultBudget(1, 0, 0)),
    }


def test_a_network_without_a_budget_has_no_faults(network: Network) -> None:
    assert not list(possible_faults(network, NO_FAULTS))


@pytest.mark.parametrize(
    ("model", "states"),
    [
        pytest.param(GenerationsModel(2, 2, NO_FAULTS), 992, id="generations-without-faults"),
        pytest.param(GenerationsModel(1, 3, FaultBudget(1, 1, 1)), None, id="generations-with-faults"),
        pytest.param(RolloutModel(3, 1), 127, id="rollout-one-at-a-time"),
        pytest.param(RolloutModel(4, 2, FaultBudget(2, 2, 0)), 5170, id="rollout-two-at-a-time"),
    ],
)
def test_no_reachable_state_of_a_protocol_violates_an_invariant(model: Any, states: int | None) -> None:
    """The number of states is checked too, as an exploration that misses some could miss a violation."""
    result = explore(model)
    assert result.complete
    assert not result.violation
    assert states is None or result.states == states


@pytest.mark.parametrize(
    ("model", "violation"),
    [
        pytest.param(GenerationsModel(2, 3, rule=ignore_generation), "went back", id="generation-ignored"),
        pytest.param(GenerationsModel(2, 3, rule=accept_everything), "went back", id="everything-accepted"),
        pytest.param(RolloutModel(3, 1, by_name=False), "2 at work at once", id="answers-only-counted"),
    ],
)
def test_a_deliberate_defect_in_a_protocol_is_found_with_a_trace_that_reproduces_it(
    model: Any, violation: str
) -> None:
    result = explore(model, max_states=20_000)
    assert violation in result.violation
    assert 4 <= len(result.trace) <= 8
    assert violation in model.violation(replay(model, result.trace))


EXPLORE_WAVES = ["explore", "waves", "--members", "3", "--restarts", "0"]


def test_the_command_prints_what_was_explored() -> None:
    finished = CliRunner().invoke(app, EXPLORE_WAVES)
    assert finished.exit_code == 0
    assert "127" in finished.output
    assert "yes" in finished.output


def test_the_commands_json_output_keeps_its_keys() -> None:
    finished = CliRunner().invoke(app, [*EXPLORE_WAVES, "--json"])
    printed = json.loads(finished.output)
    assert list(printed) == ["states", "steps", "depth", "whole", "seconds", "wrong", "trace"]
    assert (printed["states"], printed["whole"], printed["wrong"], printed["trace"]) == (127, True, "", [])
