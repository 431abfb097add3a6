"""The clients of a run with real processes: open loop, with the same requests as the model's.

A request's latency counts from the moment at which it was *due*, even if this process sent it later.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from contextlib import suppress
from typing import Protocol

from anisespool.lab.live.background_tasks import BackgroundTasks
from anisespool.lab.live.process_account import ProcessAccount
from anisespool.lab.live.request_target import RequestTarget
from anisespool.lab.live.run_result import LiveRunResult
from anisespool.lab.live.sidecar_client import ClientResponse
from anisespool.lab.live.stall_detector import StallDetector
from anisespool.lab.live.timing import sleep_until
from anisespool.lab.model.metrics import LONGEST_US, ClientRequest
from anisespool.lab.scenario import MS, SECOND, Class, Scenario

RESPONSE_SLACK_NS = 100 * MS  # allowed past the deadline: the rule's 50 ms, and as much for this process
REJECTIONS = (429, 503)


class ClientTarget(Protocol):
    """The interface of a sidecar that clients use."""

    @property
    def up(self) -> bool:
        """Whether requests may be sent."""

    @property
    def account(self) -> ProcessAccount:
        """Its outages and reported events."""

    async def request(self, data: bytes, trace: bytes) -> ClientResponse | None:
        """Send a request; return none if no complete response arrived."""


class Clients:
    """Sends the requests of a plan, each with its retries, and judges the responses.

    Attributes:
        unsafe_rejections: requests of non-idempotent classes whose last attempt was rejected.
    """

    def __init__(self, scenario: Scenario, sidecars: Sequence[ClientTarget], result: LiveRunResult) -> None:
        self.unsafe_rejections: list[int] = []
        self._scenario = scenario
        self._sidecars = sidecars
        self._result = result
        self._metrics = result.metrics
        self._tasks = BackgroundTasks()
        self._stalls = StallDetector()

    async def run(self, client_requests: Sequence[ClientRequest], first: int = 0) -> None:
        """Send all requests, each when it is due, and wait until all have ended.

        Args:
            client_requests: ordered by `arrived_at`, which counts from `first`.
            first: first moment of the run, monotonic ns.
        """
        detector = asyncio.get_running_loop().create_task(self._stalls.run())
        try:
            await self._send_all(client_requests, first)
            await self._tasks.wait_all()
        finally:
            detector.cancel()
        self._metrics.check_balance(time.monotonic_ns())

    async def _send_all(self, client_requests: Sequence[ClientRequest], first: int) -> None:
        for client_request in client_requests:
            client_request.arrived_at += first
            while client_request.arrived_at > time.monotonic_ns():
                await sleep_until(client_request.arrived_at)
            if not self._sidecars[client_request.sidecar].up:
                self._result.skipped += 1
                continue
            self._metrics.record_client_request(client_request)
            self._tasks.spawn(self._send_with_retries(client_request))

    async def _send_with_retries(self, client_request: ClientRequest) -> None:
        """Send attempts until one succeeds or may not be retried, as the model's clients do."""
        due = client_request.arrived_at
        while True:
            client_request.attempts_made += 1
            backoff_ns = await self._attempt(client_request, due)
            if backoff_ns is None:
                return
            due = time.monotonic_ns() + max(backoff_ns, MS)
            await sleep_until(due)
            if not self._sidecars[client_request.sidecar].up:  # the application ends with its sidecar
                self._metrics.end(client_request, time.monotonic_ns(), "gone")
                return

    async def _attempt(self, client_request: ClientRequest, due: int) -> int | None:
        """Make one attempt; return how many ns to wait before the next one, or none if it was the last."""
        spec = self._scenario.classes[client_request.class_index]
        timeout_ns = int(spec.deadline_ms * MS * client_request.patience)
        started = time.monotonic_ns()
        self._result.lateness.record_value(_histogram_us(started - due))
        self._metrics.request_opened(started)
        response = await self._exchange(client_request, spec, started, timeout_ns)
        now = time.monotonic_ns()
        self._metrics.request_closed(now, started)
        if response is None and now - started >= timeout_ns + RESPONSE_SLACK_NS:
            self._judge_unanswered(client_request, started, now)
        if response is not None and response.status == 200:
            self._record_success(client_request, response, now)
            return None
        is_rejected = response is not None and response.status in REJECTIONS
        if response is not None and is_rejected:
            self._record_rejection(client_request, response, started, now)
        if self._may_retry(client_request, spec, is_rejected):
            return self._backoff_ns(client_request, is_rejected)
        if is_rejected and spec.effect == "once":
            self.unsafe_rejections.append(client_request.number)
        self._metrics.end(client_request, now, "refused" if is_rejected else "failed")
        return None

    async def _exchange(
        self, client_request: ClientRequest, spec: Class, started: int, timeout_ns: int
    ) -> ClientResponse | None:
        trace = b"w%dt%d" % (client_request.number, client_request.attempts_made)
        data = _encode_request(client_request, spec, trace, self._tenant(client_request), started, timeout_ns)
        with suppress(TimeoutError):
            async with asyncio.timeout((timeout_ns + RESPONSE_SLACK_NS) / 1e9):
                return await self._sidecars[client_request.sidecar].request(data, trace)
        return None

    def _tenant(self, client_request: ClientRequest) -> bytes:
        tenants = self._scenario.tenants
        return tenants[client_request.tenant].name.encode() if tenants else b"all"

    def _judge_unanswered(self, client_request: ClientRequest, started: int, now: int) -> None:
        if self._stalls.stalled_since(started):
            self._result.excused += 1  # this process stalled: the response may have arrived in time, unread
        elif not self._sidecars[client_request.sidecar].account.had_outage(started, now):
            text = f"rule 1: wish {client_request.number} was not answered in time"
            self._result.add_violation(text)

    def _record_success(self, client_request: ClientRequest, response: ClientResponse, now: int) -> None:
        if not response.is_own:
            text = f"rule 1: wish {client_request.number} was answered with another's body"
            self._result.add_violation(text)
        if _had_retry_after(client_request):
            self._metrics.retry_after_outcomes[True] += 1
        self._metrics.end(client_request, now, "served")

    def _record_rejection(
        self, client_request: ClientRequest, response: ClientResponse, started: int, now: int
    ) -> None:
        self._result.rejections.record_value(_histogram_us(now - started))
        if _had_retry_after(client_request):
            self._metrics.retry_after_outcomes[False] += 1
        client_request.last_rejection = (now, int(response.retry_after_s * SECOND))

    def _may_retry(self, client_request: ClientRequest, spec: Class, is_rejected: bool) -> bool:
        is_safe = is_rejected or spec.effect == "repeatable"
        return is_safe and client_request.attempts_made < self._scenario.clients.max_attempts

    def _backoff_ns(self, client_request: ClientRequest, is_rejected: bool) -> int:
        if is_rejected and _had_retry_after(client_request) and client_request.honors_retry_after:
            _, retry_after_ns = client_request.last_rejection
            return retry_after_ns
        return int(self._scenario.clients.backoff_ms * MS)


def _histogram_us(duration_ns: int) -> int:
    """Return a duration in us, limited to the range of the histograms."""
    return max(1, min(LONGEST_US, duration_ns // 1000))


def _had_retry_after(client_request: ClientRequest) -> bool:
    """Return whether its last rejection had a Retry-After."""
    _, retry_after_ns = client_request.last_rejection
    return retry_after_ns > 0


def _encode_request(
    client_request: ClientRequest, spec: Class, trace: bytes, tenant: bytes, started: int, timeout_ns: int
) -> bytes:
    """Return the HTTP request of an attempt that starts at `started` (monotonic ns)."""
    target = RequestTarget(
        class_name=spec.name,
        client_request=client_request.number,
        attempt=client_request.attempts_made,
        work_ns=client_request.work_ns,
        sidecar=client_request.sidecar,
        started_us=started // 1000,
        deadline_us=(started + timeout_ns) // 1000,
    )
    method = b"GET" if spec.effect == "repeatable" else b"POST"
    lines = [
        b"%s %s HTTP/1.1" % (method, target.encode()),
        b"Host: lab",
        b"X-Trace-Id: %s" % trace,
        b"X-Customer: %s" % tenant,
        b"X-Expires-In-Ms: %d" % (timeout_ns // MS),
    ]
    if spec.effect == "by_key":
        lines.append(b"Idempotency-Key: w%d" % client_request.number)
    if client_request.attempts_made > 1:
        lines.append(b"X-Second-Try: 1")
    lines.append(b"Content-Length: 0")
    return b"\r\n".join(lines) + b"\r\n\r\n"
