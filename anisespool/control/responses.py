"""Types for the bodies of control responses. Their fields are in the order of the JSON.

If the name of a field differs from its key on the socket, `msgspec.field(name=...)` sets the key.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec

from anisespool.balancer.interface import EndpointState

JsonObject = dict[str, Any]  # JSON as sent on the socket; no decision depends on it.


class InstancePhase(StrEnum):
    """Lifecycle phase of an instance. The values are the names on the socket."""

    STARTING = "starting"  # No endpoint is ready yet.
    SERVING = "serving"
    DRAINING = "draining"  # The graceful shutdown has begun.


class EndpointStateName(StrEnum):
    """Names of the endpoint states (`balancer.interface.EndpointState`) on the socket."""

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
    """Body of `GET /v1/state`. It is small, since an agent polls thousands of instances each second."""

    name: str
    pid: int
    boot: str  # A random id, new at each start of the process.
    build: str
    started_ms: int  # Unix time in ms.
    uptime_s: float
    phase: InstancePhase
    generation: int
    digest: str
    drained: list[str]  # Ids of all drained endpoints.
    drained_by_hand: list[str] = msgspec.field(name="drained_here")
    drained_by_fleet: list[str] = msgspec.field(name="drained_fleet")
    drains_revision: int  # Revision of the fleet drains.


class EndpointDescription(msgspec.Struct, frozen=True, kw_only=True):
    """One endpoint in the body of `GET /v1/describe`."""

    id: str
    address: str
    listed: EndpointStateName  # State in the endpoint list, before drains.
    state: EndpointStateName  # State in the balancer, after drains.
    drained_by: str = msgspec.field(name="drained")  # Drain sources joined by `+`, empty if not drained.
    weight: float = msgspec.field(name="odds")  # Share of the next attempts, 0 to 1.
    slowdown: float  # Ratio of the recent latency to the typical one.
    queue: float  # Requests queued at the endpoint, from its last load report.
    in_flight: int = msgspec.field(name="open")  # Attempts of this sidecar.
    warmup_left_s: float = msgspec.field(name="cold_s")
    idle: int  # Number of idle connections.
    connecting: int  # Attempts that wait for a connection.


class InstanceDescription(msgspec.Struct, frozen=True, kw_only=True):
    """Body of `GET /v1/describe`, which starts with the fields of InstanceState."""

    listen: str
    open_requests: int = msgspec.field(name="open")  # Requests without a final response.
    queueing_ratio: float = msgspec.field(name="strain")  # Range 0 to 1.
    clients: dict[str, int]  # Number of application connections, by state.
    settings: JsonObject  # The platform's settings in force.
    classes: dict[str, dict[str, int]]  # Number of final responses, by request class and outcome.
    endpoints: list[EndpointDescription]
    endpoints_total: int
    file: JsonObject  # The operator's configuration, with the document in force.
    live_keys: list[str]


class ValidateResponse(msgspec.Struct, frozen=True):
    """Body of `POST /v1/validate`."""

    digest: str


class ChangeResult(msgspec.Struct, frozen=True):
    """Whether a request changed the instance. Sent after the fields of InstanceState, in the same object."""

    changed: bool


def json_object(*parts: msgspec.Struct) -> JsonObject:
    """Return the fields of all `parts` as one JSON object, in the order of the parts."""
    merged: JsonObject = {}
    for part in parts:
        merged |= msgspec.to_builtins(part)
    return merged
