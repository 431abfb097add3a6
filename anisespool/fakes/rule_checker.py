"""Checks the four rules of the product by the logs of clients and endpoints.

Nothing that a sidecar reports is used. The rules' names and figures are those of the demo's `--json` output.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple

from anisespool.fakes.clients import ClientOutcome, ClientRequest
from anisespool.fakes.endpoint import CountingEndpoint
from anisespool.fakes.platform import REQUEST_CLASSES

DRAIN_GRACE_S = 0.25 + 0.05
"""Time after the notification of a drain in which requests may arrive; on sockets, the rules add 50 ms."""
OVERLOAD_MULTIPLE = 3.0
OVERLOAD_WINDOW_S = 1.5
MAX_WINDOW_ARRIVALS = 5000
NON_IDEMPOTENT = frozenset(row.name for row in REQUEST_CLASSES if row.effect == "once")


class Drain(NamedTuple):
    """A period in which an endpoint was to receive no new requests; monotonic times."""

    endpoint: CountingEndpoint
    notified_s: float
    """Start of the grace period; no later than the notification of the last sidecar."""
    ended_s: float = float("inf")


class Verdict(NamedTuple):
    """Whether a rule was kept, and the figures that the verdict rests on."""

    rule: str
    kept: bool
    figures: str


def check_rules(
    requests: Iterable[ClientRequest],
    endpoints: Iterable[CountingEndpoint],
    drains: Iterable[Drain],
    restarted: Iterable[CountingEndpoint],
) -> list[Verdict]:
    """Check the four rules.

    Args:
        requests: Requests of all clients.
        endpoints: All endpoints.
        drains: All drains.
        restarted: Endpoints that were started under traffic.
    """
    all_requests = list(requests)
    return [
        _check_responses(all_requests),
        _check_effects(all_requests, endpoints),
        _check_drains(list(drains)),
        _check_slow_starts(list(restarted)),
    ]


def _check_responses(requests: list[ClientRequest]) -> Verdict:
    """Check that each request got exactly one response, its own, before its deadline."""
    lost = sum(request.status == 0 or request.is_late for request in requests)
    repeated = sum(request.has_extra_bytes for request in requests)
    foreign = sum(request.status == 200 and not request.is_echoed for request in requests)
    figures = f"{len(requests)} asked, {lost} not answered in time, {repeated} twice, {foreign} by another's"
    return Verdict("no request lost", not (lost or repeated or foreign), figures)


def _check_effects(requests: list[ClientRequest], endpoints: Iterable[CountingEndpoint]) -> Verdict:
    """Check that no request that is not idempotent was executed twice, or executed and then rejected."""
    executions: Counter[str] = Counter()
    for endpoint in endpoints:
        executions.update(
            execution.trace_id
            for execution in endpoint.log.executions
            if execution.request_class in NON_IDEMPOTENT
        )
    repeated = sum(count > 1 for count in executions.values())
    rejected = sum(
        request.request_class in NON_IDEMPOTENT
        and request.outcome is ClientOutcome.REJECTED
        and executions[request.trace_id] > 0
        for request in requests
    )
    figures = (
        f"{executions.total()} unsafe runs, {repeated} ran twice, {rejected} refused though they had run"
    )
    return Verdict("no effect twice", not (repeated or rejected), figures)


def _check_drains(drains: list[Drain]) -> Verdict:
    """Check that no request arrived at a draining endpoint after the grace period."""
    late = 0
    latest_s = 0.0
    for drain in drains:
        for arrived_s in drain.endpoint.log.arrivals_s:
            if drain.notified_s < arrived_s < drain.ended_s:
                delay_s = arrived_s - drain.notified_s
                late += delay_s > DRAIN_GRACE_S
                latest_s = max(latest_s, delay_s)
    figures = f"{len(drains)} drains, last arrival {latest_s * 1000:.0f} ms after the news, {late} too late"
    return Verdict("drains kept", late == 0, figures)


def _check_slow_starts(restarted: list[CountingEndpoint]) -> Verdict:
    """Check that the arrivals in a window never exceed a multiple of the capacity at its start."""
    worst = 0.0
    for endpoint in restarted:
        arrivals_s = [at_s for at_s in endpoint.log.arrivals_s if at_s >= endpoint.started_s]
        for index, begin_s in enumerate(arrivals_s):
            window = arrivals_s[index : index + MAX_WINDOW_ARRIVALS]
            received = sum(at_s < begin_s + OVERLOAD_WINDOW_S for at_s in window)
            worst = max(worst, received / (endpoint.capacity_per_s(begin_s) * OVERLOAD_WINDOW_S))
    figures = (
        f"{len(restarted)} cold starts, at most {worst:.2f} of {OVERLOAD_MULTIPLE:g} times what it could do"
    )
    return Verdict("no cold endpoint pushed over", worst <= OVERLOAD_MULTIPLE, figures)
