"""The request lifecycle: reports events to the balancer and applies its actions to connections and timers.

The proxy makes no decisions about endpoints. It tracks the requests that wait for a response, ensures that
each gets exactly one, and responds itself if the balancer does not respond in time.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from anisespool.balancer import Balancer
from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, EndpointListKind, Idempotency
from anisespool.config.platform import EndpointList, PlatformConfig
from anisespool.discovery.contact import DiscoveryContact
from anisespool.log import log_event, write_event
from anisespool.proxy.balancer_driver import BalancerDriver
from anisespool.proxy.call import Call, FinalResponse
from anisespool.proxy.deadlines import attempts_end_at, backstop_at
from anisespool.proxy.endpoint_registry import EndpointRegistry
from anisespool.proxy.exchange import BackstopReason, Exchange
from anisespool.proxy.executed_ids import ExecutedIds
from anisespool.proxy.request_log import RequestLog
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.cluster import Cluster

FAILED_RESPONSE = FinalResponse(502, b"failed\n")
NO_DECISION_RESPONSE = FinalResponse(504, b"no decision\n")  # the balancer raised an exception


class Proxy:
    """Handles the requests of one sidecar, for any listener and any protocol to the endpoints.

    `ObservedProxy` and `RecordedProxy` extend `_respond`, `_attempt_finished`, `_remove_if_finished` and
    `_apply_endpoint_list`, so that a sidecar without counters and records has no overhead from them.

    Attributes:
        cluster: Sends attempts to endpoints.
    """

    def __init__(self, config: PlatformConfig, cluster: Cluster) -> None:
        """Create a proxy without endpoints; `update_endpoints` adds them."""
        self._classes = config.settings.classes
        self.cluster = cluster
        self._registry = EndpointRegistry(cluster, self._reapply_listings)
        balancer = Balancer(config.settings, config.seed)
        balancer.set_connect_timeout(cluster.connect_timeout_ns)
        self._driver = BalancerDriver(
            balancer,
            {
                api.Send: self._send,
                api.Reject: self._reject,
                api.Fail: self._fail,
                api.Cancel: self._cancel,
                api.SetTimer: self._set_timer,
                api.Log: self._log,
                api.Fault: self._log,
                api.CloseIdleConnections: self._close_idle,
            },
            self._fail_request,
            self._remove_if_finished,
        )
        self._exchanges: dict[int, Exchange] = {}
        self._request_log = RequestLog()
        self._executed_ids = ExecutedIds()
        self._last_request_id = 0
        self._shutdown_deadline_at: int | None = None

    @property
    def ready(self) -> bool:
        """Whether requests can be served: at least one endpoint is ready and not drained."""
        return bool(self._registry.ready_numbers)

    @property
    def open_request_count(self) -> int:
        """Number of requests that wait for their final response or have an unfinished attempt."""
        return len(self._exchanges)

    def start_request(
        self,
        call: Call,
        send_response: Callable[[FinalResponse], None],
        client_has_left: Callable[[], bool],
    ) -> int:
        """Accept a request and return its id.

        Args:
            call: The request.
            send_response: Called exactly once, possibly before this method returns, unless the client
                disconnects first.
            client_has_left: Returns whether the client has disconnected, even if the listener has not read
                that yet. Called just before each attempt begins, while a response is due.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        now = time.monotonic_ns()
        client_gives_up_at = now + call.timeout_ns
        if self._shutdown_deadline_at is not None:
            client_gives_up_at = min(client_gives_up_at, self._shutdown_deadline_at)
        attempts_end = max(now, attempts_end_at(client_gives_up_at))
        exchange = Exchange(call, attempts_end, send_response, client_has_left)
        self._exchanges[request_id] = exchange
        exchange.set_backstop(max(now, backstop_at(client_gives_up_at)), self._backstop_expired, request_id)
        self._driver.submit(
            api.RequestArrived(
                request_id,
                call.request_class,
                attempts_end - now,
                call.size_hint_ns,
                call.affinity_key,
                call.tenant,
                call.is_retry,
                queued_ns=call.queued_ns,
            )
        )
        return request_id

    def was_executed(self, call: Call) -> bool:
        """Return whether a request with this one's id may have been executed, and must not be again."""
        if self._classes[call.request_class].idempotency is Idempotency.IDEMPOTENT:
            return False
        return self._executed_ids.contains(call.trace_id, time.monotonic_ns())

    def _note_executed(self, exchange: Exchange) -> None:
        """Remember the id of a request that ends and may have been executed, unless it is idempotent."""
        call = exchange.call
        is_idempotent = self._classes[call.request_class].idempotency is Idempotency.IDEMPOTENT
        if not is_idempotent and exchange.may_have_executed:
            self._executed_ids.add(call.trace_id, time.monotonic_ns())

    def client_disconnected(self, request_id: int) -> None:
        """Cancel the attempts of a request whose client has disconnected."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.send_response:
            self._request_log.abandoned(request_id, exchange)
            self._note_executed(exchange)
            exchange.close()
            self._abandon(request_id, exchange)

    def _end_if_obsolete(self, attempt: Attempt) -> None:
        """End an attempt that would begin now, if what allowed it does not hold any more."""
        exchange = self._exchanges.get(attempt.request_id)
        if not exchange or not exchange.send_response:
            return
        if exchange.client_has_left():
            self._request_log.not_begun(attempt, exchange, "client_left")
            self.client_disconnected(attempt.request_id)
        elif time.monotonic_ns() > exchange.retries_end_at(self._classes[exchange.call.request_class]):
            self._request_log.not_begun(attempt, exchange, "window_over")
            attempt.finish(AttemptStatus.MOOT)

    def set_shutdown_deadline(self, deadline_at: int) -> None:
        """Respond to all requests before this deadline, however long their clients would wait.

        It is set at the graceful shutdown and applies to open and to later requests.

        Args:
            deadline_at: Time by which each client is assumed to give up (monotonic ns).
        """
        self._shutdown_deadline_at = deadline_at
        for request_id in self._exchanges:
            self.limit_deadline(request_id, deadline_at)

    def limit_deadline(self, request_id: int, deadline_at: int) -> None:
        """Respond to an open request before this deadline, if its client would wait longer.

        Args:
            request_id: The id that `start_request` returned.
            deadline_at: Time by which the client is assumed to give up (monotonic ns).
        """
        exchange = self._exchanges.get(request_id)
        attempts_end = attempts_end_at(deadline_at)
        if exchange and exchange.send_response and exchange.attempts_end_at > attempts_end:
            exchange.attempts_end_at = attempts_end
            exchange.backstop_reason = BackstopReason.NEXT_REQUEST
            exchange.set_backstop(backstop_at(deadline_at), self._backstop_expired, request_id)

    @property
    def discovery_contact(self) -> DiscoveryContact:
        """Contact with discovery, to be recorded by the watch of the endpoint list."""
        return self._registry.discovery_contact

    @property
    def operator_drains(self) -> frozenset[str]:
        """Ids of the endpoints that the operator drains, including unlisted ones."""
        return self._registry.operator_drains

    def set_operator_drains(self, drained: frozenset[str]) -> None:
        """Drain exactly the endpoints with these ids from now on.

        The connection pools and the balancer are updated in the same order as by `update_endpoints`.
        """
        changed = drained ^ self._registry.operator_drains
        self._registry.operator_drains = drained
        self._reapply_listings(sorted(changed))

    def ready_endpoint_ids(self) -> set[str]:
        """Return the ids that discovery lists as ready, before operator drains are applied."""
        return self._registry.ready_ids()

    def update_endpoints(self, update: EndpointList, kind: EndpointListKind | None = None) -> None:
        """Apply a full list from discovery, or changes to the current one.

        The connection pools are updated first, so that no later decision reaches a draining endpoint. Their
        update may end attempts. The balancer receives the list before the outcomes of these attempts;
        otherwise it would retry their requests on endpoints of the previous list.

        Args:
            update: The full list or the changes.
            kind: How `update` relates to the previous list; None derives it from `update.complete`.
        """
        kind = kind or (EndpointListKind.FULL if update.complete else EndpointListKind.DELTA)

        def apply() -> api.Event:
            return api.EndpointListUpdate(
                update.revision, kind, tuple(self._apply_endpoint_list(update, kind))
            )

        self._driver.submit_first(apply)

    def _apply_endpoint_list(self, update: EndpointList, kind: EndpointListKind) -> list[api.EndpointListing]:
        """Apply an update to the registry and return the listings for the balancer."""
        return self._registry.apply(update, kind)

    def _reapply_listings(self, endpoint_ids: list[str]) -> None:
        """Apply the endpoints' last received entries again, because drains of them have begun or ended."""
        update = self._registry.last_listings(endpoint_ids)
        if update.endpoints:
            self.update_endpoints(update)

    def _send(self, action: api.Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None or exchange.send_response is None:
            return  # no response is due any more
        deadline_ns = exchange.attempts_end_at
        if action.timeout_ns:
            deadline_ns = min(time.monotonic_ns() + action.timeout_ns, deadline_ns)
        attempt = Attempt(
            action.request,
            len(exchange.attempts),
            action.endpoint,
            exchange.call.request,
            deadline_ns,
            self._attempt_finished,
            self._end_if_obsolete,
        )
        if exchange.attempts:
            self._request_log.retried(attempt, exchange)
        exchange.attempts.append(attempt)
        self.cluster.send(attempt)

    def _reject(self, action: api.Reject) -> None:
        self._finish(action.request, FinalResponse(503, b"refused\n", action.retry_after_ns / 1e9))

    def _fail(self, action: api.Fail) -> None:
        self._finish(action.request, FAILED_RESPONSE)

    def _cancel(self, action: api.Cancel) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange and action.attempt < len(exchange.attempts):
            exchange.attempts[action.attempt].abort(AttemptStatus.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(action.delay_ns / 1e9, self._driver.submit, api.TimerExpired(action.token))

    def _log(self, action: api.Log | api.Fault) -> None:
        write_event(action.text)

    def _close_idle(self, action: api.CloseIdleConnections) -> None:
        self.cluster.close_idle(action.endpoint)

    def _attempt_finished(self, attempt: Attempt) -> None:
        """Respond if the attempt succeeded, and report its outcome to the balancer."""
        exchange = self._exchanges[attempt.request_id]
        status = attempt.status
        assert status is not None
        if status is AttemptStatus.OK and attempt.response and exchange.send_response:
            self._respond(exchange, FinalResponse(200, attempt.response.body))
            finished = True
        else:
            finished = exchange.send_response is None
        # A rejection does not count against the endpoint if the request needs no response any more.
        if status is AttemptStatus.FULL and finished:
            status = AttemptStatus.MOOT
        latency_ns = time.monotonic_ns() - attempt.started_ns
        self._driver.submit(
            api.AttemptOutcome(
                attempt.request_id,
                attempt.endpoint,
                attempt.number,
                latency_ns,
                status,
                finished,
                attempt.load,
            )
        )

    def _finish(self, request_id: int, response: FinalResponse) -> None:
        """Send the final response that the balancer has decided on, unless none is due any more."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.send_response:
            self._request_log.unserved(request_id, exchange, response)
            self._respond(exchange, response)
            self._remove_if_finished(request_id)

    def _respond(self, exchange: Exchange, response: FinalResponse) -> None:
        """Send the final response, unless one was sent already or the client has disconnected."""
        send_response = exchange.send_response
        exchange.close()
        if send_response:
            self._note_executed(exchange)
            send_response(response)

    def _remove_if_finished(self, request_id: int) -> None:
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.is_finished:
            del self._exchanges[request_id]

    def _backstop_expired(self, request_id: int) -> None:
        """Respond in place of the balancer, before the client gives up or the process ends."""
        exchange = self._exchanges.get(request_id)
        if exchange and exchange.send_response:
            is_shutdown = self._shutdown_deadline_at is not None
            reason = BackstopReason.SHUTDOWN if is_shutdown else exchange.backstop_reason
            log_event("backstop_response_sent", request=request_id, reason=reason)
            response = exchange.backstop_response(self._classes[exchange.call.request_class])
            exchange.stop_sending()
            self._respond(exchange, response)
            self._abandon(request_id, exchange)

    def _fail_request(self, request_id: int) -> None:
        """Respond to a request and cancel its attempts, after the balancer raised an exception for it."""
        exchange = self._exchanges.get(request_id)
        if exchange:
            exchange.stop_sending()
            self._respond(exchange, NO_DECISION_RESPONSE)
            self._abort_attempts(request_id, exchange)

    def _abandon(self, request_id: int, exchange: Exchange) -> None:
        """Report to the balancer that no response is due any more, and cancel the request's attempts."""
        self._driver.submit(api.ClientDisconnected(request_id))
        self._abort_attempts(request_id, exchange)

    def _abort_attempts(self, request_id: int, exchange: Exchange) -> None:
        for attempt in exchange.attempts:
            attempt.abort(AttemptStatus.CANCELLED)
        self._remove_if_finished(request_id)
