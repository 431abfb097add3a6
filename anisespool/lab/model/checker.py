"""Checks a decision module by the four rules and by the order of requests with a key.

It shares no logic with the module: it follows events and actions, and judges from these alone. What it says
of idempotency is its own copy of the rule on purpose (the module's: balancer/retry/idempotency.py).
"""

from __future__ import annotations

from dataclasses import dataclass, field

from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, DedupScope, EndpointState, Idempotency, Settings

# Written out here, not taken from the module that is checked.
NOT_EXECUTED = {AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT}
MAY_STILL_EXECUTE = {AttemptStatus.TIMEOUT, AttemptStatus.RESET, AttemptStatus.CANCELLED}
MAX_TIMER_NS = 71 * 60 * 10**9


class RuleError(AssertionError):
    """A rule was broken; the text begins with its number."""


def require(condition: bool, text: str) -> None:
    """Raises RuleError with that text unless the condition holds."""
    if not condition:
        raise RuleError(text)


@dataclass
class AttemptRecord:
    """An attempt: one copy of the request.

    Attributes:
        sent: When, ns.
        open: Its outcome is not known yet.
        unrun: It is known not to have been executed.
    """

    endpoint: int
    sent_at: int
    open: bool = True
    not_executed: bool = False


@dataclass
class RequestRecord:
    """What is known of one request.

    Attributes:
        due: Its deadline, ns.
        copies: Its attempts, in order.
        answered: It has its final response, or an outcome that gave it.
        key: Of a request that must be executed in order, else 0.
        key_settles_at: Until then its key's next request may not be sent, by this one's attempts.
    """

    request_class: api.RequestClass
    deadline: int
    attempts: list[AttemptRecord] = field(default_factory=list)
    answered: bool = False
    key: int = 0
    key_settles_at: int = 0

    def is_over(self) -> bool:
        """Whether it has its final response and no attempt is under way."""
        return self.answered and not any(attempt.open for attempt in self.attempts)


class Checker:
    """Checks one decision module.

    Attributes:
        requests: What is known of each request, by id.
    """

    def __init__(self, settings: Settings, forgetful: bool = False) -> None:
        """Starts with no request and no endpoint.

        Args:
            settings: The module's.
            forgetful: Drops requests that are over, for runs of any length.
        """
        self.settings = settings
        self.requests: dict[int, RequestRecord] = {}
        self._forgetful = forgetful
        self._listings: dict[int, api.EndpointListing] = {}
        self._unavailable_since: dict[int, int] = {}
        self._last_listings: dict[int, api.EndpointListing] = {}  # also of endpoints that are gone
        self._ordered: dict[int, list[int]] = {}  # in-order requests by key, as they arrived

    # Events ---------------------------------------------------------------------------------------

    def observe(self, now: int, event: api.Event) -> None:
        """Notes an event, before the module handles it."""
        match event:
            case api.RequestArrived():
                self._arrived(now, event)
            case api.ClientDisconnected():
                if event.request in self.requests:
                    self.requests[event.request].answered = True
                    self._forget(event.request)
            case api.AttemptOutcome():
                self._ended(now, event)
            case api.EndpointListUpdate() if event.kind != api.EndpointListKind.FAILED:
                self._update_endpoints(now, event)
            case _:
                pass

    def _arrived(self, now: int, event: api.RequestArrived) -> None:
        request_class = self.settings.classes[event.class_index]
        key = event.key if request_class.in_order else 0
        self.requests[event.request] = RequestRecord(request_class, now + event.remaining_ns, key=key)
        if key:
            self._ordered.setdefault(key, []).append(event.request)

    def _ended(self, now: int, event: api.AttemptOutcome) -> None:
        record = self.requests[event.request]
        attempt = record.attempts[event.attempt]
        attempt.open = False
        attempt.not_executed = event.status in NOT_EXECUTED
        if event.status in MAY_STILL_EXECUTE:
            record.key_settles_at = now + self.settings.ordering_settle_ns
        record.answered = record.answered or event.finished
        self._forget(event.request)

    def _forget(self, request: int) -> None:
        record = self.requests[request]
        if self._forgetful and not record.key and record.is_over():
            del self.requests[request]

    def _update_endpoints(self, now: int, update: api.EndpointListUpdate) -> None:
        if update.kind != api.EndpointListKind.DELTA:
            for endpoint in set(self._listings) - {listing.endpoint for listing in update.entries}:
                del self._listings[endpoint]
                self._unavailable_since.setdefault(endpoint, now)
        for listing in update.entries:
            self._last_listings[listing.endpoint] = listing
            self._listings[listing.endpoint] = listing
            if listing.state == EndpointState.READY:
                self._unavailable_since.pop(listing.endpoint, None)
            else:
                self._unavailable_since.setdefault(listing.endpoint, now)

    # Actions --------------------------------------------------------------------------------------

    def check(self, now: int, actions: list[api.Action]) -> None:
        """Judges what the module decided.

        Raises:
            RuleError: An action breaks a rule, or is not allowed by the settings.
        """
        for action in actions:
            match action:
                case api.Send():
                    self._send(now, action)
                case api.Reject():
                    self._rejection(self._final(now, action.request))
                    self._forget(action.request)
                case api.Fail():
                    self._final(now, action.request)
                    self._forget(action.request)
                case _:
                    self._auxiliary(action)

    def _auxiliary(self, action: api.Action) -> None:
        """Actions that neither send a request nor end it."""
        match action:
            case api.Cancel():
                require(self.settings.may_cancel, "cancel where it is not allowed")
                known = self.requests.get(action.request)
                require(known is None or action.attempt < len(known.attempts), "unknown attempt")
            case api.SendHealthCheck():
                require(self.settings.may_health_check, "a probe where it is not allowed")
            case api.SendGossip():
                require(self.settings.may_gossip, "a message where it is not allowed")
            case api.SetTimer():
                require(0 <= action.delay_ns <= MAX_TIMER_NS, "a timer out of bounds")
            case _:
                pass

    def _send(self, now: int, send: api.Send) -> None:
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
            require(not any(attempt.open for attempt in record.attempts), "two attempts outstanding")
        self._check_effects(now, record, send.endpoint)
        self._check_order(now, send.request, record)
        record.attempts.append(AttemptRecord(send.endpoint, now))

    def _check_effects(self, now: int, record: RequestRecord, endpoint: int) -> None:
        """Rule 2, of another attempt."""
        risky = [attempt for attempt in record.attempts if not attempt.not_executed]
        if not risky or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        require(
            record.request_class.idempotency is Idempotency.WITH_KEY, "rule 2: an unsafe request sent again"
        )
        require(
            now <= risky[0].sent_at + record.request_class.dedup_window_ns, "rule 2: past the dedup window"
        )
        here = self._last_listings[endpoint]
        first = self._last_listings[risky[0].endpoint]
        if record.request_class.dedup_scope is DedupScope.ZONE:
            require(here.zone == first.zone, "rule 2: outside the zone that drops repeats")
        elif record.request_class.dedup_scope is DedupScope.CELL:
            require(here.cell == first.cell, "rule 2: outside the cell that drops repeats")

    def _check_order(self, now: int, request: int, record: RequestRecord) -> None:
        if not record.key:
            return
        ordered = self._ordered[record.key]
        for earlier in ordered[: ordered.index(request)]:
            require(self.requests[earlier].is_over(), "order: an earlier request of the key is not over")
            require(now >= self.requests[earlier].key_settles_at, "order: the key's rest was cut short")

    def _rejection(self, record: RequestRecord) -> None:
        """Rule 2: a rejection says that a retry is harmless."""
        not_executed = all(attempt.not_executed for attempt in record.attempts)
        if not_executed or record.request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        is_keyed = record.request_class.idempotency is Idempotency.WITH_KEY
        by_key_all = is_keyed and record.request_class.dedup_scope is DedupScope.ALL
        require(by_key_all, "rule 2: a refusal of what may have run")

    def _final(self, now: int, request: int) -> RequestRecord:
        """Rule 1, of a final response."""
        record = self.requests.get(request)
        require(record is not None, "rule 1: a second final answer")
        assert record
        require(not record.answered, "rule 1: a second final answer")
        require(now <= record.deadline + self.settings.answer_slack_ns, "rule 1: a late final answer")
        record.answered = True
        return record

    def check_all_answered(self, now: int) -> None:
        """Raises RuleError if a request whose time is over has no final response (rule 1)."""
        for request, record in self.requests.items():
            late = now > record.deadline + self.settings.answer_slack_ns
            require(record.answered or not late, f"rule 1: request {request} was never answered")
