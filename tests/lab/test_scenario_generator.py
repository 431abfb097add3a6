"""Generated scenarios: a seed gives the same ones in every version, so that a search can be repeated."""

from __future__ import annotations

import hashlib
from random import Random

from anisespool.lab.scenario import Scenario
from anisespool.lab.search.scenario_generator import draw_scenario, vary_scenario

SCENARIO_COUNT = 200
EXPECTED_DIGEST = "63eab83cb47f00f0128b931d3981a662ec8c128e578b37a2ace77c17493f4453"
EXPECTED_NEXT_VALUE = 0.800808946762972


def drawn_values(scenario: Scenario) -> str:
    """Return some values of each generated part of a scenario, as text."""
    values = [
        (scenario.seconds, scenario.sidecars, scenario.traffic.per_s, scenario.talk),
        [(group.count, group.cores, group.speed) for group in scenario.endpoints],
        [(burst.at_s, burst.count) for burst in scenario.bursts],
        [(fault.kind, fault.at_s, fault.size, fault.endpoints) for fault in scenario.faults],
        [(link.from_, link.to, link.loss, link.flap_s) for link in scenario.links],
    ]
    return repr(values)


def test_a_seed_gives_the_same_scenarios_and_variations() -> None:
    random = Random(20261201)
    digest = hashlib.sha256()
    for _ in range(SCENARIO_COUNT):
        scenario = draw_scenario(random)
        digest.update(drawn_values(scenario).encode())
        digest.update(drawn_values(vary_scenario(random, scenario)).encode())
    assert digest.hexdigest() == EXPECTED_DIGEST
    assert random.random() == EXPECTED_NEXT_VALUE
