"""Rules are judged by the endpoints' counts; a run that was disturbed gives no verdict."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.backend_messages import BackendReport
from anisespool.lab.live.process_account import Outage, OutageCause, ProcessAccount, ReportedEvent
from anisespool.lab.live.run_judgement import MAX_LATENESS_P99_MS, judge_run
from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import MS, SECOND
from tests.lab.live_results import empty_result


def arrival(**changes: int) -> Arrival:
    """An arrival that breaks no rule, unless `changes` to its fields do."""
    usual = Arrival(
        received_at=50 * SECOND,
        sidecar=0,
        endpoint=0,
        zone=0,
        client_request=7,
        attempt=1,
        started_at=49 * SECOND,
        deadline=51 * SECOND,
        delivered_at=50 * SECOND,
        drain_deadline=0,
    )
    return usual._replace(**changes)


def judged(
    backend: BackendReport, unsafe_rejections: Sequence[int] = (), account: ProcessAccount | None = None
) -> LiveRunResult:
    """The result of a run of one sidecar, judged by the endpoints' report."""
    result = empty_result()
    judge_run(result, backend, [account or ProcessAccount()], unsafe_rejections)
    return result


@pytest.mark.parametrize(
    ("backend", "unsafe_rejections", "violation"),
    [
        (BackendReport(), [7], ""),
        (BackendReport(executions={7: 1}), [8], ""),
        (BackendReport(executions={7: 1}), [7], "rule 2: wish 7 was refused, and had run"),
        (BackendReport(arrivals=[arrival(drain_deadline=49 * SECOND)] * 2), [], "rule 3: 2 requests"),
        (BackendReport(arrivals=[arrival(drain_deadline=50 * SECOND)]), [], ""),  # exactly at the deadline
        (
            BackendReport(arrivals=[arrival(deadline=50 * SECOND - 251 * MS)]),
            [],
            "rule 1: wish 7 was sent on 251 ms after",
        ),
        (BackendReport(arrivals=[arrival(deadline=50 * SECOND - 249 * MS)]), [], ""),
        (
            BackendReport(rule_violation="rule 4: endpoint 1 was pushed over while it was cold"),
            [],
            "rule 4",
        ),
    ],
)
def test_rules_are_judged_by_the_endpoints_counts(
    backend: BackendReport, unsafe_rejections: list[int], violation: str
) -> None:
    broken = judged(backend, unsafe_rejections).broken
    assert broken.startswith(violation)
    assert bool(broken) == bool(violation)


def account_of_outage(cause: str, until: int) -> ProcessAccount:
    """The account of a sidecar that did not run for the 3 s before `until`: frozen, or by its own report."""
    if cause == "frozen":
        return ProcessAccount(outages=[Outage(until - 3 * SECOND, until, OutageCause.FROZEN)])
    return ProcessAccount(events=[ReportedEvent(until, cause, {"ms": 3000})])


SENT_AFTER_DRAIN = arrival(drain_deadline=49 * SECOND)
WAITED_UNREAD = arrival(started_at=48 * SECOND, deadline=49 * SECOND)
READ_BEFORE_OUTAGE = arrival(
    started_at=46 * SECOND, deadline=47 * SECOND
)  # the sidecar has read its deadline


@pytest.mark.parametrize("cause", ["frozen", "stalled"])
@pytest.mark.parametrize(
    ("until", "arrivals", "excused"),
    [
        (50 * SECOND - MS, [SENT_AFTER_DRAIN, WAITED_UNREAD], 2),
        (40 * SECOND, [SENT_AFTER_DRAIN, WAITED_UNREAD], 0),
        (50 * SECOND - MS, [READ_BEFORE_OUTAGE], 0),
    ],
    ids=["in the outage", "long after it", "read before it"],
)
def test_a_sidecar_is_excused_only_for_the_time_of_its_outage(
    cause: str, until: int, arrivals: list[Arrival], excused: int
) -> None:
    result = judged(BackendReport(arrivals=arrivals), account=account_of_outage(cause, until))
    assert result.excused == excused
    assert bool(result.broken) == (not excused)


def test_a_run_whose_endpoints_were_late_is_void() -> None:
    with pytest.raises(VoidError, match="stalled for 1500 ms, at most 1000 allowed"):
        judged(BackendReport(longest_stall_ns=1500 * MS))


def test_a_run_whose_clients_were_late_is_void() -> None:
    result = empty_result()
    result.lateness.record_value(int(MAX_LATENESS_P99_MS * 1000 * 2))
    with pytest.raises(VoidError, match="too busy"):
        judge_run(result, BackendReport(), [], [])


def test_an_error_of_the_endpoints_process_is_raised() -> None:
    with pytest.raises(RuntimeError, match="the endpoints' process failed: KeyError"):
        judged(BackendReport(internal_error="KeyError('x')"))


def test_a_violation_does_not_hide_another_one_of_its_rule() -> None:
    """Rule 1 was broken in two ways, and the run reported only the one that was found first."""
    result = empty_result()
    result.add_violation("rule 1: wish 5 was not answered in time")
    result.add_violation("rule 1: wish 6 was not answered in time")
    late = BackendReport(arrivals=[arrival(deadline=49 * SECOND)] * 2)
    judge_run(result, late, [ProcessAccount()], [])
    assert result.violations == [
        "rule 1: wish 5 was not answered in time",
        "rule 1: wish 7 was sent on 1000 ms after its client gave up",
    ]
