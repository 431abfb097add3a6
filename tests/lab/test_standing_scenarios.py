"""Zones, tenants, prices and process faults in the simulation, and the library's standing scenarios."""

from __future__ import annotations

from collections import Counter
from typing import Any, NamedTuple

import msgspec
import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointState
from anisespool.lab.model.endpoint import Job
from anisespool.lab.model.policies import POLICIES
from anisespool.lab.model.world import Sidecar, World
from anisespool.lab.scenario import SECOND, Scenario, ScenarioError, from_raw, load

ZONES = [{"count": 4, "zone": zone} for zone in range(3)]


class Arrival(NamedTuple):
    """A request that reached an endpoint, at `at` ns of the scenario time."""

    at: int
    sidecar_zone: int
    endpoint: int
    endpoint_zone: int

    @property
    def crosses(self) -> bool:
        return self.sidecar_zone != self.endpoint_zone


class RecordingWorld(World):
    """Records the requests that reach endpoints, outcomes of attempts, and times of endpoint updates."""

    def __init__(self, *args: Any, **options: Any) -> None:
        self.arrived: list[Arrival] = []
        self.statuses = Counter[str]()
        self.updates: list[int] = []
        super().__init__(*args, **options)

    def receive_request(self, job: Job) -> None:
        endpoint = self.endpoints[job.endpoint - 1]
        zone = self.sidecars[job.sidecar].zone
        at = self.clock.now - self.scenario_start
        self.arrived.append(Arrival(at, zone, endpoint.id, endpoint.spec.zone))
        super().receive_request(job)

    def handle(self, sidecar: Sidecar, event: api.Event) -> None:
        if isinstance(event, api.AttemptOutcome):
            self.statuses[event.status.name] += 1
        elif isinstance(event, api.EndpointListUpdate):
            self.updates.append(self.clock.now - self.scenario_start)
        super().handle(sidecar, event)

    def arrived_between(self, begin_s: float, end_s: float) -> list[Arrival]:
        return [arrival for arrival in self.arrived if begin_s * SECOND < arrival.at < end_s * SECOND]


def run(faults: list[dict[str, Any]], seed: int = 1, policy: str = "ours", **changes: Any) -> RecordingWorld:
    """Runs a scenario of three zones, and checks that no rule is broken."""
    print(f"seed {seed}")
    raw = {
        "seconds": 10,
        "warm_s": 1,
        "sidecars": 12,
        "endpoints": ZONES,
        "troubles": faults,
        "traffic": {"per_s": 200},
        "classes": [{"name": "a", "effect": "repeatable"}, {"name": "b"}],
    }
    world = RecordingWorld(from_raw(raw | changes, "standing"), seed, POLICIES[policy])
    world.run()
    assert not world.broken
    return world


def tenth_of(name: str, **changes: Any) -> Scenario:
    """A standing scenario, scaled down to a tenth of its fleet and traffic."""
    scenario = load(f"standing-{name}")
    replace = msgspec.structs.replace
    groups = [replace(group, count=max(1, round(group.count / 10))) for group in scenario.endpoints]
    traffic = replace(scenario.traffic, per_s=scenario.traffic.per_s / 10)
    sidecars = scenario.sidecars // 10
    return replace(scenario, sidecars=sidecars, endpoints=groups, traffic=traffic, **changes)


@pytest.mark.parametrize("policy", ["random", "ours"])
def test_no_request_passes_between_an_isolated_zone_and_the_others(policy: str) -> None:
    world = run([{"kind": "cut", "zone": 2, "at_s": 3, "for_s": 3}], policy=policy)
    during = world.arrived_between(3.01, 6)  # 10 ms later, messages under way have arrived
    assert during
    assert all((arrival.sidecar_zone == 2) == (arrival.endpoint_zone == 2) for arrival in during)
    after = world.arrived_between(6, float("inf"))
    assert any((arrival.sidecar_zone == 2) != (arrival.endpoint_zone == 2) for arrival in after)


def test_sidecars_of_a_zone_whose_endpoints_vanish_use_other_zones() -> None:
    vanish = {"kind": "vanish", "zone": 1, "at_s": 3, "for_s": 5}
    world = run([vanish], prices={"cross_zone": 0.12, "handshake": 0.07})
    outcomes = Counter[str]()
    for second in range(4, 7):
        for (_, outcome), count in world.metrics.windows[second].items():
            outcomes[outcome] += count
    assert outcomes["in_time"] > 0.6 * sum(outcomes.values()), outcomes


def test_traffic_moves_to_a_zone_from_the_others() -> None:
    world = run([{"kind": "shift", "zone": 0, "at_s": 3, "for_s": 4, "size": 2.0}])
    shares = []
    for begin_s, end_s in ((0, 3), (3, 7)):
        zones = Counter(arrival.sidecar_zone for arrival in world.arrived_between(begin_s, end_s))
        shares.append(zones[0] / sum(zones.values()))
    assert shares == pytest.approx([1 / 3, 2 / 3], abs=0.06)
    counts = [sum(world.metrics.windows[second].values()) for second in (1, 2, 4, 5)]
    assert sum(counts[2:]) == pytest.approx(sum(counts[:2]), rel=0.15)


def test_updates_of_a_quiet_registry_arrive_when_the_fault_ends() -> None:
    drain = {"kind": "drain", "at_s": 2, "for_s": 0.5, "endpoints": [0]}
    faults = [{"kind": "quiet", "at_s": 1, "for_s": 4}, drain]
    raw = {"seconds": 8, "warm_s": 1, "sidecars": 3, "troubles": faults}
    world = RecordingWorld(from_raw(raw, "quiet"), 1)
    world.run()
    updated_at = [at for at in world.updates if at >= 0]  # without the lists that sidecars get at their start
    assert len(updated_at) == 6
    assert min(updated_at) == 5 * SECOND


def test_replacements_have_new_ids_and_the_replaced_endpoints_end() -> None:
    world = run([{"kind": "replace", "part": 0.5, "at_s": 2, "for_s": 2, "spread_s": 2}])
    old, new = world.endpoints[:12], world.endpoints[12:]
    assert [endpoint.id for endpoint in new] == list(range(13, 19))
    gone = [endpoint for endpoint in old if endpoint.list_state is EndpointState.GONE]
    assert len(gone) == 6
    assert all(endpoint.faults.dead for endpoint in gone)
    started_s = sorted((endpoint.started_at - world.scenario_start) / SECOND for endpoint in new)
    assert started_s == pytest.approx([2 + number / 3 for number in range(6)])
    used = {arrival.endpoint for arrival in world.arrived_between(7, float("inf"))}
    assert {endpoint.id for endpoint in new} & used
    assert not {endpoint.id for endpoint in gone} & used


def test_a_rolling_restart_fails_no_accepted_request() -> None:
    roll = {"kind": "roll", "part": 1.0, "at_s": 3, "spread_s": 2.0}
    world = run([roll], classes=[{"name": "b"}])
    assert len(world.sidecars) == 24
    assert world.metrics.share("failed") == 0


def test_a_crash_of_sidecars_fails_accepted_requests() -> None:
    crash = {"kind": "sidecars", "part": 1.0, "at_s": 3, "spread_s": 2.0}
    world = run([crash], classes=[{"name": "b"}])
    assert len(world.sidecars) == 12
    assert world.metrics.share("failed") > 0


def test_lost_responses_end_as_resets_and_time_outs() -> None:
    world = run([{"kind": "lossy", "at_s": 2, "for_s": 5, "part": 1.0, "size": 0.5}])
    assert world.statuses["RESET"] > 50
    assert world.statuses["TIMEOUT"] > 50


def test_traffic_beyond_a_quota_weighs_little_and_leaves_other_tenants_their_service() -> None:
    tenants = [{"name": "a", "share": 0.5}, {"name": "b", "share": 0.5}]
    flood = {"kind": "tenant", "tenant": 1, "at_s": 3, "for_s": 5, "size": 5.0}
    metrics = run([flood], tenants=tenants, traffic={"per_s": 900}).metrics
    requested = sum(metrics.requested.values())
    assert requested > 9000 + 5 * 900 * 1.5
    assert metrics.weight_requested < 0.8 * requested  # a request within its quota weighs 1
    assert metrics.by_tenant[0][True] > 0.6 * sum(metrics.by_tenant[0].values())


def test_prices_agree_with_the_counts() -> None:
    prices = {"cross_zone": 0.12, "handshake": 0.07, "list_line": 0.5, "late_fail": 0.05}
    world = run([], prices=prices, seconds=4)
    metrics = world.metrics
    requested = sum(metrics.requested.values())
    crossings = sum(arrival.crosses for arrival in world.arrived if arrival.at >= 0)
    assert metrics.prices()["cross_zone"] == pytest.approx(0.12 * crossings / requested, rel=0.05)
    assert metrics.list_entries == 0  # all lists were sent during the warm-up
    assert metrics.net() == pytest.approx(
        0.45 * metrics.service()
        + 0.15 * metrics.worst_window()
        + 0.3 * metrics.worst_class()
        + 0.1 * metrics.worst_tenant()
        - sum(metrics.prices().values())
    )


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ({"kind": "cut", "at_s": 1}, "zone: found none"),
        ({"kind": "shift", "at_s": 1, "zone": 7}, "zone: found 7, wanted one of 0, 1, 2"),
        ({"kind": "tenant", "at_s": 1}, "tenant: found 0, wanted below 0"),
        ({"kind": "lossy", "at_s": 1, "size": 2.0}, "size: found 2.0, wanted a share"),
    ],
)
def test_a_wrong_fault_is_an_error_with_its_key(fault: dict[str, Any], message: str) -> None:
    with pytest.raises(ScenarioError, match=message):
        from_raw({"endpoints": ZONES, "troubles": [fault]}, "wrong")


@pytest.mark.parametrize("name", ["calm", "flood", "roll", "herd", "zone", "split", "join"])
def test_a_standing_scenario_breaks_no_rule(name: str) -> None:
    world = World(tenth_of(name, seconds=12.0), 3)
    metrics = world.run()
    assert not world.broken
    assert sum(metrics.requested.values()) > 3000


def test_most_attempts_stay_in_their_zone_and_reuse_connections() -> None:
    """On the operators' calm day, 200 sidecars that chose each time among all endpoints crossed zones for
    half of their requests, and opened a connection for two in five."""
    metrics = World(tenth_of("calm", seconds=12.0, faults=[]), 1).run()
    requested = sum(metrics.requested.values())
    assert metrics.crossings / requested < 0.25
    assert metrics.handshakes / requested < 0.2
    assert metrics.service() > 0.95
