"""Judges the records of a run by the rules of the product.

Not judged: the overload of warming endpoints, which needs the endpoints' true capacity.
"""

from __future__ import annotations

from collections import defaultdict

from tests.soak.plan import DEDUP_WINDOW_S
from tests.soak.records import Arrival, ClientEnd, RunRecord, SentRequest

MAX_LATE_ANSWER_S = 0.5
MAX_AFTER_LEAVING_S = 0.1
MAX_DEADLINE_EXCESS_S = 0.15
SOCKET_SLACK_S = 0.05
MAX_DRAIN_NOTICE_S = 0.25 + SOCKET_SLACK_S
MAX_LISTED = 5


def judge(record: RunRecord) -> list[str]:
    """Return the violations of the rules, one text for each."""
    sent = {request.trace_id: request for request in record.requests}
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for arrival in record.arrivals:
        arrivals[arrival.trace_id].append(arrival)
    violations = _lost(record, arrivals) + _wrong_answers(record)
    for arrival in record.arrivals:
        if not arrival.is_repeat:
            violations += _arrival_violations(arrival, sent[arrival.trace_id])
    violations += _executed_twice(record, sent) + _sent_to_draining(record)
    return violations + _over_limits(record)


def _over_limits(record: RunRecord) -> list[str]:
    violations = []
    for usage in record.usage:
        if usage.memory_mb > usage.max_memory_mb:
            violations.append(f"sidecar {usage.sidecar} used {usage.memory_mb:.1f} MB")
        if usage.descriptors > usage.max_descriptors:
            violations.append(f"sidecar {usage.sidecar} used {usage.descriptors} descriptors")
    return violations


def _lost(record: RunRecord, arrivals: dict[str, list[Arrival]]) -> list[str]:
    violations = []
    for request in record.requests:
        late_s = request.ended_s - request.gives_up_s
        if request.end is ClientEnd.NO_ANSWER:
            violations.append(f"lost: no answer to {_describe(request)}")
        elif request.end is ClientEnd.ANSWERED and late_s > MAX_LATE_ANSWER_S:
            violations.append(f"lost: answer {late_s:.3f} s late to {_describe(request)}")
        elif request.end is ClientEnd.CLOSED and arrivals.get(request.trace_id):
            violations.append(f"lost: closed after it was forwarded: {_describe(request)}")
    return violations


def _wrong_answers(record: RunRecord) -> list[str]:
    return [
        f"lost: answered with another's body: {_describe(request)}"
        for request in record.requests
        if request.status == 200 and request.body != request.trace_id.encode()
    ]


def _arrival_violations(arrival: Arrival, request: SentRequest) -> list[str]:
    violations = []
    if request.end is ClientEnd.LEFT and arrival.at_s - request.ended_s > MAX_AFTER_LEAVING_S:
        late_s = arrival.at_s - request.ended_s
        violations.append(f"lost: attempt {late_s:.3f} s after its client left: {_describe(request)}")
    excess_s = arrival.told_s - (request.gives_up_s - arrival.at_s)
    if excess_s > MAX_DEADLINE_EXCESS_S:
        violations.append(f"told {excess_s:.3f} s more than is left: {_describe(request)}")
    return violations


def _executed_twice(record: RunRecord, sent: dict[str, SentRequest]) -> list[str]:
    violations = []
    first: dict[str, float] = {}
    for arrival in sorted(record.arrivals, key=lambda arrival: arrival.at_s):
        effect = sent[arrival.trace_id].effect
        if not arrival.executed or effect == "repeatable":
            continue
        # A client may retry a keyed request until its window ends, and the retry has a window of its own.
        repeated = arrival.trace_id if effect == "by_key" else arrival.task
        after_s = arrival.at_s - first.setdefault(repeated, arrival.at_s)
        is_discarded = effect == "by_key" and after_s <= DEDUP_WINDOW_S + SOCKET_SLACK_S
        if after_s and not is_discarded:
            violations.append(f"executed twice, {after_s:.3f} s apart: {_describe(sent[arrival.trace_id])}")
    return violations


def _sent_to_draining(record: RunRecord) -> list[str]:
    violations = []
    for notice in record.drains:
        ends_s = [end.at_s for end in record.drain_ends if end.endpoint == notice.endpoint]
        end_s = min((at_s for at_s in ends_s if at_s > notice.at_s), default=float("inf"))
        violations += [
            f"sent to endpoint {arrival.endpoint} {arrival.at_s - notice.at_s:.3f} s after its drain"
            for arrival in record.arrivals
            if arrival.endpoint == notice.endpoint
            and arrival.sidecar in notice.sidecars
            and notice.at_s + MAX_DRAIN_NOTICE_S < arrival.at_s < end_s
        ]
    return violations


def _describe(request: SentRequest) -> str:
    return (
        f"{request.trace_id} ({request.effect}) of sidecar {request.sidecar}, sent {request.sent_s:.3f}, "
        f"waits {request.wait_s:.3f} s, {request.end.value} {request.ended_s:.3f}"
    )
