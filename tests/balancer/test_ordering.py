"""Requests with one ordering key run one at a time."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus
from tests.support import (
    MS,
    SECOND,
    Sidecar,
    finals,
    listed,
    sends,
    timers,
    without_logs,
)

IN_ORDER = [{"target-ns": 700 * MS, "deadline-ns": 2 * SECOND, "effect": "once", "in-order": True}]


def ordered_sidecar() -> Sidecar:
    changes: dict[str, Any] = {"request_classes": IN_ORDER, "guarantees__order_settle_ns": 100 * MS}
    return Sidecar([listed(n) for n in range(1, 5)], **changes)


def expire_first_timer(sidecar: Sidecar, actions: list[api.Action]) -> list[api.Action]:
    """Advance the time to the first timer among the actions, and expire it."""
    timer = timers(actions)[0]
    sidecar.now += timer.delay_ns
    return without_logs(sidecar.handle(api.TimerExpired(timer.token)))


def test_requests_with_one_key_run_one_at_a_time_in_order() -> None:
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    second, third = sidecar.request(key=9), sidecar.request(key=9)
    assert not sends(second)
    assert not sends(third)
    assert sends(sidecar.request(key=8))
    assert sends(sidecar.request())
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(first))
    assert send.request == 2
    sidecar.now += 50 * MS
    [send] = sends(sidecar.outcome(send))
    assert send.request == 3
    assert sends(expire_first_timer(sidecar, second)) == []  # the request was answered before its timer


@pytest.mark.parametrize("status", [AttemptStatus.TIMEOUT, AttemptStatus.RESET])
def test_a_key_pauses_after_an_attempt_that_may_still_execute(status: AttemptStatus) -> None:
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    sidecar.request(key=9)
    sidecar.now += 50 * MS
    actions = sidecar.outcome(first, status)
    assert finals(actions)
    assert not sends(actions)
    [pause_timer] = [t for t in timers(actions) if t.delay_ns == 100 * MS]
    sidecar.now += pause_timer.delay_ns
    [send] = sends(sidecar.handle(api.TimerExpired(pause_timer.token)))
    assert send.request == 2


def test_a_key_waits_for_the_outcome_of_a_cancelled_attempt_and_pauses() -> None:
    """The client has disconnected, but the attempt may still be executing."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    assert sidecar.handle(api.ClientDisconnected(first.request)) == [api.Cancel(first.request, 0)]
    assert not sends(sidecar.request(key=9))
    sidecar.now += 20 * MS
    actions = sidecar.outcome(first, AttemptStatus.CANCELLED, finished=True)
    assert not sends(actions)
    [send] = sends(expire_first_timer(sidecar, actions))
    assert send.request == 2


def test_requests_behind_a_stuck_one_are_rejected_before_they_are_late() -> None:
    """Otherwise the queue of a popular key grows until every request in it is late."""
    sidecar = ordered_sidecar()
    sidecar.serve(60, latency_ns=200 * MS)
    sidecar.request(key=9)
    waiting = [sidecar.request(key=9) for _ in range(6)]
    assert [bool(finals(actions)) for actions in waiting] == [False, False, False, True, True, True]
    start, first_waiting = sidecar.now, 62
    actions = expire_first_timer(sidecar, waiting[2])
    assert api.Reject(first_waiting + 2) in actions
    assert sidecar.now < start + 700 * MS


def test_a_disconnect_of_a_waiting_request_does_not_send_the_first_again() -> None:
    """A request that is not idempotent was sent twice when its timer and its turn both resumed it."""
    sidecar = ordered_sidecar()
    [first] = sends(sidecar.request(key=9))
    sidecar.request(key=9)
    actions = without_logs(sidecar.handle(api.ClientDisconnected(2)))
    assert not sends(actions)
    sidecar.now += 50 * MS
    assert not sends(sidecar.outcome(first))
    assert not sidecar.balancer.ordering.queues
