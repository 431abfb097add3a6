"""Clients of the simulated sidecars: they send requests, wait for responses, retry and give up."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.lab.model.checker import require
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun
from anisespool.lab.scenario import MS

RESPONSE_SLACK_NS = 20 * MS  # how long after its deadline a final response may arrive


class RequestKey(NamedTuple):
    """Identifies a request by its sidecar and number."""

    sidecar: int
    request: int


class OpenRequest(NamedTuple):
    """A request without its final response. Times are in ns."""

    client_request: ClientRequest
    deadline: int
    opened_at: int


class Clients:
    """All clients of a run.

    A client may send its client request several times. To the sidecar, each time is a new request.

    Attributes:
        open: Requests without a final response, by sidecar and number.
    """

    def __init__(self, run: SimulatedRun) -> None:
        self._run = run
        self._scenario = run.scenario
        self._clock = run.clock
        self._metrics = run.metrics
        self._request_count = 0
        self.open: dict[RequestKey, OpenRequest] = {}

    def start(self, client_request: ClientRequest) -> None:
        """Sends a client request for the first time. A stopped application sends none."""
        if self._run.serving(client_request.sidecar).down:
            return
        self._metrics.record_client_request(client_request)
        self._send_request(client_request)

    def _send_request(self, client_request: ClientRequest) -> None:
        now = self._clock.now
        sidecar = self._run.serving(client_request.sidecar)
        if sidecar.down:  # the application stopped with its sidecar before this retry
            self._metrics.end(client_request, now, "gone")
            return
        client_request.attempts_made += 1
        self._request_count += 1
        key = RequestKey(sidecar.number, self._request_count)
        deadline_ms = self._scenario.classes[client_request.class_index].deadline_ms
        remaining_ns = int(deadline_ms * MS * client_request.patience)
        self.open[key] = OpenRequest(client_request, now + remaining_ns, now)
        self._metrics.request_opened(now)
        self._log_request(client_request)
        self._clock.at(now + remaining_ns + RESPONSE_SLACK_NS, self._time_out, key)
        self._arrive(sidecar, _arrival(key.request, client_request, remaining_ns))

    def _log_request(self, client_request: ClientRequest) -> None:
        self._run.log(
            "ask",
            client_request.number,
            client_request.sidecar,
            client_request.class_index,
            client_request.work_ns,
        )

    def _arrive(self, sidecar: Sidecar, event: api.RequestArrived) -> None:
        if sidecar.frozen_until > self._clock.now:
            self._clock.at(sidecar.frozen_until, self._read_after_freeze, sidecar, sidecar.incarnation, event)
        else:
            self._run.handle(sidecar, event)

    def _read_after_freeze(self, sidecar: Sidecar, incarnation: int, event: api.RequestArrived) -> None:
        """Reads a request after a freeze, unless the client has disconnected or the process has restarted."""
        if sidecar.incarnation == incarnation and (sidecar.number, event.request) in self.open:
            self._run.handle(sidecar, event)

    def _time_out(self, key: RequestKey) -> None:
        """Ends an unanswered request after its deadline. Rule 1 allows one only if its sidecar was frozen."""
        request = self.open.get(key)
        if request is None:
            return
        sidecar = self._run.sidecars[key.sidecar]
        require(
            sidecar.frozen_until > request.opened_at,
            f"rule 1: request {key.request} of sidecar {key.sidecar} was not answered in time",
        )
        self._disconnect(sidecar, key)

    def _disconnect(self, sidecar: Sidecar, key: RequestKey) -> None:
        """Ends a request whose client gave up. The sidecar is notified after its freeze."""
        client_request = self.close(key)
        if key.request in sidecar.checker.requests:
            sidecar.disconnected.append(key.request)
        self.fail(client_request)

    def close(self, key: RequestKey) -> ClientRequest:
        """Removes an open request; returns its client request."""
        request = self.open.pop(key)
        self._metrics.request_closed(self._clock.now, request.opened_at)
        return request.client_request

    def close_all(self, sidecar: Sidecar) -> None:
        """Ends all open requests of a sidecar whose process died, as failed."""
        for key in [key for key in self.open if key.sidecar == sidecar.number]:
            self.fail(self.close(key))

    def respond(self, sidecar: Sidecar, action: api.Reject | api.Fail) -> None:
        """Delivers the module's final response, a rejection or a failure, to the client."""
        key = RequestKey(sidecar.number, action.request)
        require(key in self.open, "rule 1: a final answer to what is over")
        client_request = self.close(key)
        if isinstance(action, api.Reject):
            self._run.log("refuse", client_request.number)
            self._reject(client_request, action.retry_after_ns)
        else:
            self._run.log("fail", client_request.number)
            self.fail(client_request)

    def succeed(self, key: RequestKey) -> None:
        """Delivers an endpoint's successful response to the client, if the request is still open."""
        if key not in self.open:
            return
        client_request = self.close(key)
        if client_request.last_retry_after:
            self._metrics.retry_after_outcomes[True] += 1
        self._metrics.record_client_attempt(client_request, False)
        self._metrics.end(client_request, self._clock.now, "served")

    def _reject(self, client_request: ClientRequest, retry_after: int) -> None:
        """Handles a rejection, after which a retry has to be harmless (rule 2)."""
        now = self._clock.now
        single_execution = self._scenario.classes[client_request.class_index].effect == "once"
        require(
            not (single_execution and client_request.executions),
            f"rule 2: wish {client_request.number} was refused, and had run",
        )
        client_request.rejections += 1
        self._metrics.record_client_attempt(client_request, True)
        if client_request.last_retry_after:
            self._metrics.retry_after_outcomes[False] += 1
        client_request.last_rejection = (now, retry_after)
        if client_request.attempts_made >= self._scenario.clients.max_attempts:
            self._metrics.end(client_request, now, "refused")
            return
        honors = retry_after and client_request.honors_retry_after
        self._retry_after(retry_after if honors else self._backoff_ns, client_request)

    def fail(self, client_request: ClientRequest) -> None:
        """Handles a request that failed or lost its sidecar. The client retries it if it is idempotent."""
        self._metrics.record_client_attempt(client_request, False)
        idempotent = self._scenario.classes[client_request.class_index].effect == "repeatable"
        if idempotent and client_request.attempts_made < self._scenario.clients.max_attempts:
            self._retry_after(self._backoff_ns, client_request)
        else:
            self._metrics.end(client_request, self._clock.now, "failed")

    @property
    def _backoff_ns(self) -> int:
        return int(self._scenario.clients.backoff_ms * MS)

    def _retry_after(self, delay_ns: int, client_request: ClientRequest) -> None:
        self._clock.after(max(delay_ns, MS), self._send_request, client_request)


def _arrival(request: int, client_request: ClientRequest, remaining_ns: int) -> api.RequestArrived:
    return api.RequestArrived(
        request,
        client_request.class_index,
        remaining_ns,
        tenant=client_request.tenant,
        is_retry=client_request.attempts_made > 1,
    )
