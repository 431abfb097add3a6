"""Runs the sidecar with one deliberate break, or with a wall clock that can be shifted.

`python -m anisespool.lab.live.mutated_sidecar MUTATION [sidecar --config FILE]`

The mutations test the lab: a run that does not detect such a break would not detect a real one. Each breaks
one thing in the running program, where a programming error could, and never the lab's own counts. `sound`
breaks nothing.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from anisespool import sidecar
from anisespool.balancer import Balancer
from anisespool.balancer import interface as api
from anisespool.balancer.interface import AttemptStatus, EndpointState
from anisespool.config import clock
from anisespool.discovery.watch import EndpointWatch
from anisespool.lab.live import clock_file
from anisespool.proxy.call import FinalResponse
from anisespool.proxy.exchange import Exchange
from anisespool.proxy.proxy import Proxy
from anisespool.upstream.attempt import Attempt
from anisespool.upstream.cluster import Cluster

SEND_DELAY_S = 0.3  # delay of attempts in `send_cancelled_attempts`
LONG_SEND_DELAY_S = (
    1.2  # delay of one attempt in MUTATED_ATTEMPT_INTERVAL there, past every client's deadline
)
MUTATED_ATTEMPT_INTERVAL = 20
MUTATED_RESPONSE_INTERVAL = 20  # one response in this many is broken
CRASH_STATUS = 3


class _Counter:
    """Selects one of `interval` calls."""

    def __init__(self, interval: int) -> None:
        self._interval = interval
        self._count = 0

    def is_selected(self) -> bool:
        """Count a call, and return whether it is to be broken."""
        self._count += 1
        return self._count % self._interval == 0


def break_nothing() -> None:
    """Leave the program unchanged."""


def retry_unsafe_requests() -> None:
    """Retry non-idempotent requests after a reset, as if they could not have been executed."""
    original = Proxy._attempt_finished

    def attempt_finished(self: Proxy, attempt: Attempt) -> None:
        if attempt.status is AttemptStatus.RESET:
            attempt.status = AttemptStatus.CONNECT_FAILED
        original(self, attempt)

    _patch(Proxy, "_attempt_finished", attempt_finished)


def reject_executed_requests() -> None:
    """Reject requests that may have been executed, so that their clients take a retry for safe."""

    def fail(self: Proxy, action: api.Fail) -> None:
        self._reject(api.Reject(action.request))

    _patch(Proxy, "_fail", fail)


def ignore_drains() -> None:
    """Treat draining endpoints as ready."""
    original_handle = Balancer.handle
    original_update = Cluster.update

    def handle(self: Balancer, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.EndpointListUpdate):
            event = event._replace(entries=tuple(_without_drain(entry) for entry in event.entries))
        return list(original_handle(self, now, event))

    def update(self: Cluster, number: int, address: Any, started: int, up: bool) -> Any:
        return original_update(self, number, address, started, True)

    _patch(Balancer, "handle", handle)
    _patch(Cluster, "update", update)


def _without_drain(entry: api.EndpointListing) -> api.EndpointListing:
    if entry.state == EndpointState.DRAINING:
        return entry._replace(state=EndpointState.READY)
    return entry


def keep_first_list() -> None:
    """Apply only the first endpoint list, and ignore all later updates."""
    original = EndpointWatch._apply_update

    def apply_update(self: Any, raw: Any) -> None:
        if not getattr(self, "has_list", False):
            self.has_list = True
            original(self, raw)

    _patch(EndpointWatch, "_apply_update", apply_update)


def send_cancelled_attempts() -> None:
    """Delay attempts, and send them even if they were cancelled meanwhile."""
    counter = _Counter(MUTATED_ATTEMPT_INTERVAL)
    start = Cluster._start  # behind the gate, which would hold back and drop what was given up

    def send_late(self: Cluster, attempt: Attempt) -> None:
        if attempt.status is not None:
            attempt.status = None
        start(self, attempt)

    def send(self: Cluster, attempt: Attempt) -> None:
        delay_s = LONG_SEND_DELAY_S if counter.is_selected() else SEND_DELAY_S
        asyncio.get_running_loop().call_later(delay_s, send_late, self, attempt)

    _patch(Cluster, "send", send)
    # Otherwise the check before an attempt begins would end those that were given up.
    _patch(Attempt, "may_begin", lambda attempt: attempt.status is None)


def swap_response_bodies() -> None:
    """Send the previous response's body in one response in MUTATED_RESPONSE_INTERVAL."""
    original = Proxy._respond
    counter = _Counter(MUTATED_RESPONSE_INTERVAL)
    last_body = b""

    def respond(self: Proxy, exchange: Exchange, response: FinalResponse) -> None:
        nonlocal last_body
        previous_body = last_body
        last_body = response.body
        if counter.is_selected() and response.status == 200:
            response = response._replace(body=previous_body)
        original(self, exchange, response)

    _patch(Proxy, "_respond", respond)


def drop_responses() -> None:
    """Send no response to one request in MUTATED_RESPONSE_INTERVAL."""
    original = Proxy._respond
    counter = _Counter(MUTATED_RESPONSE_INTERVAL)

    def respond(self: Proxy, exchange: Exchange, response: FinalResponse) -> None:
        if counter.is_selected():
            exchange.close()
        else:
            original(self, exchange, response)

    _patch(Proxy, "_respond", respond)


def crash_on_reset() -> None:
    """Exit when an attempt is reset."""
    original = Proxy._attempt_finished

    def attempt_finished(self: Proxy, attempt: Attempt) -> None:
        if attempt.status is AttemptStatus.RESET:
            os._exit(CRASH_STATUS)
        original(self, attempt)

    _patch(Proxy, "_attempt_finished", attempt_finished)


def overload_warming_endpoints() -> None:
    """Treat every endpoint as warm, and send all requests to the one that started last."""
    original = Balancer.handle
    newest = 0  # endpoint; 0: none has started yet
    newest_started_ns = 0

    def note_newest(update: api.EndpointListUpdate) -> None:
        nonlocal newest, newest_started_ns
        for entry in update.entries:
            if entry.state == EndpointState.READY and entry.started_ns > newest_started_ns:
                newest = entry.endpoint
                newest_started_ns = entry.started_ns

    def handle(self: Balancer, now: int, event: api.Event) -> list[api.Action]:
        if isinstance(event, api.EndpointListUpdate):
            note_newest(event)
            event = event._replace(entries=tuple(entry._replace(started_ns=0) for entry in event.entries))
        return [
            action._replace(endpoint=newest) if newest and isinstance(action, api.Send) else action
            for action in original(self, now, event)
        ]

    _patch(Balancer, "handle", handle)


MUTATIONS: dict[str, Callable[[], None]] = {  # keyed by the values of `lab fleet --spoilt`
    "sound": break_nothing,
    "resends-unsafe": retry_unsafe_requests,
    "refuses-risky": reject_executed_requests,
    "ignores-drains": ignore_drains,
    "keeps-first-list": keep_first_list,
    "sends-what-was-given-up": send_cancelled_attempts,
    "answers-with-anothers": swap_response_bodies,
    "forgets-some": drop_responses,
    "dies-of-a-reset": crash_on_reset,
    "presses-the-cold": overload_warming_endpoints,
}


def _patch(owner: type, name: str, function: Callable[..., Any]) -> None:
    setattr(owner, name, function)


def _shift_clock_on_signal() -> None:
    """On SIGUSR2, shift the wall clock by the offset in the file beside the configuration."""
    folder = Path(os.environ["LB_CONFIG"]).parent
    signal.signal(signal.SIGUSR2, lambda number, frame: clock.set_offset(clock_file.read_offset(folder)))


def main(arguments: list[str]) -> int:
    """Apply the mutation that the first argument names, run the sidecar and return its exit status."""
    name, *sidecar_arguments = arguments
    MUTATIONS[name]()
    _shift_clock_on_signal()
    has_file = sidecar_arguments[:2] == ["sidecar", "--config"]
    return sidecar.main(sidecar_arguments[2] if has_file else None)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
