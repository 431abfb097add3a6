"""Seeded event streams for the decision program, and hashes of its decisions.

A simulated world of endpoints, clients, discovery and other sidecars reacts to the program's actions. The
following compares all events of all streams with the golden hashes. The exit status is 1 if one differs:

    python -m tests.golden.decision_streams
    python -m tests.golden.decision_streams --write-actions FOLDER

The second form also writes every action as text to a file for each stream, to compare versions by `diff`.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import json
import struct
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any, cast

from tests.golden import simulator_wire as wire
from tests.golden.simulator_wire import Action, DecisionProgram, encode_event

STREAMS = Path(__file__).parent / "data" / "decision_streams.json"
CHECKPOINT_EVENTS = 1_000
MS = 1_000_000
EXTREME_NUMBERS = (0, 1, 2**31, 2**32 - 1)
EXTREME_TIMES = (0, 1, 2**40, 2**63 - 1)
EXTREME_FLOATS = (float("nan"), float("inf"), -1.0, 0.0, 3e38, 1e-30)
FAILURES = (
    wire.ERROR,
    wire.FULL,
    wire.FULL,
    wire.TIMEOUT,
    wire.CONNECT_FAILED,
    wire.RESET,
    wire.MOOT,
)


# Incomplete or invalid settings, which the program answers with the action `Broken`.
INVALID_SETTINGS: tuple[dict[str, Any], ...] = (
    {"guarantees": {}},
    {"guarantees": 7},
    {"zone": "east"},
    {"zone": float("inf")},
    {"request-classes": [{"target-ns": 0}]},
    {"request-classes": [{"target-ns": 1, "deadline-ns": 1, "effect": "never"}]},
)


@dataclass
class Request:
    """A request that an instance holds, as its client and the endpoints see it."""

    is_stream: bool
    concluded: bool = False
    endpoints: list[int] = field(default_factory=list)
    """The endpoint of each attempt."""
    open_attempts: set[int] = field(default_factory=set)


@dataclass
class Instance:
    """One sidecar, as the platform sees it."""

    number: int
    incarnation: int = 0
    is_up: bool = False
    is_subscribed: bool = False
    requests: dict[int, Request] = field(default_factory=dict)


class World:
    """The simulated endpoints, clients, discovery and peers of one stream.

    `plan` is a row of decision_streams.json: `settings`, `seed`, the numbers of `instances` and `endpoints`,
    the time `turn_ms` between two batches, the maximum number of `arrivals` in a batch, the service time
    `work_ms`, and shares. `failing` is the share of attempts that fail, `hostile` that of events with invalid
    values, `churn` that of turns that change the endpoint list, and `restarts` that of an instance's turns in
    which it restarts.
    """

    def __init__(self, plan: dict[str, Any]) -> None:
        self.plan = plan
        self.settings = plan["settings"]
        self.random = Random(plan["seed"])
        self.now = 1_000 * MS
        self.batch: list[bytes] = []
        self.event_count = 0
        self.list_version = 1
        self.next_request = 1 << 40
        self.instances = [Instance(number) for number in range(plan["instances"])]
        self.endpoints = {
            self.random.getrandbits(32): self._new_entry(wire.READY) for _ in range(plan["endpoints"])
        }
        self._scheduled: list[
            tuple[int, int, Instance, int | None, Callable[..., None], tuple[Any, ...]]
        ] = []
        self._scheduled_count = 0
        self._handlers: dict[str, Callable[..., None]] = {
            "Relay": self._start_attempt,
            "AbortAttempt": self._cancel_attempt,
            "Reject": self._conclude,
            "Lose": self._conclude,
            "Remind": self._set_reminder,
            "HealthCheck": self._check_health,
            "Fetch": self._fetch_list,
            "StreamChanges": self._subscribe,
            "Broken": self._stop_broken,
            "Signal": self._send_message,
        }

    def next_batch(self) -> list[bytes]:
        """Advance the clock by one turn, and return the records of its events."""
        self.batch = []
        self.now += self.plan["turn_ms"] * MS + self.random.randrange(MS)
        for instance in self.instances:
            if not instance.is_up:
                self._boot(instance)
            elif self._occurs("restarts"):
                self._event("Down", instance)
                self._boot(instance)
        self._deliver_due()
        if self._occurs("churn"):
            self._change_list()
        for _ in range(self.random.randrange(self.plan["arrivals"] + 1)):
            self._arrive(self._any_instance())
        if self._occurs("hostile"):
            self._send_invalid_event(self._any_instance())
        return self.batch

    def apply(self, action: Action) -> None:
        """Simulate the effect of an action of the program."""
        if action.name in self._handlers:
            self._handlers[action.name](self.instances[action.instance], *action.values)

    def _event(self, name: str, instance: Instance, *values: int, content: bytes = b"") -> None:
        self.batch.append(encode_event(name, instance.number, *values, content=content))
        self.event_count += 1

    def _occurs(self, share: str) -> bool:
        return self.random.random() < float(self.plan[share])

    def _any_instance(self) -> Instance:
        return self.instances[self.random.randrange(len(self.instances))]

    def _boot(self, instance: Instance) -> None:
        instance.incarnation += 1
        instance.is_up = True
        instance.is_subscribed = self.settings.get("discovery", "push") == "push"
        instance.requests = {}
        settings = self.settings | {"self-index": instance.number}
        if self._occurs("hostile"):
            settings = settings | self.random.choice(INVALID_SETTINGS)
        params = json.dumps(settings).encode()
        self._event("Boot", instance, self.random.getrandbits(64), len(params), content=params)
        self._send_list([instance], wire.CACHED_LIST, self.endpoints)

    def _new_entry(self, state: int) -> tuple[float, int, int, int, int, int]:
        """Return weight, cell, machine type, zone, state and start time of a new endpoint."""
        zone = self.random.randrange(2)
        cell = 2 * self.random.randrange(2) + zone
        weight = 0.5 + self.random.random()
        start = self.now if self.random.random() < 0.5 else 0
        return (weight, cell, self.random.randrange(2), zone, state, start)

    def _send_list(self, receivers: list[Instance], form: int, entries: dict[int, Any]) -> None:
        number = self.list_version % 16
        if form != wire.FAILED_LIST:
            self.batch.append(wire.encode_list(number, entries))
        for instance in receivers:
            self._event("RosterChange", instance, self.list_version, form, number)

    def _change_list(self) -> None:
        endpoint = list(self.endpoints)[self.random.randrange(len(self.endpoints))]
        state = (wire.GONE, wire.READY, wire.READY, wire.DRAINING)[self.random.randrange(4)]
        changes = {endpoint: self._new_entry(state)}
        if state == wire.GONE:
            del self.endpoints[endpoint]
            replacement = self.random.getrandbits(32)
            changes[replacement] = self.endpoints[replacement] = self._new_entry(wire.READY)
        else:
            self.endpoints[endpoint] = changes[endpoint]
        if self._occurs("hostile"):
            extreme_endpoint = self.random.choice(EXTREME_NUMBERS)
            weight = self.random.choice(EXTREME_FLOATS)
            changes[extreme_endpoint] = (weight, 65535, 65535, 65535, wire.READY, self.now * 2)
            self.endpoints[extreme_endpoint] = changes[extreme_endpoint]
        self.list_version += 1
        receivers = [instance for instance in self.instances if instance.is_up and instance.is_subscribed]
        self._send_list(receivers, wire.DELTA_LIST, changes)

    def _subscribe(self, instance: Instance, active: int) -> None:
        instance.is_subscribed = bool(active)
        self._fetch_list(instance)

    def _fetch_list(self, instance: Instance) -> None:
        self._schedule(20 * MS, instance, self._deliver_list)

    def _deliver_list(self, instance: Instance) -> None:
        form = wire.FAILED_LIST if self._occurs("failing") else wire.FULL_LIST
        self._send_list([instance], form, self.endpoints)

    def _arrive(self, instance: Instance) -> None:
        classes = self.settings["request-classes"]
        number = self.random.randrange(len(classes))
        deadline_left_ns = classes[number]["deadline-ns"]
        if self.random.random() < 0.2:
            deadline_left_ns = int(deadline_left_ns * self.random.random())
        work_hint_ns = self._work()
        key = self.random.randrange(12) * 0x9E3779B97F4A7C15 % 2**64
        flags = self.random.randrange(8)
        tenant = self.random.randrange(5)
        if self._occurs("hostile"):
            work_hint_ns = self.random.choice(EXTREME_TIMES)
            deadline_left_ns = self.random.choice(EXTREME_TIMES)
            tenant = 65535
            number = (number, number, 255)[self.random.randrange(3)]
        request = self.next_request
        self.next_request += 1
        self._event("Arrival", instance, request, work_hint_ns, key, deadline_left_ns, tenant, flags, number)
        is_stream = number < len(classes) and bool(classes[number].get("stream"))
        instance.requests[request] = Request(is_stream)
        self._schedule(min(deadline_left_ns, 60_000 * MS), instance, self._disconnect_client, request)

    def _disconnect_client(self, instance: Instance, number: int) -> None:
        request = instance.requests[number]
        if not request.concluded:
            request.concluded = True
            self._event("ClientGone", instance, number)

    def _conclude(self, instance: Instance, number: int, wait: int = 0) -> None:
        if number in instance.requests:
            instance.requests[number].concluded = True

    def _work(self) -> int:
        return int(self.plan["work_ms"] * MS * (0.2 + 2 * self.random.random()))

    def _start_attempt(self, instance: Instance, number: int, endpoint: int, timeout: int) -> None:
        request = instance.requests.get(number)
        if request is None:
            return
        attempt = len(request.endpoints)
        request.endpoints.append(endpoint)
        request.open_attempts.add(attempt)
        duration = self._work()
        status = wire.OK
        if self._occurs("failing"):
            status = FAILURES[self.random.randrange(len(FAILURES))]
        if request.is_stream and status == wire.OK:
            half = duration // 2
            self._schedule(half, instance, self._send_first_byte, number, attempt, half)
        if 0 < timeout < duration:
            duration = timeout
            status = wire.TIMEOUT
        self._schedule(duration, instance, self._end_attempt, number, attempt, duration, status)

    def _cancel_attempt(self, instance: Instance, number: int, attempt: int) -> None:
        self._schedule(MS, instance, self._end_attempt, number, attempt, MS, wire.CANCELLED)

    def _send_first_byte(self, instance: Instance, number: int, attempt: int, duration: int) -> None:
        request = instance.requests[number]
        if attempt in request.open_attempts and not request.concluded:
            self._event("AckFirst", instance, number, request.endpoints[attempt], duration, attempt)

    def _end_attempt(self, instance: Instance, number: int, attempt: int, duration: int, status: int) -> None:
        request = instance.requests[number]
        if attempt not in request.open_attempts:
            return
        request.open_attempts.discard(attempt)
        request.concluded = request.concluded or status == wire.OK
        values = (number, request.endpoints[attempt], attempt, duration, status, request.concluded)
        self._event("Answer", instance, *values, content=self._load_report())

    def _check_health(self, instance: Instance, endpoint: int) -> None:
        self._schedule(self.plan["work_ms"] * MS, instance, self._answer_health_check, endpoint)

    def _answer_health_check(self, instance: Instance, endpoint: int) -> None:
        values = (wire.OK, endpoint, self.plan["work_ms"] * MS)
        self._event("ProbeResult", instance, *values, content=self._load_report())

    def _load_report(self, value: float | None = None) -> bytes:
        """Return a load report with the columns that the settings name, or at random without columns."""
        columns = len(self.settings.get("report", {}).get("columns", []))
        if value is None and self.random.random() < 0.3:
            columns = 0
        values = [value if value is not None else 20 * self.random.random() for _ in range(columns)]
        return struct.pack(f"<B{columns}f", columns, *values)

    def _schedule(self, delay: int, instance: Instance, callback: Callable[..., None], *values: Any) -> None:
        """Call `callback` after a delay, unless the instance has restarted or stopped by then."""
        self._push(delay, instance, instance.incarnation, callback, values)

    def _push(
        self,
        delay: int,
        instance: Instance,
        incarnation: int | None,
        callback: Callable[..., None],
        values: tuple[Any, ...],
    ) -> None:
        self._scheduled_count += 1
        due = self.now + max(delay, 1)
        heapq.heappush(self._scheduled, (due, self._scheduled_count, instance, incarnation, callback, values))

    def _deliver_due(self) -> None:
        while self._scheduled and self._scheduled[0][0] <= self.now:
            _, _, instance, incarnation, callback, values = heapq.heappop(self._scheduled)
            if instance.is_up and incarnation in (None, instance.incarnation):
                callback(instance, *values)

    def _set_reminder(self, instance: Instance, delay: int, token: int) -> None:
        self._schedule(delay, instance, self._remind, token)

    def _remind(self, instance: Instance, token: int) -> None:
        self._event("Wakeup", instance, token)

    def _stop_broken(self, instance: Instance, text: bytes) -> None:
        instance.is_up = False

    def _send_message(self, instance: Instance, peer: int, payload: bytes) -> None:
        if peer < len(self.instances):
            values = (instance.number, payload)
            self._push(3 * MS, self.instances[peer], None, self._deliver_message, values)

    def _deliver_message(self, instance: Instance, sender: int, payload: bytes) -> None:
        self._event("FromPeer", instance, sender, len(payload), content=payload)

    def _send_invalid_event(self, instance: Instance) -> None:
        """Send an event with extreme values, of an unknown request or endpoint."""
        request = self.random.choice(EXTREME_NUMBERS)
        endpoint = self.random.choice(EXTREME_NUMBERS)
        time = self.random.choice(EXTREME_TIMES)
        status = self.random.randrange(8)
        load = self._load_report(self.random.choice(EXTREME_FLOATS))
        payload = self.random.randbytes(self.random.choice((0, 1, 7, 8, 15, 255)))
        events: tuple[tuple[str, tuple[int, ...], bytes], ...] = (
            ("Answer", (request, endpoint, 65535, time, status, 1), load),
            ("AckFirst", (request, endpoint, time, 9), b""),
            ("ClientGone", (request,), b""),
            ("Wakeup", (endpoint,), b""),
            ("ProbeResult", (status, endpoint, time), load),
            ("FromPeer", (65535, len(payload)), payload),
            ("RosterChange", (0, wire.FAILED_LIST, 99), b""),
        )
        name, values, content = self.random.choice(events)
        self._event(name, instance, *values, content=content)


@dataclass
class Result:
    """The result of a stream: a hash at each checkpoint, and every action as a line of text."""

    checkpoints: list[str]
    lines: list[str]


def play(plan: dict[str, Any], checkpoint_count: int) -> Result:
    """Play a stream, and hash all its actions so far after every 1,000 events."""
    world = World(plan)
    program = DecisionProgram()
    digest = hashlib.sha256()
    result = Result([], [])
    while len(result.checkpoints) < checkpoint_count:
        for action in program.exchange(world.now, world.next_batch()):
            line = f"{world.event_count} {action.canonical()}\n"
            digest.update(line.encode())
            result.lines.append(line)
            world.apply(action)
        if world.event_count >= (len(result.checkpoints) + 1) * CHECKPOINT_EVENTS:
            result.checkpoints.append(digest.hexdigest()[:24])
    program.close()
    return result


def load_plans() -> list[dict[str, Any]]:
    """Return the plans of the streams' worlds, with the golden hashes."""
    return cast(list[dict[str, Any]], json.loads(STREAMS.read_text()))


def describe(golden: list[str], found: list[str]) -> str:
    """Return where a stream first differs from its golden hashes, or an empty text if it does not."""
    for number, pair in enumerate(zip(golden, found, strict=True)):
        if pair[0] != pair[1]:
            first = number * CHECKPOINT_EVENTS
            return f"differs first within events {first} to {first + CHECKPOINT_EVENTS}"
    return ""


def main() -> int:
    """Play all streams, and return 1 as the exit status if one of them differs."""
    parser = argparse.ArgumentParser(description="Compare all decisions with the golden hashes.")
    parser.add_argument("--write-actions", type=Path, metavar="FOLDER")
    folder = parser.parse_args().write_actions
    status = 0
    for plan in load_plans():
        golden = plan["checkpoints"]
        result = play(plan, len(golden))
        difference = describe(golden, result.checkpoints)
        if folder:
            (folder / f"{plan['name']}.txt").write_text("".join(result.lines))
        if difference:
            status = 1
        events = len(golden) * CHECKPOINT_EVENTS
        print(f"{plan['name']}: {events} events, {len(result.lines)} actions, {difference or 'same'}")
    return status


if __name__ == "__main__":
    sys.exit(main())
