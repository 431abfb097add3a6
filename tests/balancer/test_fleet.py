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


def test_a_sidecar_that_sends_little_keeps_to_few_endpoints_and_a_busy_one_does_not() -> None:
    """Hundreds of sidecars connected to every endpoint would fill the endpoints' connection tables."""
    listings = [listed(n) for n in range(200)]
    idle = Sidecar(listings)
    assert len(set(idle.serve(300, latency_ns=900 * MS))) <= 20
    busy = Sidecar(listings)
    assert len(set(busy.serve(3000, latency_ns=5 * MS))) > 120


def test_two_of_three_endpoints_are_local_where_crossing_zones_costs() -> None:
    """With local endpoints alone, a sidecar whose zone falls silent would have nowhere to go."""
    listings = [listed(n, zone=n // 40) for n in range(200)]
    for seed in range(50):
        priced = Sidecar(listings, seed=seed, zone=2, prices__cross_zone=0.12).balancer
        subset = priced.endpoints.subset(priced.request_rate.read(priced.now))
        first = [
            e.zone
            for e in priced.eligibility.eligible(pending_request(Sidecar(listings)), subset, priced.now)
        ]
        assert len(first) == MIN_SUBSET_ENDPOINTS, (seed, first)
        assert 5 <= first.count(2) <= 6, (seed, first)
        assert sorted(e.id for e in priced.endpoints.ready) == list(range(200))  # all others behind them
        assert [e.rank for e in Sidecar(listings, seed=seed).balancer.endpoints.ready] == sorted(
            e.rank for e in Sidecar(listings, seed=seed).balancer.endpoints.ready
        )


def test_sidecars_use_different_subsets() -> None:
    listings, used = [listed(n) for n in range(60)], dict.fromkeys(range(60), 0)
    for seed in range(300):
        for endpoint in set(Sidecar(listings, seed=seed).serve(40, latency_ns=SECOND)):
            used[endpoint] += 1
    assert max(used.values()) < 2.5 * min(used.values())


def test_a_subset_that_was_removed_is_replaced() -> None:
    sidecar = Sidecar([listed(n) for n in range(60)])
    few = set(sidecar.serve(60, latency_ns=SECOND))
    sidecar.update_endpoints([listed(n, state=EndpointState.DRAINING) for n in few])
    assert sends(sidecar.request())[0].endpoint not in few


def gossip_messages(actions: list[api.Action]) -> list[api.SendGossip]:
    return [a for a in actions if isinstance(a, api.SendGossip)]


def test_gossip_is_sparse_and_only_where_it_is_allowed() -> None:
    silent, peer = Sidecar([listed(1)]), Sidecar([listed(1)], allowed__peers=True, fleet_size=5, self_index=2)
    messages = []
    for _ in range(50):
        for send in sends(silent.request()):
            assert not gossip_messages(silent.outcome(send))
        for send in sends(peer.request()):
            peer.now += 70 * MS
            messages += gossip_messages(peer.outcome(send))
    full = [m for m in messages if m.observations]
    assert 3 <= len(full) <= 6
    assert len(messages) == 4 * len(full)
    assert {m.peer for m in messages} <= {0, 1, 3, 4}


def test_a_newer_observation_of_a_peer_counts_and_an_older_one_does_not() -> None:
    sidecar = Sidecar([listed(1), listed(2, started_ns=99 * SECOND)], allowed__peers=True)
    sidecar.serve(20)
    at = sidecar.endpoint(1).slowdown_at
    sidecar.now += SECOND
    old = api.EndpointObservation(1, 9.0, 9.0, sidecar.now - at + MS)
    before_start = api.EndpointObservation(2, 9.0, 9.0, 5 * SECOND)
    sidecar.handle(api.GossipReceived(1, 0.0, (old, before_start)))
    assert sidecar.endpoint(1).slowdown < 5 > sidecar.endpoint(2).slowdown
    sidecar.handle(api.GossipReceived(1, 0.0, (api.EndpointObservation(1, 9.0, 9.0, 0),)))
    assert sidecar.endpoint(1).slowdown == 9.0 == sidecar.endpoint(1).reported_queue
