"""The rule checker reports each rule that was broken, and no other."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from anisespool.fakes.clients import ClientRequest
from anisespool.fakes.endpoint import CountingEndpoint, Execution
from anisespool.fakes.rule_checker import Drain, Verdict, check_rules

RESPONSES = "no request lost"
EFFECTS = "no effect twice"
DRAINS = "drains kept"
SLOW_STARTS = "no cold endpoint pushed over"

SERVED = ClientRequest("t1", "send-one", due_s=0.0, latency_s=0.1, status=200, is_echoed=True)


def broken_rules(verdicts: list[Verdict]) -> set[str]:
    return {verdict.rule for verdict in verdicts if not verdict.kept}


def endpoint_with(*, executions: list[Execution] | None = None, **options: Any) -> CountingEndpoint:
    endpoint = CountingEndpoint("e", **options)
    endpoint.started_s = 0.0
    endpoint.log.executions += executions or []
    return endpoint


def test_all_four_rules_are_checked_in_order_and_hold_without_traffic() -> None:
    assert check_rules([], [], [], []) == [
        Verdict(RESPONSES, True, "0 asked, 0 not answered in time, 0 twice, 0 by another's"),
        Verdict(EFFECTS, True, "0 unsafe runs, 0 ran twice, 0 refused though they had run"),
        Verdict(DRAINS, True, "0 drains, last arrival 0 ms after the news, 0 too late"),
        Verdict(SLOW_STARTS, True, "0 cold starts, at most 0.00 of 3 times what it could do"),
    ]


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, set()),
        ({"status": 0, "is_echoed": False}, {RESPONSES}),
        ({"is_late": True}, {RESPONSES}),
        ({"has_extra_bytes": True}, {RESPONSES}),
        ({"is_echoed": False}, {RESPONSES}),
        ({"status": 503, "is_echoed": False}, {EFFECTS}),  # rejected, although it had been executed
        ({"status": 429, "is_echoed": False}, {EFFECTS}),
        ({"status": 502, "is_echoed": False}, set()),
        ({"status": 503, "is_echoed": False, "request_class": "token-lookup"}, set()),  # an idempotent class
    ],
)
def test_rules_for_a_request_that_was_executed_once(changes: dict[str, Any], expected: set[str]) -> None:
    request = replace(SERVED, **changes)
    endpoint = endpoint_with(executions=[Execution("t1", request.request_class, 1.0)])
    assert broken_rules(check_rules([request], [endpoint], [], [])) == expected


@pytest.mark.parametrize(
    ("request_class", "expected"),
    [("send-one", {EFFECTS}), ("send-segment", {EFFECTS}), ("token-lookup", set())],
)
def test_only_an_idempotent_request_may_be_executed_at_two_endpoints(
    request_class: str, expected: set[str]
) -> None:
    endpoints = [endpoint_with(executions=[Execution("t1", request_class, 1.0)]) for _ in range(2)]
    request = replace(SERVED, request_class=request_class)
    assert broken_rules(check_rules([request], endpoints, [], [])) == expected


@pytest.mark.parametrize(
    ("arrivals_s", "expected"),
    [
        ([1.0, 2.2, 9.0], set()),  # before the drain, within the grace period, after the drain
        ([1.0, 2.2, 2.31, 9.0], {DRAINS}),
        ([7.9], {DRAINS}),
    ],
)
def test_a_draining_endpoint_may_receive_requests_until_the_grace_period_ends(
    arrivals_s: list[float], expected: set[str]
) -> None:
    endpoint = endpoint_with()
    endpoint.log.arrivals_s = arrivals_s
    drain = Drain(endpoint, notified_s=2.0, ended_s=8.0)
    assert broken_rules(check_rules([], [endpoint], [drain], [])) == expected


def test_a_drain_without_an_end_covers_all_later_arrivals() -> None:
    endpoint = endpoint_with()
    endpoint.log.arrivals_s = [1000.0]
    assert broken_rules(check_rules([], [endpoint], [Drain(endpoint, 2.0)], [])) == {DRAINS}


@pytest.mark.parametrize(("interval_s", "expected"), [(0.3, set()), (0.01, {SLOW_STARTS})])
def test_a_restarted_endpoint_may_not_receive_more_than_three_times_its_capacity(
    interval_s: float, expected: set[str]
) -> None:
    """The endpoint's capacity is 10 requests per second, and 1.5 just after its start."""
    endpoint = endpoint_with(slots=1, service_s=0.1, slow_start_s=20.0)
    endpoint.log.arrivals_s = [interval_s * index for index in range(10)]
    assert broken_rules(check_rules([], [endpoint], [], [endpoint])) == expected


def test_arrivals_before_the_restart_are_not_counted() -> None:
    endpoint = endpoint_with(slots=1, service_s=0.1, slow_start_s=20.0)
    endpoint.log.arrivals_s = [0.01 * index for index in range(10)]
    endpoint.started_s = 1.0
    assert broken_rules(check_rules([], [endpoint], [], [endpoint])) == set()


def test_several_broken_rules_are_all_reported() -> None:
    draining = endpoint_with(executions=[Execution("t1", "send-one", 1.0)])
    draining.log.arrivals_s = [1.0, 2.2, 2.31, 9.0]
    restarted = endpoint_with(
        executions=[Execution("t1", "send-one", 1.0)], slots=1, service_s=0.1, slow_start_s=20.0
    )
    restarted.log.arrivals_s = [0.01 * index for index in range(10)]
    verdicts = check_rules([SERVED], [draining, restarted], [Drain(draining, 2.0, 8.0)], [restarted])
    assert broken_rules(verdicts) == {EFFECTS, DRAINS, SLOW_STARTS}
