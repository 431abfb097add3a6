"""Judges a run by the counts of endpoints and clients, and declares it void if it was disturbed."""

from __future__ import annotations

from collections.abc import Sequence

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.backend_messages import BackendReport
from anisespool.lab.live.process_account import ProcessAccount
from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.model.metrics import VoidError
from anisespool.lab.scenario import MS, SECOND

MAX_FORWARD_DELAY_NS = 250 * MS  # allowed time past a client's deadline; a longer one is no race
MAX_LATENESS_P99_MS = 20.0  # the run is void if this process sent requests later
MAX_BACKEND_STALL_MS = 1000.0  # the run is void if the endpoints' process stalled for longer


def judge_run(
    result: LiveRunResult,
    report: BackendReport,
    accounts: Sequence[ProcessAccount],
    unsafe_rejections: Sequence[int],
) -> None:
    """Add the endpoints' report to a result, and record the rules that were broken.

    Args:
        result: result of the run, with the clients' metrics.
        report: report of the endpoints' process.
        accounts: one account for each sidecar, ordered by number.
        unsafe_rejections: requests of non-idempotent classes whose last attempt was rejected.

    Raises:
        RuntimeError: The endpoints' process failed.
        VoidError: Clients or endpoints were late themselves, so the run gives no verdict.
    """
    if report.internal_error:
        raise RuntimeError(f"the endpoints' process failed: {report.internal_error}; see its error above")
    result.backend = report
    result.accounts = list(accounts)
    result.metrics.attempts = report.arrival_count
    if report.rule_violation:
        result.add_violation(report.rule_violation)
    _judge_forwarding(result)
    _judge_drains(result)
    _judge_rejections(result, unsafe_rejections)
    _judge_processes(result)
    _check_punctuality(result)


def _judge_drains(result: LiveRunResult) -> None:
    """Check rule 3: no request reaches an endpoint after its drain.

    It is judged by the earliest moment at which each request can have arrived. A sidecar that had no CPU time
    since shortly before the deadline is excused: it may not have received the update.
    """
    late = 0
    for arrival in result.arrivals:
        if not arrival.drain_deadline or arrival.received_at <= arrival.drain_deadline:
            continue
        account = result.accounts[arrival.sidecar]
        begin = arrival.drain_deadline
        if account.had_outage(begin - SECOND, arrival.received_at) or account.reported_stall(
            begin, arrival.received_at
        ):
            result.excused += 1
        else:
            late += 1
    if late:
        result.add_violation(f"rule 3: {late} requests reached an endpoint after its drain")


def _judge_forwarding(result: LiveRunResult) -> None:
    """Check rule 1: no request is forwarded after its client gave up.

    A request that arrived while its sidecar could not run waited unread, and does not show for how long.
    """
    for arrival in result.arrivals:
        if arrival.received_at <= arrival.deadline + MAX_FORWARD_DELAY_NS:
            continue
        if _may_have_been_unread(arrival, result.accounts[arrival.sidecar]):
            result.excused += 1
        else:
            after_ms = (arrival.received_at - arrival.deadline) // MS
            result.add_violation(
                f"rule 1: wish {arrival.client_request} was sent on {after_ms} ms after its client gave up"
            )


def _may_have_been_unread(arrival: Arrival, account: ProcessAccount) -> bool:
    begin = arrival.started_at
    return account.had_outage_at(begin) or account.reported_stall(begin, begin + MS)


def _judge_rejections(result: LiveRunResult, unsafe_rejections: Sequence[int]) -> None:
    """Check rule 2: a rejected request was not executed, so a retry is safe."""
    for number in unsafe_rejections:
        if result.backend.executions.get(number):
            result.add_violation(f"rule 2: wish {number} was refused, and had run")


def _judge_processes(result: LiveRunResult) -> None:
    for account in result.accounts:
        if account.crash:
            result.add_violation(f"crash: {account.crash}")
        result.lost_events += account.dropped


def _check_punctuality(result: LiveRunResult) -> None:
    stall_ms = result.backend.longest_stall_ns / MS
    if stall_ms > MAX_BACKEND_STALL_MS:
        raise _void(
            f"the endpoints' process stalled for {stall_ms:.0f} ms, at most {MAX_BACKEND_STALL_MS:g} allowed"
        )
    late_ms = result.late_ms()
    if late_ms > MAX_LATENESS_P99_MS:
        raise _void(f"sent {late_ms:.1f} ms late (p99), at most {MAX_LATENESS_P99_MS:g} allowed")


def _void(reason: str) -> VoidError:
    return VoidError(f"{reason}: the machine is too small or too busy for this scenario")
