"""The random choice of an endpoint, weighted by load, slowdown, connection cost and key affinity."""

from __future__ import annotations

import pytest

from anisespool.balancer.interface import AttemptStatus
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    listed,
    sends,
    share,
)


def test_endpoints_without_samples_get_equal_weights() -> None:
    counts = {1: 0, 2: 0, 3: 0, 4: 0}
    for seed in range(2000):
        sidecar = Sidecar([listed(n) for n in counts], seed=seed)
        counts[sends(sidecar.request())[0].endpoint] += 1
    # Binomial(2000, 1/4): five standard deviations are 97.
    assert all(abs(n - 500) < 97 for n in counts.values()), counts


def test_weights_are_the_inverse_of_load_plus_one_times_slowdown() -> None:
    """Compares the frequencies of 4000 choices with 1 / w_i, where w_i = (L_i + 1) * x_i."""
    queues, slow = {1: 0, 2: 1, 3: 4}, {1: 1.0, 2: 2.0, 3: 1.0}
    counts = dict.fromkeys(queues, 0)
    for seed in range(4000):
        sidecar = Sidecar([listed(n) for n in queues], seed=seed)
        for number, endpoint in sidecar.balancer.endpoints.by_id.items():
            endpoint.slowdown, endpoint.slowdown_at = slow[number], sidecar.now
            endpoint.reported_queue, endpoint.reported_at = queues[number], sidecar.now
        counts[sends(sidecar.request())[0].endpoint] += 1
    weights = {n: 1 / ((queues[n] + 1) * slow[n]) for n in queues}
    for number, weight in weights.items():
        probability = weight / sum(weights.values())
        bound = 5 * (4000 * probability * (1 - probability)) ** 0.5  # five standard deviations
        assert abs(counts[number] - 4000 * probability) < bound, (number, counts)


def test_a_faster_endpoint_gets_more_requests() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    chosen = []
    for _ in range(400):
        [send] = sends(sidecar.request())
        chosen.append(send.endpoint)
        latency_ns = (20 if send.endpoint == 1 else 100) * MS
        sidecar.now += latency_ns
        sidecar.outcome(send, latency_ns=latency_ns)
    assert share(chosen, 1) > 0.65


def test_own_attempts_since_the_last_report_count_as_load() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    counts = {1: 0, 2: 0}
    for _ in range(60):  # open at the same time; none is rejected, as the answer rate is not known yet
        for send in sends(sidecar.request()):
            counts[send.endpoint] += 1
    assert min(counts.values()) > 20  # even odds would fail for one seed in 74


def test_endpoints_with_an_idle_connection_are_preferred_if_handshakes_have_a_cost() -> None:
    """Without the preference, hundreds of sidecars open a connection for every second request."""
    endpoints_used = {}
    for price in (0.0, 0.07):
        sidecar = Sidecar([listed(n) for n in range(8)], prices__handshake=price)
        endpoints_used[price] = len(set(sidecar.serve(30, latency_ns=100 * MS)))
    assert endpoints_used[0.0] == 8, endpoints_used
    assert endpoints_used[0.07] <= 6, endpoints_used


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (AttemptStatus.OK, 2),
        (AttemptStatus.FULL, 2),
        (AttemptStatus.TIMEOUT, 1),  # the attempt's connection can't be reused
        (AttemptStatus.RESET, 0),  # the idle connection may be broken too
        (AttemptStatus.CONNECT_FAILED, 0),
    ],
)
def test_the_outcome_of_an_attempt_updates_the_idle_connections(status: AttemptStatus, expected: int) -> None:
    sidecar = Sidecar([listed(1)])
    for send in [sends(sidecar.request())[0] for _ in range(2)]:
        sidecar.outcome(send)
    (send,) = sends(sidecar.request())
    assert sidecar.endpoint(1).idle_connections == 1
    sidecar.outcome(send, status, finished=True)
    assert sidecar.endpoint(1).idle_connections == expected
    sidecar.update_endpoints([listed(1, started_ns=sidecar.now)])
    assert sidecar.endpoint(1).idle_connections == 0  # the endpoint has restarted


def test_a_warming_endpoint_without_connections_is_not_penalized_for_it() -> None:
    """With a penalty, the old half of a fleet got nearly all requests when the other half was replaced."""
    sent_to_warming = 0
    for seed in range(200):
        sidecar = Sidecar([listed(n) for n in range(6)], seed=seed, prices__handshake=0.07)
        sidecar.serve(20, latency_ns=50 * MS)
        sidecar.update_endpoints([listed(5, started_ns=sidecar.now)])
        sidecar.now += 5 * SECOND
        sent_to_warming += sidecar.serve(3, latency_ns=300 * MS).count(5)
    # An equal share of the 600 requests is 100; at 5 s, the endpoint has 0.63 of its capacity.
    assert 20 < sent_to_warming < 120, sent_to_warming


@pytest.mark.parametrize("size", [10, 80])
def test_key_affinity_has_the_same_effect_in_small_and_large_fleets(size: int) -> None:
    """A fixed factor gave a key's endpoint a third of the requests among 10 endpoints, a twelfth among 73."""
    sidecar = Sidecar([listed(n) for n in range(size)], family_info__warm_keys=True)
    counts: dict[int, int] = {}
    for _ in range(400):
        for send in sends(sidecar.request(key=77)):
            counts[send.endpoint] = counts.get(send.endpoint, 0) + 1
            sidecar.now += 10 * MS
            sidecar.outcome(send, latency_ns=10 * MS)
    assert 100 < max(counts.values()) < 250
