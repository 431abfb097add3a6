"""Shrinks a finding greedily to a small scenario that still breaks the same rule."""

from __future__ import annotations

from collections.abc import Iterator

from msgspec.structs import replace

from anisespool.lab.model.world import World
from anisespool.lab.scenario import Fault, Scenario
from anisespool.lab.search.findings import Finding, rule_of
from anisespool.lab.search.mutations import policy_factory

MAX_SHRINK_RUNS = 400  # limit for one finding
MIN_SECONDS = 0.5
MIN_WARM_UP_S = 0.2
MIN_START_S = 0.1
MIN_RATE_PER_S = 20
# Values that simplify a link, by field. They are applied in this order.
NEUTRAL_LINK_VALUES: dict[str, float | bool | None] = {
    "flap_s": None,
    "loss": 0.0,
    "delay_ms": 0.0,
    "spread_ms": 0.0,
    "both": False,
}


def shrink(finding: Finding, max_runs: int = MAX_SHRINK_RUNS) -> Finding:
    """Simplify a finding's scenario greedily, as long as it still breaks the same rule."""
    remaining_runs = max_runs
    while remaining_runs > 0:
        for simpler in _simpler_scenarios(finding.scenario):
            if remaining_runs <= 0:
                return finding
            remaining_runs -= 1
            violation = _violation(simpler, finding)
            if rule_of(violation) == finding.rule:
                finding = finding._replace(scenario=simpler, description=violation)
                break
        else:
            return finding
    return finding


def shrink_links(scenario: Scenario) -> Iterator[Scenario]:
    """Yield the scenario with fewer degraded links, with one of them simplified, and without gossip."""
    if scenario.links:
        yield replace(scenario, links=[])
    for index, link in enumerate(scenario.links):
        before = scenario.links[:index]
        after = scenario.links[index + 1 :]
        yield replace(scenario, links=[*before, *after])
        for key, neutral in NEUTRAL_LINK_VALUES.items():
            if getattr(link, key) != neutral:
                simpler = replace(link, **{key: neutral})
                yield replace(scenario, links=[*before, simpler, *after])
    if scenario.talk:
        yield replace(scenario, talk=False)


def _violation(scenario: Scenario, finding: Finding) -> str:
    """Run a scenario with a finding's seed and policy; return the violation, or an empty string."""
    world = World(scenario, finding.seed, policy_factory(finding.policy))
    world.run()
    return world.broken


def _simpler_scenarios(scenario: Scenario) -> Iterator[Scenario]:
    """Yield simpler scenarios, with the largest simplifications first."""
    for index in range(len(scenario.faults)):
        yield replace(scenario, faults=scenario.faults[:index] + scenario.faults[index + 1 :])
    yield from shrink_links(scenario)
    yield from _shrink_load_and_time(scenario)
    yield from _shrink_faults(scenario)
    traffic = scenario.traffic
    if traffic.per_s > MIN_RATE_PER_S:
        yield replace(scenario, traffic=replace(traffic, per_s=traffic.per_s / 2))


def _shrink_load_and_time(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios without bursts, without client retries, with one sidecar, or with a shorter run."""
    if scenario.bursts:
        yield replace(scenario, bursts=[])
    if scenario.clients.max_attempts > 1:
        yield replace(scenario, clients=replace(scenario.clients, max_attempts=1))
    if scenario.sidecars > 1:
        yield replace(scenario, sidecars=1)
    if scenario.seconds > MIN_SECONDS:
        yield replace(scenario, seconds=scenario.seconds / 2)
    if scenario.warm_s > MIN_WARM_UP_S:
        yield replace(scenario, warm_s=MIN_WARM_UP_S)


def _shrink_faults(scenario: Scenario) -> Iterator[Scenario]:
    """Yield scenarios in which one fault hits fewer endpoints or starts earlier."""
    for index, fault in enumerate(scenario.faults):
        for simpler in _simpler_faults(fault):
            faults = [*scenario.faults[:index], simpler, *scenario.faults[index + 1 :]]
            yield replace(scenario, faults=faults)


def _simpler_faults(fault: Fault) -> Iterator[Fault]:
    if len(fault.endpoints) > 1:
        yield replace(fault, endpoints=fault.endpoints[: len(fault.endpoints) // 2])
    if fault.at_s > MIN_START_S:
        yield replace(fault, at_s=fault.at_s / 2)
