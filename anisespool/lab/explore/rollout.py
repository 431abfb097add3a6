"""Model of a rollout in waves, to explore whether more instances than a wave allows can be in flight.

The planner is that of `agent/rollout/planner.py`. Answers to the agent can be late, lost or duplicated.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from anisespool.agent.rollout.planner import Decision, next_step
from anisespool.agent.rollout.policy import RolloutPolicy
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.lab.explore.network import FaultBudget, Network, possible_faults, replace_at
from anisespool.lab.explore.state_space import Step

AGENT = -1  # recipient number of the agent


class ApplyRequest(NamedTuple):
    """The agent's request to an instance to apply the change."""

    def __str__(self) -> str:
        return "take"  # shown in traces


class Acknowledgement(NamedTuple):
    """An instance's answer that it has applied the change."""

    instance: int

    def __str__(self) -> str:
        return f"('done', {self.instance})"  # shown in traces


class State(NamedTuple):
    """The actual state of the instances, and the agent's view of them.

    Attributes:
        applied: Whether each instance has applied the change.
        in_flight: Whether the agent has sent the change to each instance and has no answer yet.
        acknowledged: Whether the agent has learned that each instance has applied the change.
        surplus_answers: Number of repeated acknowledgements, which only the defect counts.
        network: The messages in flight.
        budget: Faults that can still happen.
    """

    applied: tuple[bool, ...]
    in_flight: tuple[bool, ...]
    acknowledged: tuple[bool, ...]
    surplus_answers: int
    network: Network
    budget: FaultBudget


class RolloutModel:
    """An agent that rolls a change out in waves.

    Args:
        instances: Number of instances.
        wave_size: Number of instances that may be in flight at a time.
        budget: Faults that can happen; by default one loss and one duplicate.
        by_name: Whether answers are matched to instances by name. False is a defect: they are only counted.
    """

    def __init__(
        self,
        instances: int = 3,
        wave_size: int = 1,
        budget: FaultBudget | None = None,
        by_name: bool = True,
    ) -> None:
        self._instances = instances
        self._policy = RolloutPolicy(wave_size=wave_size)
        self._budget = budget or FaultBudget(restarts=0)
        self._by_name = by_name

    def initial_state(self) -> State:
        """Return the state in which no instance has applied the change."""
        none = (False,) * self._instances
        return State(none, none, none, 0, Network(), self._budget)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield the possible steps of agent, instances and network."""
        for index in self._next_wave(state):
            sent = state._replace(
                in_flight=replace_at(state.in_flight, index, True),
                network=state.network.send(index, ApplyRequest()),
            )
            yield Step(f"send to {index}", sent)
        yield from self._deliveries(state)
        for index in range(self._instances):
            if state.in_flight[index] and not _has_message(state.network, index):
                yield Step(f"ask {index}", self._poll(state, index))
        for fault in possible_faults(state.network, state.budget):
            after = state._replace(network=fault.network, budget=fault.budget)
            yield Step(fault.label, after, is_fault=True)

    def violation(self, state: State) -> str:
        """Describe the excess if more instances are in flight than the wave size allows."""
        in_flight = sum(state.in_flight)
        bound = self._policy.wave_size
        return f"{in_flight} at work at once, {bound} may be" if in_flight > bound else ""

    def is_converged(self, state: State) -> bool:
        """Return whether the agent has learned that every instance has applied the change."""
        return all(state.acknowledged)

    def canonical(self, state: State) -> State:
        """Return `state` itself: waves are planned by name, so instances are not interchangeable."""
        return state

    def _next_wave(self, state: State) -> tuple[int, ...]:
        """Return the instances to which the planner sends the change next, if any."""
        step = next_step(self._statuses(state), self._policy)
        if step.decision is not Decision.CONTINUE:
            return ()
        return tuple(int(name) for name in step.send)

    def _statuses(self, state: State) -> dict[str, RolloutStatus]:
        """Return the statuses of the instances in the agent's view, by name."""
        statuses: dict[str, RolloutStatus] = {}
        surplus = state.surplus_answers
        for index in range(self._instances):
            status = RolloutStatus.OUTDATED
            if state.acknowledged[index]:
                status = RolloutStatus.UP_TO_DATE
            elif state.in_flight[index] and surplus:
                status = RolloutStatus.UP_TO_DATE  # the defect: another instance's duplicated answer
                surplus -= 1
            elif state.in_flight[index]:
                status = RolloutStatus.IN_FLIGHT
            statuses[str(index)] = status
        return statuses

    def _deliveries(self, state: State) -> Iterator[Step]:
        """Yield the delivery of each message in flight."""
        for message in state.network.distinct():
            remaining = state._replace(network=state.network.remove(message))
            if isinstance(message.payload, Acknowledgement):
                instance = message.payload.instance
                yield Step(f"{instance} has answered", self._acknowledge(remaining, instance))
            else:
                yield Step(f"{message.to} takes it", _apply_change(remaining, message.to))

    def _acknowledge(self, state: State, index: int) -> State:
        """Return the state after the agent learned that an instance applied the change."""
        if not state.acknowledged[index]:
            return state._replace(
                acknowledged=replace_at(state.acknowledged, index, True),
                in_flight=replace_at(state.in_flight, index, False),
            )
        if self._by_name:
            return state
        return state._replace(surplus_answers=state.surplus_answers + 1)

    def _poll(self, state: State, index: int) -> State:
        """Return the state after the agent polled an instance whose request or answer was lost."""
        if state.applied[index]:
            return self._acknowledge(state, index)
        return state._replace(in_flight=replace_at(state.in_flight, index, False))


def _apply_change(state: State, index: int) -> State:
    """Return the state after an instance applied the change and acknowledged it."""
    return state._replace(
        applied=replace_at(state.applied, index, True),
        network=state.network.send(AGENT, Acknowledgement(index)),
    )


def _has_message(network: Network, index: int) -> bool:
    """Return whether a request to an instance or its answer is in flight."""
    answer = Acknowledgement(index)
    return any(message.to == index or message.payload == answer for message in network.messages)
