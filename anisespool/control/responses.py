"""Answers of the control socket; fields are in the order of the JSON.

Where a field's name here differs from its key on the socket, `msgspec.field(name=...)` gives the key.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from anisespool.balancer.interface import EndpointState

JsonObject = dict[str, Any]  # JSON as it goes on the socket; nothing decides by it


class InstancePhase(StrEnum):
    """What an instance does at the moment. The values are those on the socket."""

    STARTING = "starting"  # no endpoint yet
    SERVING = "serving"
    DRAINING = "draining"  # graceful shutdown


class EndpointStateName(StrEnum):
    """The names that the socket has for the states of an endpoint (`balancer.interface.EndpointState`)."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "gone"

    @classmethod
    def of(cls, state: int) -> EndpointStateName:
        """Return the name of an EndpointState."""
        return ENDPOINT_STATE_NAMES[EndpointState(state)]


ENDPOINT_STATE_NAMES = {
    EndpointState.READY: EndpointStateName.READY,
    EndpointState.DRAINING: EndpointStateName.DRAINING,
    EndpointState.GONE: EndpointStateName.REMOVED,
}


class InstanceState(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/state`: small, as an agent of thousands of instances polls it each second."""

    name: str
    pid: int
    boot: str  # a new random id with each start
    build: str
    started_ms: int  # Unix time
    uptime_s: float
    phase: InstancePhase
    generation: int
    digest: str
    drained: list[str]  # endpoint ids, by any source
    drained_by_hand: list[str] = msgspec.field(name="drained_here")
    drained_by_fleet: list[str] = msgspec.field(name="drained_fleet")
    drains_revision: int  # of the fleet's drains


class EndpointDescription(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint in `GET /v1/describe`."""

    id: str
    address: str
    listed: EndpointStateName  # in the endpoint list as received
    state: EndpointStateName  # in the balancer, with drains
    drained_by: str = msgspec.field(name="drained")  # sources joined by `+`; empty: not drained
    weight: float = msgspec.field(name="odds")  # share of the next attempts, 0 to 1
    slowdown: float  # ratio: recent latency over the typical one
    queue: float  # requests queued there, by its last load report
    in_flight: int = msgspec.field(name="open")  # attempts of this sidecar
    warmup_left_s: float = msgspec.field(name="cold_s")
    idle: int  # connections
    connecting: int  # attempts that wait for a connection


class InstanceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """`GET /v1/describe`, after the fields of InstanceState."""

    listen: str
    open_requests: int = msgspec.field(name="open")  # without a final response
    queueing_ratio: float = msgspec.field(name="strain")  # 0 to 1
    clients: dict[str, int]  # connections of the application
    settings: JsonObject  # the platform's, as applied
    classes: dict[str, dict[str, int]]  # final answers by request class and outcome
    endpoints: list[EndpointDescription]
    endpoints_total: int
    file: JsonObject  # the operator's file with the document in force
    live_keys: list[str]


class Validated(msgspec.Struct, frozen=True):
    """`POST /v1/validate`."""

    digest: str


class Changed(msgspec.Struct, frozen=True):
    """Whether a request changed anything; follows InstanceState."""

    changed: bool


def json_object(*parts: msgspec.Struct) -> JsonObject:
    """Return the fields of all `parts` as one JSON object, in their order."""
    merged: JsonObject = {}
    for part in parts:
        merged |= msgspec.to_builtins(part)
    return merged
