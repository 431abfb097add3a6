"""Clients of the simulated sidecars: they send requests, wait for responses, retry and give up."""

from __future__ import annotations

from typing import NamedTuple

from anisespool.balancer import interface as api
from anisespool.lab.model.checker import require
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.model.sidecar import Sidecar
from anisespool.lab.model.simulated_run import SimulatedRun
from anisespool.lab.scenario import MS

RESPONSE_SLACK_NS = 20 * MS  # a final response may be this late after its deadline


class RequestKey(NamedTuple):
    """One request as its sidecar knows it."""

    sidecar: int
    request: int


class OpenRequest(NamedTuple):
    """A request without its final response."""

    client_request: ClientRequest
    deadline: int  # ns
    opened_at: int  # ns


class Clients:
    """All clients of a run. A client request is sent again, as a new request, until its client gives up.

    Attributes:
        open: Requests that have no final response yet.
    """

    def __init__(self, run: SimulatedRun) -> None:
        self._run = run
        self._scenario = run.scenario
        self._clock = run.clock
        self._metrics = run.metrics
        self._requests = 0
        self.open: dict[RequestKey, OpenRequest] = {}

    def start(self, client_request: ClientRequest) -> None:
        """Sends a client request for the first time, unless its application is stopped with its sidecar."""
        if self._run.serving(client_request.sidecar).down:
            return
        self._metrics.record_client_request(client_request)
        self._send(client_request)

    def _send(self, client_request: ClientRequest) -> None:
        now = self._clock.now
        sidecar = self._run.serving(client_request.sidecar)
        if sidecar.down:  # stopped, with its application, before the retry
            self._metrics.end(client_request, now, "gone")
            return
        client_request.attempts_made += 1
        self._requests += 1
        key = RequestKey(sidecar.number, self._requests)
        deadline_ms = self._scenario.classes[client_request.class_index].deadline_ms
        remaining = int(deadline_ms * MS * client_request.patience)
        self.open[key] = OpenRequest(client_request, now + remaining, now)
        self._metrics.request_opened(now)
        self._log_request(client_request)
        self._clock.at(now + remaining + RESPONSE_SLACK_NS, self._check_answered, key)
        self._arrive(sidecar, _arrival(key.request, client_request, remaining))

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
            self._clock.at(sidecar.frozen_until, self._read, sidecar, sidecar.incarnation, event)
        else:
            self._run.handle(sidecar, event)

    def _read(self, sidecar: Sidecar, incarnation: int, event: api.RequestArrived) -> None:
        """Reads a request after a pause; one whose client has hung up is not read any more."""
        if sidecar.incarnation == incarnation and (sidecar.number, event.request) in self.open:
            self._run.handle(sidecar, event)

    def _check_answered(self, key: RequestKey) -> None:
        """Rule 1, unless the sidecar was frozen and could not respond."""
        request = self.open.get(key)
        if request is None:
            return
        sidecar = self._run.sidecars[key.sidecar]
        require(
            sidecar.frozen_until > request.opened_at,
            f"rule 1: request {key.request} of sidecar {key.sidecar} was not answered in time",
        )
        self._hang_up(sidecar, key)

    def _hang_up(self, sidecar: Sidecar, key: RequestKey) -> None:
        """Ends a request whose client's time is over. The sidecar notices as soon as it goes on."""
        client_request = self.close(key)
        if key.request in sidecar.checker.requests:
            sidecar.disconnected.append(key.request)
        self.fail(client_request)

    def close(self, key: RequestKey) -> ClientRequest:
        """Removes a request from the open ones; returns what its client wants."""
        request = self.open.pop(key)
        self._metrics.request_closed(self._clock.now, request.opened_at)
        return request.client_request

    def close_all(self, sidecar: Sidecar) -> None:
        """Fails all open requests of a sidecar whose process died."""
        for key in [key for key in self.open if key.sidecar == sidecar.number]:
            self.fail(self.close(key))

    def respond(self, sidecar: Sidecar, action: api.Reject | api.Fail) -> None:
        """Hands the module's final response, a rejection or a failure, to the client."""
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
        """Hands an endpoint's response to the client, if the request is still open."""
        if key not in self.open:
            return
        client_request = self.close(key)
        if client_request.last_retry_after:
            self._metrics.retry_after_outcomes[True] += 1
        self._metrics.record_client_attempt(client_request, False)
        self._metrics.end(client_request, self._clock.now, "served")

    def _reject(self, client_request: ClientRequest, retry_after: int) -> None:
        """A retry must be harmless (rule 2): the request can't have been executed, or is idempotent."""
        now = self._clock.now
        unsafe = self._scenario.classes[client_request.class_index].effect == "once"
        require(
            not (unsafe and client_request.executions),
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
        honored = retry_after and client_request.honors_retry_after
        self._retry_after(retry_after if honored else self._backoff_ns, client_request)

    def fail(self, client_request: ClientRequest) -> None:
        """A request failed, or its process died: its client retries it if it is idempotent."""
        self._metrics.record_client_attempt(client_request, False)
        idempotent = self._scenario.classes[client_request.class_index].effect == "repeatable"
        if idempotent and client_request.attempts_made < self._scenario.clients.max_attempts:
            self._retry_after(self._backoff_ns, client_request)
        else:
            self._metrics.end(client_request, self._clock.now, "failed")

    @property
    def _backoff_ns(self) -> int:
        return int(self._scenario.clients.backoff_ms * MS)

    def _retry_after(self, pause: int, client_request: ClientRequest) -> None:
        self._clock.after(max(pause, MS), self._send, client_request)


def _arrival(request: int, client_request: ClientRequest, remaining: int) -> api.RequestArrived:
    return api.RequestArrived(
        request,
        client_request.class_index,
        remaining,
        tenant=client_request.tenant,
        is_retry=client_request.attempts_made > 1,
    )
