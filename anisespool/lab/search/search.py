"""Searches for scenarios that break a rule or lose much service: a random search guided by observations.

Service is the share of the requested weight that was served in time. A scenario that led to a new observation
(an outcome of an attempt under a kind of fault) is kept and varied, as a coverage-guided fuzzer keeps inputs
that reach new code.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from random import Random
from typing import Any, NamedTuple

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus
from anisespool.lab.model.metrics import RunMetrics
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.model.world import World
from anisespool.lab.scenario import Kind, Scenario
from anisespool.lab.search.findings import Finding
from anisespool.lab.search.mutations import policy_factory
from anisespool.lab.search.scenario_generator import draw_scenario, vary_scenario

NEW_SCENARIO_SHARE = 0.4  # the other scenarios are variations of kept ones
MAX_OLDER_SCENARIOS = 200  # kept when another one is added, so the corpus holds up to 201
MAX_RUN_SEED = 1_000_000
MAX_MEASURED_LOSS = 1.0  # service is a share between 0 and 1, so no loss exceeds this
REFERENCE_POLICY = "sees-all"


class Observation(NamedTuple):
    """An attempt ended with `status` in a scenario that contains a fault of kind `fault`."""

    fault: Kind
    status: AttemptStatus


class ObservingWorld(World):
    """A simulation that collects observations."""

    def __init__(self, scenario: Scenario, seed: int, module_factory: Callable[..., Any]) -> None:
        super().__init__(scenario, seed, module_factory)
        self.observations: set[Observation] = set()
        self._fault_kinds = sorted({fault.kind for fault in scenario.faults})

    def handle(self, sidecar: Any, event: api.Event) -> None:
        """Record the observations that an event gives, then let the sidecar handle the event."""
        if isinstance(event, api.AttemptOutcome):
            self.observations.update(Observation(kind, event.status) for kind in self._fault_kinds)
        super().handle(sidecar, event)


class Corpus:
    """The scenarios that led to new observations."""

    def __init__(self) -> None:
        self._scenarios: list[Scenario] = []
        self._observations: set[Observation] = set()

    def next_scenario(self, random: Random) -> Scenario:
        """Draw a new scenario, or a variation of a kept one."""
        if not self._scenarios or random.random() < NEW_SCENARIO_SHARE:
            return draw_scenario(random)
        return vary_scenario(random, random.choice(self._scenarios))

    def add_if_new(self, scenario: Scenario, observations: set[Observation]) -> None:
        """Keep the scenario if one of its observations is new."""
        if observations <= self._observations:
            return
        self._observations |= observations
        self._scenarios = [*self._scenarios[-MAX_OLDER_SCENARIOS:], scenario]


def search(
    policy: str,
    seed: int,
    seconds: float,
    max_loss: float = 2.0,
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Finding | None]:
    """Run scenarios until `seconds` have passed; yield each run's finding, or None.

    Args:
        policy: Name of the policy or mutation to run.
        seed: Seed of the search.
        seconds: Duration of the search, by `clock`.
        max_loss: A run whose service is lower than the reference policy's by more than this is a finding too.
            Values above 1 disable this comparison.
        clock: Returns the time in seconds.
    """
    random = Random(seed)
    corpus = Corpus()
    end = clock() + seconds
    while clock() < end:
        scenario = corpus.next_scenario(random)
        run_seed = random.randrange(MAX_RUN_SEED)
        world = ObservingWorld(scenario, run_seed, policy_factory(policy))
        metrics = world.run()
        if not world.broken:  # the text of the broken rule, empty without one
            corpus.add_if_new(scenario, world.observations)
        description = world.broken or _describe_loss(scenario, run_seed, metrics, max_loss)
        yield Finding(scenario, run_seed, policy, description) if description else None


def _describe_loss(scenario: Scenario, seed: int, metrics: RunMetrics, max_loss: float) -> str:
    """Describe the loss of service compared with the reference policy; empty unless it exceeds `max_loss`."""
    if max_loss > MAX_MEASURED_LOSS:
        return ""
    reference = World(scenario, seed, POLICIES[REFERENCE_POLICY])
    loss = reference.run().service() - metrics.service()
    return f"loss: {loss:.2f} of service against one that sees all" if loss > max_loss else ""
