"""Checks a decision module against three of the four rules, and the order of requests that share a key.

- Rule 1: each request gets exactly one final response, in time for its deadline.
- Rule 2: no request is repeated, or rejected so that its client repeats it, if it may then be executed twice.
- Rule 3: no request is sent to an endpoint after its drain grace.
- Rule 4: sidecars do not overload an endpoint that warms up. The endpoints check it (backend.py).

The checker shares no logic with the module: it derives its verdict from events and actions alone. It
deliberately has its own copy of the rule of idempotency (the module's is in balancer/retry/idempotency.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, DedupScope, EndpointState, Idempotency, Settings

# Defined here and not imported, so that a wrong definition in the decision module is found.
NOT_EXECUTED = {AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT}
MAY_STILL_EXECUTE = {AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED}
MAX_TIMER_NS = 71 * 60 * 10**9


class RuleError(AssertionError):
    """A rule was broken, or an action was invalid. The text for a rule begins with "rule" and its number."""


def require(condition: bool, text: str) -> None:
    """Raises RuleError with `text` unless the condition holds."""
    if not condition:
        raise RuleError(text)


@dataclass
class AttemptRecord:
    """The checker's record of an attempt.

    Attributes:
        sent_at: When the attempt was sent, ns.
        open: The outcome is not known yet.
        not_executed: The request is known not to have been executed by this attempt.
    """

    endpoint: int
    sent_at: int
    open: bool = True
    not_executed: bool = False


@dataclass
class RequestRecord:
    """The checker's record of a request.

    Attributes:
        deadline: The request's deadline, ns.
        attempts: All attempts in the order in which they were sent.
        answered: The request has its final response, or its client has disconnected.
        key: The request's key if requests of that key are executed in order; 0: no order.
        key_settles_at: Earliest time at which the key's next request may be sent, ns. Until then an attempt
            of this request may still be executed.
    """

    request_class: api.RequestClass
    deadline: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    answered: bool = False
    key: int = 0
    key_settles_at: int = 0

    def is_over(self) -> bool:
        """Whether the request is answered and has no open attempt."""
        return self.answered and not any(attempt.open for attempt in self.attempts)


class Checker:
    """Checks one decision module.

    Attributes:
        requests: Records of the requests, by id.
    """

    def __init__(self, settings: Settings, drops_finished: bool = False) -> None:
        """Creates a checker without requests and endpoints.

        Args:
            drops_finished: Drops the records of finished requests, so that memory is bounded in long runs.
        """
        self.settings = settings
        self.requests: dict[int, RequestRecord] = {}
        self._drops_finished = drops_finished
        self._current_listings: dict[int, api.EndpointListing] = {}
        self._unavailable_since: dict[int, int] = {}
        self._last_listings: dict[int, api.EndpointListing] = {}  # latest of each endpoint, listed or removed
        self._requests_by_key: dict[int, list[int]] = {}  # requests by key in order of arrival

    def observe(self, now: int, event: api.Event) -> None:
        """Records an event. The caller does this before the module handles it."""
        match event:
            case api.RequestArrived():
                self._record_arrival(now, event)
            case api.ClientDisconnected():
                if event.request in self.requests:
                    self.requests[event.request].answered = True
                    self._drop_finished(event.request)
            case api.AttemptOutcome():
                self._record_outcome(now, event)
            case api.EndpointListUpdate() if event.kind != api.EndpointListKind.FAILED:
                self._update_endpoints(now, event)
            case _:
                pass

    def _record_arrival(self, now: int, event: api.RequestArrived) -> None:
        request_class = self.settings.classes[event.class_index]
        key = event.key if request_class.in_order else 0
        self.requests[event.request] = RequestRecord(request_class, now + event.remaining_ns, key=key)
        if key:
            self._requests_by_key.setdefault(key, []).append(event.request)

    def _record_outcome(self, now: int, event: api.AttemptOutcome) -> None:
        record = self.requests[event.request]
        attempt = record.attempts[event.attempt]
        attempt.open = False
        attempt.not_executed = event.status in NOT_EXECUTED
        if event.status in MAY_STILL_EXECUTE:
            record.key_settles_at = now + self.settings.ordering_settle_ns
        record.answered = record.answered or event.finished
        self._drop_finished(event.request)

    def _drop_finished(self, request: int) -> None:
        record = self.requests[request]
        if self._drops_finished and not record.key and record.is_over():
            del self.requests[request]

    def _update_endpoints(self, now: int, update: api.EndpointListUpdate) -> None:
        if update.kind != api.EndpointListKind.DELTA:
            for endpoint in set(self._current_listings) - {listing.endpoint for listing in update.entries}:
                del self._current_listings[endpoint]
                self._unavailable_since.setdefault(endpoint, now)
        for listing in update.entries:
            self._last_listings[listing.endpoint] = listing
            self._current_listings[listing.endpoint] = listing
            if listing.state == EndpointState.READY:
                self._unavailable_since.pop(listing.endpoint, None)
            else:
                self._unavailable_since.setdefault(listing.endpoint, now)

    def check(self, now: int, actions: list[api.Action]) -> None:
        """Checks the actions that the module decided on, and records them.

        Raises:
            RuleError: An action breaks a rule, is invalid, or is not allowed by the settings.
        """
        for action in actions:
            match action:
                case api.Send():
                    self._check_send(now, action)
                case api.Reject():
                    self._check_rejection(self._record_final(now, action.request))
                    self._drop_finished(action.request)
                case api.Fail():
                    self._record_final(now, action.request)
                    self._drop_finished(action.request)
                case _:
                    self._check_auxiliary(action)

    def _check_auxiliary(self, action: api.Action) -> None:
        """Checks an action that neither sends a request to an endpoint nor ends it."""
        match action:
            case api.Cancel():
                require(self.settings.may_cancel, "cancel where it is not allowed")
                record = self.requests.get(action.request)
                require(
                    record is None or action.attempt < len(record.attempts),
                    "unknown attempt",
                )
            case api.SendHealthCheck():
                require(self.settings.may_health_check, "a probe where it is not allowed")
            case api.SendGossip():
                require(self.settings.may_gossip, "a message where it is not allowed")
            case api.SetTimer():
                require(0 <= action.delay_ns <= MAX_TIMER_NS, "a timer out of bounds")
            case _:
                pass

    def _check_send(self, now: int, send: api.Send) -> None:
        record = self.requests.get(send.request)
        require(record is not None, "rule 1: a send for a request that has ended")
        assert record
        require(not record.answered, "rule 1: a send for a request that has ended")
        require(send.endpoint in self._last_listings, "an endpoint no list has named")
        assert send.timeout_ns >= 0
        unavailable_since = self._unavailable_since.get(send.endpoint)
        grace = self.settings.drain_grace_ns
        require(
            unavailable_since is None or now <= unavailable_since + grace,
            "rule 3: a send past the drain grace",
        )
        require(len(record.attempts) < self.settings.max_attempts, "more attempts than allowed")
        if not self.settings.may_hedge:
            require(
                not any(attempt.open for attempt in record.attempts),
                "two attempts outstanding",
            )
        self._check_repeat(now, record, send.endpoint)
        self._check_order(now, send.request, record)
        record.attempts.append(AttemptRecord(send.endpoint, now))

    def _check_repeat(self, now: int, record: RequestRecord, endpoint: int) -> None:
        """Checks rule 2 for a new attempt to `endpoint`: repeating the request has to be harmless."""
        possibly_executed = [attempt for attempt in record.attempts if not attempt.not_executed]
        if not possibly_executed or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        require(
            record.request_class.idempotency is Idempotency.WITH_KEY,
            "rule 2: an unsafe request sent again",
        )
        require(
            now <= possibly_executed[0].sent_at + record.request_class.dedup_window_ns,
            "rule 2: past the dedup window",
        )
        repeated = self._last_listings[endpoint]
        first = self._last_listings[possibly_executed[0].endpoint]
        if record.request_class.dedup_scope is DedupScope.ZONE:
            require(repeated.zone == first.zone, "rule 2: outside the zone that drops repeats")
        elif record.request_class.dedup_scope is DedupScope.CELL:
            require(repeated.cell == first.cell, "rule 2: outside the cell that drops repeats")

    def _check_order(self, now: int, request: int, record: RequestRecord) -> None:
        if not record.key:
            return
        ordered = self._requests_by_key[record.key]
        for earlier in ordered[: ordered.index(request)]:
            require(self.requests[earlier].is_over(), "order: an earlier request of the key is not over")
            require(now >= self.requests[earlier].key_settles_at, "order: the key's rest was cut short")

    def _check_rejection(self, record: RequestRecord) -> None:
        """Checks rule 2 for a rejection, after which clients may retry any request."""
        not_executed = all(attempt.not_executed for attempt in record.attempts)
        if not_executed or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        is_keyed = record.request_class.idempotency is Idempotency.WITH_KEY
        deduplicated_everywhere = is_keyed and record.request_class.dedup_scope is DedupScope.ALL
        require(deduplicated_everywhere, "rule 2: a refusal of what may have run")

    def _record_final(self, now: int, request: int) -> RequestRecord:
        """Checks rule 1 for a final response, and marks the request as answered; returns its record."""
        record = self.requests.get(request)
        require(record is not None, "rule 1: a second final answer")
        assert record
        require(not record.answered, "rule 1: a second final answer")
        require(
            now <= record.deadline + self.settings.answer_slack_ns,
            "rule 1: a late final answer",
        )
        record.answered = True
        return record

    def check_all_answered(self, now: int) -> None:
        """Raises RuleError if a request past its deadline has no final response (rule 1)."""
        for request, record in self.requests.items():
            late = now > record.deadline + self.settings.answer_slack_ns
            require(record.answered or not late, f"rule 1: request {request} was never answered")
