"""Which scenarios break a rule or lose much service? A random search, guided by what runs have shown.

Scenarios that showed something new (an outcome of an attempt under a kind of fault) are kept and varied, as
coverage-guided fuzzers do with inputs that reach new code.
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

FRESH_SHARE = 0.4  # of scenarios that are drawn anew; the others are variations
MAX_CORPUS_SIZE = 200  # scenarios kept when another one is added
MAX_RUN_SEED = 1_000_000
MAX_MEASURED_LOSS = 1.0  # service is a share: a bound beyond it is never exceeded
REFERENCE_POLICY = "sees-all"


class Observation(NamedTuple):
    """An attempt ended with `status` in a scenario that has a fault of kind `fault`."""

    fault: Kind
    status: AttemptStatus


class ObservingWorld(World):
    """A simulation that collects observations."""

    def __init__(self, scenario: Scenario, seed: int, module: Callable[..., Any]) -> None:
        super().__init__(scenario, seed, module)
        self.observations: set[Observation] = set()
        self._fault_kinds = sorted({fault.kind for fault in scenario.faults})

    def handle(self, sidecar: Any, event: api.Event) -> None:
        """Observe an event, then let the sidecar handle it."""
        if isinstance(event, api.AttemptOutcome):
            self.observations.update(Observation(kind, event.status) for kind in self._fault_kinds)
        super().handle(sidecar, event)


class Corpus:
    """The scenarios that showed something new."""

    def __init__(self) -> None:
        self._scenarios: list[Scenario] = []
        self._observations: set[Observation] = set()

    def next_scenario(self, random: Random) -> Scenario:
        """Draw a scenario, or a variation of one that is kept."""
        if not self._scenarios or random.random() < FRESH_SHARE:
            return draw_scenario(random)
        return vary_scenario(random, random.choice(self._scenarios))

    def add_if_new(self, scenario: Scenario, observations: set[Observation]) -> None:
        """Keep the scenario, if it showed something that none before it did."""
        if observations <= self._observations:
            return
        self._observations |= observations
        self._scenarios = [*self._scenarios[-MAX_CORPUS_SIZE:], scenario]


def search(
    policy: str,
    seed: int,
    seconds: float,
    max_loss: float = 2.0,
    clock: Callable[[], float] = time.monotonic,
) -> Iterator[Finding | None]:
    """Run scenarios until the time is over; yield each run's finding, or None.

    Args:
        policy: the policy or mutation to run, by name.
        seed: of the search.
        seconds: its duration on `clock`.
        max_loss: a run that serves less than one that sees all, by more than this, is a finding too. Over 1:
            never.
        clock: gives the time in seconds.
    """
    random = Random(seed)
    corpus = Corpus()
    end = clock() + seconds
    while clock() < end:
        scenario = corpus.next_scenario(random)
        run_seed = random.randrange(MAX_RUN_SEED)
        world = ObservingWorld(scenario, run_seed, policy_factory(policy))
        metrics = world.run()
        if not world.broken:
            corpus.add_if_new(scenario, world.observations)
        what = world.broken or _describe_loss(scenario, run_seed, metrics, max_loss)
        yield Finding(scenario, run_seed, policy, what) if what else None


def _describe_loss(scenario: Scenario, seed: int, metrics: RunMetrics, max_loss: float) -> str:
    """Describe the loss of service against the reference policy, if it exceeds `max_loss`."""
    if max_loss > MAX_MEASURED_LOSS:
        return ""
    reference = World(scenario, seed, POLICIES[REFERENCE_POLICY])
    loss = reference.run().service() - metrics.service()
    return f"loss: {loss:.2f} of service against one that sees all" if loss > max_loss else ""
