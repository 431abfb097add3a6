"""Generates scenarios for the search: random small fleets with random faults, and variations of them.

A seed has to give the same scenarios in every version, so that a search can be repeated: the order in which
values are drawn must not change.
"""

from __future__ import annotations

from random import Random
from typing import get_args

from msgspec.structs import replace

from anisespool.lab.scenario import (
    KINDS_SIZED_AS_SHARE,
    OF_A_ZONE,
    OF_ALL,
    Burst,
    Class,
    Clients,
    Endpoints,
    Fault,
    Kind,
    Link,
    Scenario,
    Traffic,
)

# Kinds that need tenants, which no generated scenario has, or that the simulation does not model.
EXCLUDED_KINDS = frozenset({"tenant", "starve", "descriptors", "memory", "clock"})
KINDS: tuple[Kind, ...] = tuple(kind for kind in get_args(Kind) if kind not in EXCLUDED_KINDS)
MAX_FAULTS = 6
MAX_LINKS = 3
MAX_RATE_PER_S = 600.0
LINKS_PROBABILITY = 0.35
BURST_PROBABILITY = 0.3
GOSSIP_PROBABILITY = 0.3
PARTIAL_FAULT_PROBABILITY = 0.3  # the fault hits a share of the endpoints, not endpoints listed by number
LATEST_START_SHARE = 0.9  # faults and links start within this share of the scenario's duration


def draw_scenario(random: Random) -> Scenario:
    """Draw a scenario: a small fleet, its traffic and its faults."""
    scenario = _draw_fleet(random)
    load = random.uniform(0.1, 1.3)
    rate_per_s = min(MAX_RATE_PER_S, load * scenario.capacity_per_s())
    scenario = replace(scenario, traffic=Traffic(per_s=rate_per_s))
    if random.random() < BURST_PROBABILITY:
        scenario = replace(scenario, bursts=[_draw_burst(random, scenario)])
    faults = [_draw_fault(random, scenario) for _ in range(random.randint(1, MAX_FAULTS))]
    links = [_draw_link(random, scenario) for _ in range(random.randint(1, MAX_LINKS))]
    if random.random() >= LINKS_PROBABILITY:
        links = []
    gossip = random.random() < GOSSIP_PROBABILITY
    return replace(scenario, faults=faults, links=links, talk=gossip)


def vary_scenario(random: Random, scenario: Scenario) -> Scenario:
    """Add, replace or remove a fault, add a degraded link, or change the request rate."""
    faults = list(scenario.faults)
    roll = random.random()
    if roll < 0.4 and len(faults) < MAX_FAULTS:
        faults.append(_draw_fault(random, scenario))
    elif roll < 0.7 and faults:
        fault = _draw_fault(random, scenario)  # drawn before the index, to keep the order
        faults[random.randrange(len(faults))] = fault
    elif roll < 0.8 and len(faults) > 1:
        del faults[random.randrange(len(faults))]
    elif roll < 0.9:
        recent_links = scenario.links[-MAX_LINKS + 1 :]
        return replace(scenario, links=[*recent_links, _draw_link(random, scenario)])
    else:
        rate_per_s = min(MAX_RATE_PER_S, scenario.traffic.per_s * random.uniform(0.5, 2))
        return replace(scenario, traffic=replace(scenario.traffic, per_s=rate_per_s))
    return replace(scenario, faults=faults)


def _draw_fleet(random: Random) -> Scenario:
    """Draw a scenario without traffic and faults."""
    seconds = random.uniform(4, 10)
    endpoints = [_draw_endpoints(random, zone) for zone in range(random.randint(1, 3))]
    classes = [
        Class(name="safe", effect="repeatable", work_ms=20, work="exponential"),
        Class(name="once", effect="once", work_ms=random.choice((20.0, 60.0)), work="exponential"),
    ]
    return Scenario(
        seconds=seconds,
        warm_s=random.uniform(0.2, 2),
        sidecars=random.randint(1, 4),
        endpoints=endpoints,
        classes=classes,
        clients=Clients(max_attempts=random.randint(1, 3), gives_up=(0.4, 1.0)),
    )


def _draw_endpoints(random: Random, zone: int) -> Endpoints:
    """Draw a group of endpoints in one zone."""
    return Endpoints(
        count=random.randint(1, 4),
        cores=random.choice((1, 2, 3, 8)),
        speed=random.uniform(0.5, 1.8),
        waiting=random.choice((2, 10, 60)),
        connections=random.choice((4, 50, 1000)),
        cancel=random.choice(("none", "queued", "all")),
        zone=zone,
    )


def _draw_burst(random: Random, scenario: Scenario) -> Burst:
    count = random.randint(5, 200)
    at_s = random.uniform(0, scenario.seconds)
    return Burst(at_s=at_s, count=count, over_ms=random.choice((0.0, 200.0)))


def _draw_link(random: Random, scenario: Scenario) -> Link:
    """Draw a degraded link between two parts of the fleet."""
    selectors = ["all", "sidecars", "endpoints", "discovery", "half:0", "half:1", "sidecar:0", "endpoint:0"]
    selectors += [f"zone:{zone}" for zone in scenario.zones()]
    return Link(
        at_s=random.uniform(0, scenario.seconds * LATEST_START_SHARE),
        for_s=random.uniform(0.05, scenario.seconds),
        from_=random.choice(selectors),
        to=random.choice([*selectors, "!zone:0"]),
        both=random.random() < 0.5,
        cut=random.choice(("", "", "silent", "refused", "reset")),
        loss=random.choice((0.0, 0.0, 0.1, 0.6)),
        burst=random.choice((1.0, 5.0)),
        delay_ms=random.choice((0.0, 5.0, 150.0)),
        spread_ms=random.choice((0.0, 50.0)),
        duplicate=random.choice((0.0, 0.3)),
        flap_s=random.choice((None, None, 0.5, 2.0)),
    )


def _draw_fault(random: Random, scenario: Scenario) -> Fault:
    """Draw a fault that hits a zone, a share of the fleet or endpoints by number, as its kind allows."""
    kind = random.choice(KINDS)
    size = random.uniform(0.2, 1.0) if kind in KINDS_SIZED_AS_SHARE else random.choice((1.5, 3.0, 10.0, 40.0))
    at_s = random.uniform(0, scenario.seconds * LATEST_START_SHARE)
    for_s = random.uniform(0.05, scenario.seconds)
    fault = Fault(kind=kind, at_s=at_s, for_s=for_s, size=size)
    if kind in OF_A_ZONE:
        return replace(fault, zone=random.choice(scenario.zones()))
    if kind in OF_ALL or random.random() < PARTIAL_FAULT_PROBABILITY:
        part = random.uniform(0.05, 1.0)
        return replace(fault, part=part, spread_s=random.choice((0.0, 1.0)))
    endpoints = random.sample(range(scenario.endpoint_count), random.randint(1, scenario.endpoint_count))
    return replace(fault, endpoints=sorted(endpoints))
