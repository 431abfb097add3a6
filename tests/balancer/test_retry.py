"""Attempts, retries and final answers of requests."""

from __future__ import annotations

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, EndpointListKind, EndpointState
from anisespool.balancer.retry.budget import MAX_RETRY_TOKENS, RetryBudget
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    finals,
    listed,
    sends,
    timers,
)


def test_an_attempt_that_was_not_executed_is_retried_elsewhere() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [first] = sends(sidecar.request(cls=2))
    sidecar.now += 5 * MS
    [second] = sends(sidecar.outcome(first, AttemptStatus.FULL))
    assert second.endpoint != first.endpoint


def test_a_non_idempotent_request_that_may_have_executed_fails_and_is_not_rejected() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    [send] = sends(sidecar.request(cls=2))
    assert sidecar.outcome(send, AttemptStatus.ERROR) == [api.Fail(send.request)]


def test_a_retry_with_an_idempotency_key_stays_in_the_deduplication_scope_and_window() -> None:
    listings = [listed(1), listed(2), listed(3, zone=1), listed(4, zone=1)]
    zone = {row.endpoint: row.zone for row in listings}
    for seed in range(40):
        sidecar = Sidecar(listings, seed=seed)
        [first] = sends(sidecar.request(cls=1))
        [second] = sends(sidecar.outcome(first, AttemptStatus.RESET))
        assert zone[second.endpoint] == zone[first.endpoint]
    sidecar = Sidecar(listings)
    [first] = sends(sidecar.request(cls=1))
    sidecar.now += SECOND - 30 * MS  # the window would end while the retry is in transit
    assert sends(sidecar.outcome(first, AttemptStatus.RESET)) == []


def test_a_request_that_reaches_the_attempt_limit_gets_one_answer() -> None:
    sidecar = Sidecar([listed(n) for n in range(1, 9)])
    actions = sidecar.request()
    for attempt in range(3):
        [send] = sends(actions)
        sidecar.now += 5 * MS
        actions = sidecar.outcome(send, AttemptStatus.CONNECT_FAILED, attempt=attempt)
    assert sends(actions) == []
    assert len(finals(actions)) == 1


def test_a_request_without_endpoints_waits_and_is_rejected_at_its_deadline_at_the_latest() -> None:
    sidecar = Sidecar([])
    start = sidecar.now
    pending = timers(sidecar.request(left_ns=300 * MS))
    answers: list[api.Action] = []
    while pending and sidecar.now < start + SECOND:
        timer = pending.pop()
        sidecar.now += timer.delay_ns
        actions = sidecar.handle(api.TimerExpired(timer.token))
        pending += timers(actions)
        answers += finals(actions)
    assert answers == [api.Reject(1)]
    assert sidecar.now <= start + 300 * MS


def test_a_waiting_request_is_sent_once_an_endpoint_is_listed() -> None:
    sidecar = Sidecar([])
    [timer] = timers(sidecar.request())
    sidecar.update_endpoints([listed(1)])
    sidecar.now += timer.delay_ns
    assert sends(sidecar.handle(api.TimerExpired(timer.token)))[0].endpoint == 1


def test_nothing_is_sent_to_a_draining_or_removed_endpoint() -> None:
    sidecar = Sidecar([listed(1), listed(2), listed(3)])
    sidecar.update_endpoints([listed(1, state=EndpointState.DRAINING), listed(2, state=EndpointState.GONE)])
    assert set(sidecar.serve(50)) == {3}
    sidecar.update_endpoints([listed(4)], EndpointListKind.FULL)
    assert set(sidecar.serve(50)) == {4}


def test_a_timeout_at_the_deadline_is_answered_at_once() -> None:
    sidecar = Sidecar([listed(1)])
    [send] = sends(sidecar.request(cls=2))
    sidecar.now += 2 * SECOND
    assert sidecar.outcome(send, AttemptStatus.TIMEOUT, latency_ns=2 * SECOND) == [api.Fail(send.request)]


def test_the_single_attempt_of_a_request_is_cancelled_when_the_client_disconnects() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(40)
    actions = sidecar.request()
    [send] = sends(actions)
    assert timers(actions) == []  # no hedging: it gave no gain beyond noise in any deployment or incident
    sidecar.now += 600 * MS
    assert sidecar.handle(api.ClientDisconnected(send.request)) == [api.Cancel(send.request, 0)]


def test_a_slow_attempt_times_out_early_if_a_retry_could_follow() -> None:
    """If an endpoint does not respond or answers are lost, waiting would use up the time for a retry."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=50 * MS)
    [send] = sends(sidecar.request())
    assert 100 * MS < send.timeout_ns <= 300 * MS
    sidecar.now += send.timeout_ns
    [retry] = sends(sidecar.outcome(send, AttemptStatus.TIMEOUT, latency_ns=send.timeout_ns))
    assert retry.endpoint != send.endpoint
    [not_idempotent] = sends(sidecar.request(cls=2))
    assert not_idempotent.timeout_ns == 700 * MS  # the latency objective


def test_an_attempt_has_no_early_timeout_if_little_time_would_be_left_for_a_retry() -> None:
    """Answers that take long show load: a retry is no more likely to be answered, and adds to the load."""
    sidecar = Sidecar([listed(1), listed(2)])
    sidecar.serve(60, latency_ns=150 * MS)
    [send] = sends(sidecar.request())
    assert send.timeout_ns == 700 * MS  # the latency objective


def test_a_request_is_neither_retried_nor_cancelled_after_its_first_byte() -> None:
    sidecar = Sidecar([listed(1), listed(2)])
    actions = sidecar.request()
    [send] = sends(actions)
    sidecar.handle(api.FirstByteReceived(send.request, send.endpoint, MS, 0))
    for timer in timers(actions):
        sidecar.now += timer.delay_ns
        assert sidecar.handle(api.TimerExpired(timer.token)) == []


def test_the_retry_budget_allows_one_retry_for_five_requests() -> None:
    budget = RetryBudget()
    retries = 0
    for _ in range(1000):
        budget.record_request()
        while budget.has_token():
            budget.consume()
            retries += 1
    assert 200 <= retries <= 210  # a fifth of the requests, and the ten initial tokens
    for _ in range(1000):
        budget.record_request()
    assert budget.tokens == MAX_RETRY_TOKENS
