"""Can an instance's configuration go back to an older generation? `control/generations.py`, explored.

An agent sends documents to instances over a network that delays, loses and duplicates them, and instances
restart. The documents are A, B, A again (a rollback) and so on: where a digest recurs, a late document could
be taken for a new one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import NamedTuple

from anisespool.control.generations import AppliedConfig, ApplyDecision, ConfigUpdate, decide_update
from anisespool.lab.explore.network import FaultBudget, Network, possible_faults, replace_at
from anisespool.lab.explore.state_space import Step

INITIAL_CONFIG = AppliedConfig(0, "A")  # of a freshly started instance, by its own file
MAX_MESSAGES_PER_INSTANCE = 2  # in flight: a call that was given up, and the one after it

# Decides on an update, given the applied configuration and the digest of the content as received.
DecisionRule = Callable[[AppliedConfig, ConfigUpdate, str], ApplyDecision]


class Instance(NamedTuple):
    """One instance, and what the agent knows of it. Instances are ordered by these fields.

    Attributes:
        applied: the configuration that it has applied.
        observed: the configuration that the agent believes it has applied.
        highest_generation: the highest generation that it has applied since its start.
    """

    applied: AppliedConfig = INITIAL_CONFIG
    observed: AppliedConfig = INITIAL_CONFIG
    highest_generation: int = 0


class State(NamedTuple):
    """The instances, the generation that the agent made last, the network, and the faults that are left."""

    instances: tuple[Instance, ...]
    newest_generation: int
    network: Network
    budget: FaultBudget

    def with_instance(self, index: int, instance: Instance) -> State:
        """Return the state with another instance at `index`."""
        return self._replace(instances=replace_at(self.instances, index, instance))


class GenerationsModel:
    """An agent and its instances.

    Args:
        instances: number of instances.
        documents: number of documents that the agent makes, one after another.
        budget: faults that can happen.
        rule: how instances decide on updates: the real rule, or one with a defect.
    """

    def __init__(
        self,
        instances: int = 2,
        documents: int = 3,
        budget: FaultBudget | None = None,
        rule: DecisionRule = decide_update,
    ) -> None:
        self._instances = instances
        self._documents = documents
        self._budget = budget or FaultBudget()
        self._rule = rule

    def initial_state(self) -> State:
        """Return the state of freshly started instances, without any document."""
        return State((Instance(),) * self._instances, 0, Network(), self._budget)

    def steps(self, state: State) -> Iterator[Step]:
        """Yield what agent, instances and network can do next."""
        if state.newest_generation < self._documents:
            created = state._replace(newest_generation=state.newest_generation + 1)
            yield Step("a new document", created, is_fault=True)
        for index in range(len(state.instances)):
            yield from _instance_steps(state, index)
        for message in state.network.distinct():
            updated = self._apply(state.instances[message.to], message.payload)
            delivered = state._replace(network=state.network.remove(message))
            label = f"deliver {message.payload.generation} to {message.to}"
            yield Step(label, delivered.with_instance(message.to, updated))
        for fault in possible_faults(state.network, state.budget):
            after = state._replace(network=fault.network, budget=fault.budget)
            yield Step(fault.label, after, is_fault=True)

    def violation(self, state: State) -> str:
        """Describe an instance that went back, or has a document under another one's generation."""
        for index, instance in enumerate(state.instances):
            generation = instance.applied.generation
            highest = instance.highest_generation
            if generation < highest:
                return f"instance {index} went back from generation {highest} to {generation}"
            if instance.applied.digest != _digest(generation):
                return f"instance {index} has another document under generation {generation}"
        return ""

    def is_converged(self, state: State) -> bool:
        """Return whether every instance has applied the newest document."""
        return all(instance.applied.generation == state.newest_generation for instance in state.instances)

    def canonical(self, state: State) -> State:
        """Renumber the instances, which are interchangeable, by what they have and are sent."""
        order = sorted(
            range(len(state.instances)),
            key=lambda index: (state.instances[index], _updates_in_flight(state.network, index)),
        )
        new_index = {old: new for new, old in enumerate(order)}
        messages = sorted(message._replace(to=new_index[message.to]) for message in state.network.messages)
        instances = tuple(state.instances[index] for index in order)
        return state._replace(instances=instances, network=Network(tuple(messages)))

    def _apply(self, instance: Instance, update: ConfigUpdate) -> Instance:
        """Return the instance after it received `update`."""
        if self._rule(instance.applied, update, update.digest) is not ApplyDecision.APPLY:
            return instance
        highest = max(instance.highest_generation, update.generation)
        applied = AppliedConfig(update.generation, update.digest)
        return instance._replace(applied=applied, highest_generation=highest)


def _instance_steps(state: State, index: int) -> Iterator[Step]:
    """Yield the agent's calls to one instance, and the instance's restart."""
    instance = state.instances[index]
    newest = state.newest_generation
    in_flight = len(_updates_in_flight(state.network, index))
    if instance.observed.generation < newest and in_flight < MAX_MESSAGES_PER_INSTANCE:
        update = ConfigUpdate(newest, instance.observed.digest, _digest(newest))
        sent = state._replace(network=state.network.send(index, update))
        yield Step(f"offer {newest} to {index}", sent)
    if instance.observed != instance.applied:
        polled = instance._replace(observed=instance.applied)
        yield Step(f"ask {index} what it has", state.with_instance(index, polled))
    if state.budget.restarts:
        restarted = instance._replace(applied=INITIAL_CONFIG, highest_generation=0)
        budget = state.budget._replace(restarts=state.budget.restarts - 1)
        after = state.with_instance(index, restarted)._replace(budget=budget)
        yield Step(f"restart {index}", after, is_fault=True)


def _digest(generation: int) -> str:
    return "AB"[generation % 2]


def _updates_in_flight(network: Network, index: int) -> tuple[ConfigUpdate, ...]:
    return tuple(message.payload for message in network.messages if message.to == index)
