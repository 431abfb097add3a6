"""Event handlers of the decision module; anisespool/balancer/interface.py defines its events and actions.

Each request is admitted or shed. An admitted request of an ordered class waits until the earlier requests
with its key have finished. A weighted random choice selects the endpoint, and a request has at most one
attempt in flight. Each rule has a module of its own; docs/decisions.md lists them.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from anisespool.balancer import interface as api
from anisespool.balancer.admission.controller import AdmissionController
from anisespool.balancer.admission.fleet_capacity import fleet_capacity
from anisespool.balancer.admission.load_snapshot import LoadSnapshot, RequestTimes, summarize_open_requests
from anisespool.balancer.admission.tenant_quota import TenantQuota
from anisespool.balancer.attempt import Attempt
from anisespool.balancer.deadlines import Deadlines, recheck_delay_ns
from anisespool.balancer.endpoint import Endpoint
from anisespool.balancer.endpoint_table import EndpointTable
from anisespool.balancer.estimates.decaying_value import DecayingValue
from anisespool.balancer.estimates.estimates import Estimates
from anisespool.balancer.event_log import EventLog
from anisespool.balancer.gossip import GossipSender
from anisespool.balancer.health_checks import HealthCheckSchedule
from anisespool.balancer.interface import NOT_EXECUTED, AttemptStatus, DiscoveryMode, EndpointListKind
from anisespool.balancer.key_ordering import KeyOrdering, Turn
from anisespool.balancer.outcomes import OutcomeRecorder, is_failure, update_idle_connections
from anisespool.balancer.request import PendingRequest
from anisespool.balancer.resubscribe import resubscribe_delay_ns
from anisespool.balancer.retry.client_retries import ClientRetryDetector
from anisespool.balancer.retry.idempotency import may_client_retry
from anisespool.balancer.retry.policy import RetryPolicy
from anisespool.balancer.selection.eligibility import Eligibility
from anisespool.balancer.selection.weights import EndpointSelector
from anisespool.balancer.timers import Timer, TimerKind, Timers

REQUEST_RATE_HALF_LIFE_DEADLINES = 4  # a low rate takes this many longest deadlines to measure


class Balancer:
    """The decisions of one sidecar.

    The caller passes each event to handle() and carries out the returned actions in order.

    Attributes:
        settings: Only the tenants' shares may be replaced later.
        now: Time of the event being handled, monotonic ns.
        pending: Requests that are open or still have an attempt in flight, by id.
        open_requests: Requests that are neither answered nor given up by their clients.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        longest_deadline_ns = max(c.deadline_ns for c in settings.classes)
        self.settings = settings
        self.now = 0
        self._random = Random(seed)
        self._actions: list[api.Action] = []
        self._handlers = self._event_handlers()
        self._log = EventLog(longest_deadline_ns)
        self.timers = Timers()

        self.endpoints = EndpointTable(settings, salt=self._random.getrandbits(64))
        self._first_list_at = 0  # monotonic ns; 0: no endpoint list yet
        self.estimates = Estimates(settings)
        self._health_checks = HealthCheckSchedule(settings)

        self.pending: dict[int, PendingRequest] = {}
        self.open_requests = 0
        self._runnable: list[PendingRequest] = []  # may be sent now, as another has left their queue
        self.ordering = KeyOrdering(settings.ordering_settle_ns)
        self.request_rate = DecayingValue(REQUEST_RATE_HALF_LIFE_DEADLINES * longest_deadline_ns)

        self.admission = AdmissionController(settings, self._random)
        self._quota = TenantQuota(len(settings.tenants), longest_deadline_ns, self._random)
        self.eligibility = Eligibility(settings)
        self.selector = EndpointSelector(settings, self.estimates, self._random)
        self._outcomes = OutcomeRecorder(self.estimates, self.admission, self.selector.slow_start)
        self.retries = RetryPolicy(settings)
        self._client_retries = ClientRetryDetector(settings)
        self._gossip = GossipSender(settings, self.admission.objective_ns, self._random)

    def _event_handlers(self) -> dict[type, Callable[[Any], None]]:
        return {  # Any, as each handler accepts only its own event type
            api.RequestArrived: self._on_request,
            api.AttemptOutcome: self._on_outcome,
            api.EndpointListUpdate: self._on_endpoint_list,
            api.TimerExpired: self._on_timer,
            api.ClientDisconnected: self._on_client_disconnected,
            api.FirstByteReceived: self._on_first_byte,
            api.GossipReceived: self._on_gossip,
            api.HealthCheckResult: self._on_load_report,
        }

    def handle(self, now: int, event: api.Event) -> list[api.Action]:
        """Handle an event, and return the actions to carry out, in order."""
        self.now = now
        self._actions = []
        self._handlers[type(event)](event)
        while self._runnable:  # a request that ends here can make the next one runnable
            self._resume(self._runnable.pop())
        return self._actions

    def set_connect_timeout(self, timeout_ns: int) -> None:
        """Replace the settings' connect timeout by the one that connections have, from the next event on."""
        self.eligibility.set_connect_timeout(timeout_ns)

    def _on_endpoint_list(self, update: api.EndpointListUpdate) -> None:
        if update.kind is EndpointListKind.FAILED:
            self._actions += self._log.endpoint_list_call_failed(self.now, len(self.endpoints.ready))
            delay_ns = resubscribe_delay_ns(self.settings.resubscribe_within_ns, self._random)
            self._set_timer(Timer(TimerKind.RESUBSCRIBE), delay_ns)
            return
        self.endpoints.apply(update)
        self.estimates.slowdowns.mean_weight = self.endpoints.mean_weight()
        if not self._first_list_at:
            self._on_first_list()

    def _on_first_list(self) -> None:
        self._first_list_at = self.now
        if self.settings.discovery_mode is DiscoveryMode.POLL:
            self._actions.append(api.WatchEndpointList(True))
        if self._health_checks.is_enabled:
            self._set_timer(Timer(TimerKind.HEALTH_CHECK), self._health_checks.interval_ns)

    def _on_load_report(self, event: api.AttemptOutcome | api.HealthCheckResult) -> None:
        if endpoint := self.endpoints.by_id.get(event.endpoint):
            self.estimates.loads.record_report(endpoint, event.load, self.now)

    def _on_gossip(self, message: api.GossipReceived) -> None:
        self.admission.queueing.update_from_gossip(self.now, message.queueing_ratio)
        for observation in message.observations:
            if endpoint := self.endpoints.by_id.get(observation.endpoint):
                self.estimates.record_observation(endpoint, observation, self.now)

    def _on_request(self, event: api.RequestArrived) -> None:
        request_class = self.settings.classes[event.class_index]
        waited_ns = self._client_retries.waited_ns(event) + event.queued_ns
        deadlines = Deadlines(event, request_class, waited_ns, self.now)
        request = PendingRequest(event, request_class, deadlines, self.now, self.open_requests)
        self.pending[event.request] = request
        self.open_requests += 1
        self.request_rate.add(self.now)
        if self.settings.tenants:
            self._quota.record_request(event.tenant, self.now)
        self.retries.budget.record_request()
        if request.ordering_key:
            self.ordering.enqueue(request)
        self._dispatch(request)

    def _resume(self, request: PendingRequest) -> None:
        """Dispatch a waiting request; no effect if it is closed, or its timer or its turn has resumed it."""
        if not request.closed and not request.has_attempt_in_flight():
            self._dispatch(request)

    def _dispatch(self, request: PendingRequest) -> None:
        """Send the request, let it wait for its turn or for an eligible endpoint, or answer it unserved."""
        now = self.now
        wait_ns = 0
        if request.ordering_key:
            useful_ns, wait_ns = self._turn(request)
        else:
            useful_ns = request.deadlines.useful_until - now
        if useful_ns <= 0 or not request.attempts and self._should_shed(request):
            self._answer_unserved(request)
            return
        if wait_ns:
            self._wait(request, wait_ns)
            return
        expected_ns = self.estimates.class_latencies.expected_latency_ns(request.event)
        subset = self.endpoints.subset(self.request_rate.read(now))
        candidates = self.eligibility.eligible(request, subset, now)
        endpoint = self.selector.choose(request, candidates, expected_ns, now) if candidates else None
        if endpoint:
            self._start_attempt(request, endpoint, expected_ns)
        else:
            self._schedule_recheck(request)

    def _turn(self, request: PendingRequest) -> Turn:
        expected_ns = self.estimates.class_latencies.expected_latency_ns(request.event)
        queued_before = self.ordering.position(request)
        pause_ns = self.ordering.pause_ns(request, self.now)
        deadlines = request.deadlines
        useful_ns = deadlines.useful_time_in_queue_ns(self.now, queued_before, expected_ns, pause_ns)
        return Turn(useful_ns, useful_ns if queued_before else pause_ns)

    def _schedule_recheck(self, request: PendingRequest) -> None:
        self._actions += self._log.no_eligible_endpoint(self.now, len(self.endpoints.ready))
        time_left_ns = request.deadlines.deadline_at - self.now
        self._wait(request, recheck_delay_ns(request.request_class.target_ns, time_left_ns))

    def _wait(self, request: PendingRequest, delay_ns: int) -> None:
        self._set_timer(Timer(TimerKind.QUEUED_REQUEST, request.id), delay_ns)

    def _should_shed(self, request: PendingRequest) -> bool:
        """Return whether a new request is shed; if so, set its Retry-After and log it."""
        now = self.now
        tenants = self.settings.tenants
        decision = self.admission.decide(
            now,
            now - self._first_list_at,
            request.deadlines.objective_at - now,
            bool(tenants) and self._quota.exceeds_quota(request.event.tenant, tenants, now),
            self.open_requests,
            self._take_load_snapshot,
        )
        if decision.is_shed:
            request.retry_after_ns = decision.retry_after_ns
            self._actions += self._log.load_shed(now, decision, self.admission.queueing.ratio.value)
        return decision.is_shed

    def _take_load_snapshot(self) -> LoadSnapshot:
        objective_ns = self.admission.objective_ns
        fleet = fleet_capacity(self.endpoints.ready, self.estimates.slowdowns, self.now, objective_ns)
        open_requests = (
            RequestTimes(request.arrived_at, request.deadlines.objective_at)
            for request in self.pending.values()
            if not request.closed
        )
        return LoadSnapshot(fleet, summarize_open_requests(self.now, open_requests))

    def _start_attempt(self, request: PendingRequest, endpoint: Endpoint, expected_ns: float) -> None:
        now = self.now
        deadlines = request.deadlines
        end_at = deadlines.attempt_end_at(request.request_class.stream)
        if timeout_ns := self.retries.attempt_timeout_ns(request, expected_ns, now):
            end_at = now + timeout_ns
        timeout_ns = end_at - now if end_at < deadlines.deadline_at else 0
        self._actions.append(api.Send(request.id, endpoint.id, timeout_ns))
        attempt = Attempt(endpoint, now, expected_ns)
        endpoint.in_flight[request.id, len(request.attempts)] = attempt
        request.attempts.append(attempt)
        endpoint.sent_since_report += 1
        endpoint.idle_connections = max(0, endpoint.idle_connections - 1)
        self.selector.slow_start.record_sent(endpoint, expected_ns, now)

    def _answer_unserved(self, request: PendingRequest) -> None:
        """Reject the request if a retry by its client is harmless, else fail it; this is its only answer."""
        if may_client_retry(request.request_class, request.may_have_executed()):
            self._actions.append(api.Reject(request.id, request.retry_after_ns))
        else:
            self._actions.append(api.Fail(request.id))
        self._finish(request)

    def _finish(self, request: PendingRequest) -> None:
        """Close the request, and remove it if no attempt is in flight.

        An attempt in flight is cancelled if the settings allow it and no response is being forwarded.
        """
        in_flight = request.has_attempt_in_flight()
        if not request.closed:
            self.open_requests -= 1
            if in_flight and self.settings.may_cancel and not request.streaming:
                self._actions.append(api.Cancel(request.id, len(request.attempts) - 1))
        request.closed = True
        if not in_flight and self.pending.pop(request.id, None) is request and request.ordering_key:
            self._runnable += self.ordering.remove(request)

    def _on_client_disconnected(self, event: api.ClientDisconnected) -> None:
        request = self.pending.get(event.request)
        if request and not request.closed:
            self._finish(request)

    def _on_first_byte(self, event: api.FirstByteReceived) -> None:
        request = self.pending.get(event.request)
        if request and not request.closed:
            request.streaming = True

    def _on_outcome(self, event: api.AttemptOutcome) -> None:
        request = self.pending.get(event.request)
        if request is None or event.attempt >= len(request.attempts):
            return
        attempt = request.attempts[event.attempt]
        if not attempt.in_flight:
            return
        self._end_attempt(request, attempt, event)
        self._record_outcome(request, attempt, event)
        if event.finished or request.closed:
            self._finish(request)
        elif self.retries.try_consume_retry(request):
            self._dispatch(request)
        else:
            self._answer_unserved(request)

    def _end_attempt(self, request: PendingRequest, attempt: Attempt, event: api.AttemptOutcome) -> None:
        endpoint = attempt.endpoint
        attempt.in_flight = False
        attempt.may_have_executed = event.status not in NOT_EXECUTED
        endpoint.in_flight.pop((request.id, event.attempt), None)
        update_idle_connections(attempt, event.status)
        if request.ordering_key:
            self.ordering.on_attempt_end(request.ordering_key, event.status, self.now)
        self._on_load_report(event)

    def _record_outcome(self, request: PendingRequest, attempt: Attempt, event: api.AttemptOutcome) -> None:
        """Update the estimates, log a failure, and send gossip if it is due."""
        now = self.now
        if event.status is AttemptStatus.OK:
            self._outcomes.record_answer(request, attempt, event, self.open_requests, now)
        if event.status is AttemptStatus.MOOT:
            return
        endpoint = attempt.endpoint
        slowdown = self.estimates.slowdowns.slowdown(endpoint, now)
        if is_failure(event.status):
            self._actions += self._log.endpoint_failing(now, endpoint.id, event.status, slowdown)
        is_sample = self._outcomes.record_latency(request, attempt, event, slowdown, now)
        if is_sample and self._gossip.is_due(now):
            queueing_ratio = self.admission.queueing.ratio.read(now)
            self._actions += self._gossip.messages(self.endpoints.ready, queueing_ratio, now)

    def _set_timer(self, timer: Timer, delay_ns: int) -> None:
        self._actions.append(self.timers.set(timer, delay_ns))

    def _on_timer(self, event: api.TimerExpired) -> None:
        timer = self.timers.expire(event.token)
        if timer.kind is TimerKind.RESUBSCRIBE:
            self._actions.append(api.WatchEndpointList(True))
        elif timer.kind is TimerKind.HEALTH_CHECK:
            if endpoint := self._health_checks.next_endpoint(self.endpoints.ready):
                self._actions.append(api.SendHealthCheck(endpoint.id))
            self._set_timer(timer, self._health_checks.interval_ns)
        elif request := self.pending.get(timer.request):
            self._resume(request)
