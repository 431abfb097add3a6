"""Breadth-first exploration of all states that a protocol can reach.

A model's states are hashable, and its labelled steps depend on the state alone. A step is either one of the
protocol's own or a fault; a state includes the number of faults that can still happen. Each state is checked
for two properties: it violates no invariant, and the protocol's own steps alone can lead from it to
convergence ("always able to recover"). As states are visited breadth first, the trace to a violation is a
shortest one. This is explicit-state model checking as in SPIN (Holzmann 1997).
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Hashable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple, Protocol, TypeVar

DEFAULT_MAX_STATES = 200_000
NOT_RECOVERABLE = "it can't come to rest by its own steps from here"  # scripts match this text


class Step(NamedTuple):
    """A possible step from a state to another.

    Attributes:
        label: Name of the step in traces; unique among the steps from one state.
        state: The state after the step.
        is_fault: Whether the step is a fault rather than one of the protocol's own steps.
    """

    label: str
    state: Any
    is_fault: bool = False


State = TypeVar("State", bound=Hashable)


class ProtocolModel(Protocol[State]):
    """A protocol together with its environment."""

    def initial_state(self) -> State:
        """Return the state from which the exploration starts."""

    def steps(self, state: State) -> Iterable[Step]:
        """Return all possible steps from `state`."""

    def violation(self, state: State) -> str:
        """Describe the invariant that `state` violates; empty if it violates none."""

    def is_converged(self, state: State) -> bool:
        """Return whether the protocol has reached its goal in `state`."""

    def canonical(self, state: State) -> State:
        """Return the same state for all that differ only in the numbering of interchangeable parts."""


class ExplorationResult(NamedTuple):
    """The result of an exploration.

    Attributes:
        states: Number of different states visited.
        steps: Number of steps taken.
        depth: Number of steps from the initial state to the last expanded one.
        complete: Whether every reachable state was visited; otherwise the exploration ended at a violation
            or at the bound on states.
        seconds: Duration of the exploration.
        violation: Description of the violation; empty if there is none.
        trace: Labels of the steps that lead to the violation; empty if there is none.
    """

    states: int
    steps: int
    depth: int
    complete: bool
    seconds: float
    violation: str
    trace: tuple[str, ...]

    @property
    def states_per_second(self) -> float:
        """Number of states visited per second."""
        return self.states / max(self.seconds, 1e-9)

    def to_json_object(self) -> dict[str, Any]:
        """Return the result under the keys of the command's `--json` output."""
        return {
            "states": self.states,
            "steps": self.steps,
            "depth": self.depth,
            "whole": self.complete,
            "seconds": self.seconds,
            "wrong": self.violation,
            "trace": self.trace,
        }


def explore(model: ProtocolModel[Any], max_states: int = DEFAULT_MAX_STATES) -> ExplorationResult:
    """Visit all reachable states, then check that each can recover.

    Stop early at a violated invariant, or at more than `max_states` states.
    """
    started = time.perf_counter()
    exploration = _Exploration(model, max_states)
    ending = exploration.run()
    trace = exploration.trace_to(ending.state) if ending.violation else ()
    return ExplorationResult(
        states=len(exploration.discovered),
        steps=exploration.steps,
        depth=exploration.depth,
        complete=ending.complete,
        seconds=time.perf_counter() - started,
        violation=ending.violation,
        trace=trace,
    )


def replay(model: ProtocolModel[Any], trace: Iterable[str]) -> Any:
    """Take the steps of `trace` from the initial state, and return the last state.

    Raises:
        ValueError: A step of the trace is not possible in the state before it.
    """
    state = model.canonical(model.initial_state())
    for number, label in enumerate(trace, 1):
        possible = {step.label: step.state for step in model.steps(state)}
        if label not in possible:
            raise ValueError(f"step {number}: found {label!r}, wanted one of {', '.join(sorted(possible))}")
        state = model.canonical(possible[label])
    return state


class _Discovery(NamedTuple):
    """How a state was reached for the first time."""

    predecessor: Any
    label: str
    depth: int


class _Ending(NamedTuple):
    """How an exploration ended."""

    complete: bool
    violation: str = ""
    state: Any = None


@dataclass(slots=True)
class _Exploration:
    """A running exploration."""

    model: ProtocolModel[Any]
    max_states: int
    discovered: dict[Any, _Discovery] = field(default_factory=dict)
    # The states from which one of the protocol's own steps leads to the state in the key.
    predecessors: dict[Any, list[Any]] = field(default_factory=dict)
    queue: deque[Any] = field(default_factory=deque)
    steps: int = 0
    depth: int = 0

    def run(self) -> _Ending:
        """Run the exploration until it ends."""
        initial = self.model.canonical(self.model.initial_state())
        self.discovered[initial] = _Discovery(None, "", 0)
        if violation := self.model.violation(initial):
            return _Ending(False, violation, initial)
        self.queue.append(initial)
        while self.queue:
            ending = self._expand(self.queue.popleft())
            if ending is not None:
                return ending
        unrecoverable = self._first_unrecoverable_state()
        if unrecoverable is None:
            return _Ending(True)
        return _Ending(True, NOT_RECOVERABLE, unrecoverable)

    def trace_to(self, state: Any) -> tuple[str, ...]:
        """Return the labels of the steps by which `state` was first reached."""
        labels: list[str] = []
        while self.discovered[state].label:
            labels.append(self.discovered[state].label)
            state = self.discovered[state].predecessor
        return tuple(reversed(labels))

    def _expand(self, state: Any) -> _Ending | None:
        """Take every step from `state`; return an ending if one of them ends the exploration."""
        self.depth = self.discovered[state].depth
        for step in self.model.steps(state):
            self.steps += 1
            successor = self.model.canonical(step.state)
            if not step.is_fault:
                self.predecessors.setdefault(successor, []).append(state)
            if successor in self.discovered:
                continue
            self.discovered[successor] = _Discovery(state, step.label, self.depth + 1)
            if violation := self.model.violation(successor):
                return _Ending(False, violation, successor)
            if len(self.discovered) > self.max_states:
                return _Ending(False)
            self.queue.append(successor)
        return None

    def _first_unrecoverable_state(self) -> Any:
        """Return the first state from which the protocol's own steps reach no converged state, or None."""
        recoverable = {state for state in self.discovered if self.model.is_converged(state)}
        queue = deque(recoverable)
        while queue:
            for predecessor in self.predecessors.get(queue.popleft(), ()):
                if predecessor not in recoverable:
                    recoverable.add(predecessor)
                    queue.append(predecessor)
        return next((state for state in self.discovered if state not in recoverable), None)
