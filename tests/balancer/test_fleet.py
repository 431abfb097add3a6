"""Many sidecars: subsetting and gossip."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.interface import EndpointState
from anisespool.balancer.selection.subsetting import MIN_SUBSET_ENDPOINTS
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    pending_request,
    sends,
)


def test_the_subset_grows_with_the_request_rate() -> None:
    """If hundreds of sidecars connected to every endpoint, they would fill its connection table."""
    listings = [listed(n) for n in range(200)]
    rarely_used = Sidecar(listings)
    assert len(set(rarely_used.serve(300, latency_ns=900 * MS))) <= 20
    busy = Sidecar(listings)
    assert len(set(busy.serve(3000, latency_ns=5 * MS))) > 120


def test_two_thirds_of_the_subset_are_local_if_requests_to_other_zones_have_a_cost() -> None:
    """A subset of local endpoints alone would leave no working endpoint if the zone fails."""
    listings = [listed(n, zone=n // 40) for n in range(200)]
    for seed in range(50):
        balancer = Sidecar(listings, seed=seed, zone=2, prices__cross_zone=0.12).balancer
        subset = balancer.endpoints.subset(balancer.request_rate.read(balancer.now))
        zones = [
            e.zone
            for e in balancer.eligibility.eligible(pending_request(Sidecar(listings)), subset, balancer.now)
        ]
        assert len(zones) == MIN_SUBSET_ENDPOINTS, (seed, zones)
        assert 5 <= zones.count(2) <= 6, (seed, zones)
        assert sorted(e.id for e in balancer.endpoints.ready) == list(range(200))  # all, the subset first
        assert [e.rank for e in Sidecar(listings, seed=seed).balancer.endpoints.ready] == sorted(
            e.rank for e in Sidecar(listings, seed=seed).balancer.endpoints.ready
        )


def test_sidecars_use_different_subsets() -> None:
    listings, used = [listed(n) for n in range(60)], dict.fromkeys(range(60), 0)
    for seed in range(300):
        for endpoint in set(Sidecar(listings, seed=seed).serve(40, latency_ns=SECOND)):
            used[endpoint] += 1
    assert max(used.values()) < 2.5 * min(used.values())


def test_draining_endpoints_are_replaced_in_the_subset() -> None:
    sidecar = Sidecar([listed(n) for n in range(60)])
    subset = set(sidecar.serve(60, latency_ns=SECOND))
    sidecar.update_endpoints([listed(n, state=EndpointState.DRAINING) for n in subset])
    assert sends(sidecar.request())[0].endpoint not in subset


def gossip_messages(actions: list[api.Action]) -> list[api.SendGossip]:
    return [a for a in actions if isinstance(a, api.SendGossip)]


def test_gossip_is_sent_at_intervals_and_only_if_it_is_allowed() -> None:
    disabled, enabled = (
        Sidecar([listed(1)]),
        Sidecar([listed(1)], allowed__peers=True, fleet_size=5, self_index=2),
    )
    messages = []
    for _ in range(50):
        for send in sends(disabled.request()):
            assert not gossip_messages(disabled.outcome(send))
        for send in sends(enabled.request()):
            enabled.now += 70 * MS
            messages += gossip_messages(enabled.outcome(send))
    with_observations = [m for m in messages if m.observations]
    assert 3 <= len(with_observations) <= 6
    assert len(messages) == 4 * len(with_observations)
    assert {m.peer for m in messages} <= {0, 1, 3, 4}


def test_an_observation_counts_only_if_newer_than_the_own_sample_and_the_process_start() -> None:
    sidecar = Sidecar([listed(1), listed(2, started_ns=99 * SECOND)], allowed__peers=True)
    sidecar.serve(20)
    sampled_at = sidecar.endpoint(1).slowdown_at
    sidecar.now += SECOND
    old = api.EndpointObservation(1, 9.0, 9.0, sidecar.now - sampled_at + MS)
    before_start = api.EndpointObservation(2, 9.0, 9.0, 5 * SECOND)
    sidecar.handle(api.GossipReceived(1, 0.0, (old, before_start)))
    assert sidecar.endpoint(1).slowdown < 5 > sidecar.endpoint(2).slowdown
    sidecar.handle(api.GossipReceived(1, 0.0, (api.EndpointObservation(1, 9.0, 9.0, 0),)))
    assert sidecar.endpoint(1).slowdown == 9.0 == sidecar.endpoint(1).reported_queue
