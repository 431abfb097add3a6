"""Passes events to the balancer one at a time and executes the actions that it returns."""

from __future__ import annotations

import time
import traceback
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from anisespool.balancer import Balancer
from anisespool.balancer import interface as api
from anisespool.log import log_event

# Events that can finish a request by themselves. If an action finishes a request, its executor removes it.
FINISHING_EVENTS = (api.AttemptOutcome, api.ClientDisconnected)
MIN_TRACEBACK_INTERVAL_S = 1.0


class BalancerDriver:
    """Event queue in front of the balancer.

    An action can end an attempt immediately and thereby cause an event while another one is being handled.
    That event is queued and handled afterwards. An exception in the balancer fails one request, not all open
    ones.
    """

    def __init__(
        self,
        balancer: Balancer,
        executors: Mapping[type, Callable[[Any], None]],
        on_request_failed: Callable[[int], None],
        remove_if_finished: Callable[[int], None],
    ) -> None:
        """Create a driver with an empty queue.

        Args:
            balancer: Returns the actions for each event.
            executors: Executor for each type of action. Actions of other types are ignored: the settings rule
                them out, or the endpoint watch already does what they request.
            on_request_failed: Called with the request id if the balancer raises an exception on an event.
            remove_if_finished: Called with the request id after each of `FINISHING_EVENTS` and the actions
                that it caused.
        """
        self.balancer = balancer
        self._executors = executors
        self._on_request_failed = on_request_failed
        self._remove_if_finished = remove_if_finished
        self._events: deque[api.Event] = deque()
        self._handling = False
        self._last_traceback_s = 0.0

    def submit(self, event: api.Event) -> None:
        """Handle an event now, or after the one being handled."""
        self._events.append(event)
        if not self._handling:
            self._handle_all()

    def submit_first(self, prepare: Callable[[], api.Event]) -> None:
        """Run `prepare` and handle the event that it returns before any event that `prepare` caused."""
        self._handling = True
        try:
            event = prepare()
        finally:
            self._handling = False
        self._events.appendleft(event)
        self._handle_all()

    def _handle_all(self) -> None:
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: api.Event) -> None:
        try:
            actions = self.balancer.handle(time.monotonic_ns(), event)
        except Exception as error:
            self._log_failure(event, error)
            if isinstance(event, api.RequestArrived | api.AttemptOutcome | api.ClientDisconnected):
                self._on_request_failed(event.request)
            # Makes the balancer drop the failed request. This is not repeated after a failed
            # `ClientDisconnected`, because it could fail again without end.
            if isinstance(event, api.RequestArrived | api.AttemptOutcome):
                self._events.append(api.ClientDisconnected(event.request))
            return
        for action in actions:
            execute = self._executors.get(type(action))
            if execute:
                execute(action)
        if isinstance(event, FINISHING_EVENTS):
            self._remove_if_finished(event.request)

    def _log_failure(self, event: api.Event, error: Exception) -> None:
        """Log the current exception with its traceback, at most once per `MIN_TRACEBACK_INTERVAL_S`."""
        if time.monotonic() >= self._last_traceback_s + MIN_TRACEBACK_INTERVAL_S:
            self._last_traceback_s = time.monotonic()
            log_event("balancer_failed", event=type(event).__name__, error=repr(error))
            traceback.print_exc()
