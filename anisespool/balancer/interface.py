"""The decision module's interface: settings handed over at start, events in, actions out.

Times are integer nanoseconds. Endpoint, request and tenant ids are opaque.
"""

# Modules of named tuples do without `from __future__ import annotations`: each annotation would be a string,
# which `typing.NamedTuple` compiles as it builds the class, and that is a good part of this package's import.

from enum import IntEnum
from typing import NamedTuple, Union

from anisespool.balancer.settings import Settings as Settings
from anisespool.balancer.settings import SettingsError as SettingsError
from anisespool.balancer.settings_types import DedupScope as DedupScope
from anisespool.balancer.settings_types import DiscoveryMode as DiscoveryMode
from anisespool.balancer.settings_types import Idempotency as Idempotency
from anisespool.balancer.settings_types import LoadReportMode as LoadReportMode
from anisespool.balancer.settings_types import RequestClass as RequestClass
from anisespool.balancer.settings_types import Tenant as Tenant


class AttemptStatus(IntEnum):
    """How an attempt ended."""

    ERROR = 0
    OK = 1
    FULL = 2
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7
    """It was not needed any more, and never sent."""


MAX_OBSERVED_ENDPOINTS = 36  # in one message between sidecars, on the wire 7 bytes each of 256
NOT_EXECUTED = frozenset((AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT))


class EndpointState(IntEnum):
    """An endpoint's state in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """What an endpoint list update holds: a failed call, changes, or a whole list (fresh or cached)."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


# Events -------------------------------------------------------------------------------------------


class EndpointListing(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: int
    weight: float
    cell: int
    machine_type: int
    zone: int
    state: int
    started_ns: int  # 0: long ago


class EndpointListUpdate(NamedTuple):
    """An endpoint list, or changes to one, from discovery."""

    version: int
    kind: EndpointListKind
    entries: tuple[EndpointListing, ...] = ()


class RequestArrived(NamedTuple):
    """A client's request."""

    request: int
    class_index: int
    remaining_ns: int  # until the client gives this attempt of its own up
    work_hint_ns: int | None = None  # anticipated work, on a standard core
    key: int = 0
    tenant: int = 0
    is_retry: bool = False
    is_write: bool = False


class FirstByteReceived(NamedTuple):
    """The first byte of a streamed response has been received."""

    request: int
    endpoint: int
    latency_ns: int
    attempt: int


class AttemptOutcome(NamedTuple):
    """The end of an attempt, with the load report that came with it, if any."""

    request: int
    endpoint: int
    attempt: int
    latency_ns: int
    status: AttemptStatus
    finished: bool
    load: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client no longer waits for its response."""

    request: int


class TimerExpired(NamedTuple):
    """A timer that SetTimer started has expired."""

    token: int


class HealthCheckResult(NamedTuple):
    """The result of a health check, with the endpoint's load report."""

    endpoint: int
    status: AttemptStatus
    latency_ns: int
    load: tuple[float, ...] = ()


class EndpointObservation(NamedTuple):
    """An endpoint's estimates at one sidecar, for another."""

    endpoint: int
    slowdown: float  # response times over what their requests usually take
    queue: float
    age_ns: int


class GossipReceived(NamedTuple):
    """A message of another sidecar's balancer."""

    sender: int
    queueing_ratio: float = 0.0  # of recent attempts: 0 as in an idle fleet, 1 all objectives missed
    observations: tuple[EndpointObservation, ...] = ()


Event = Union[
    EndpointListUpdate,
    RequestArrived,
    FirstByteReceived,
    AttemptOutcome,
    ClientDisconnected,
    TimerExpired,
    HealthCheckResult,
    GossipReceived,
]


# Actions ------------------------------------------------------------------------------------------


class Send(NamedTuple):
    """Start the request's next attempt at an endpoint."""

    request: int
    endpoint: int
    timeout_ns: int = 0  # 0: until the client gives up


class Reject(NamedTuple):
    """Final: not served, and a retry is harmless."""

    request: int
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Final: not served; a retry may have a second effect."""

    request: int


class Cancel(NamedTuple):
    """Cancel an attempt in flight; its outcome still follows."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Report TimerExpired with this token after a delay."""

    delay_ns: int
    token: int


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class Fault(NamedTuple):
    """The decision module failed; for the simulator only."""

    text: str


class FetchEndpointList(NamedTuple):
    """Fetch the whole endpoint list from discovery once."""


class WatchEndpointList(NamedTuple):
    """Subscribe to discovery's changes, or stop."""

    active: bool = True


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class SendGossip(NamedTuple):
    """Send a message to another sidecar's balancer."""

    peer: int  # -1: every peer
    queueing_ratio: float = 0.0
    observations: tuple[EndpointObservation, ...] = ()  # at most MAX_OBSERVED_ENDPOINTS: what a message holds


class SendHealthCheck(NamedTuple):
    """Check an endpoint's health, and get its load report."""

    endpoint: int


Action = Union[
    Send,
    Reject,
    Fail,
    Cancel,
    SetTimer,
    Log,
    Fault,
    FetchEndpointList,
    WatchEndpointList,
    CloseIdleConnections,
    SendGossip,
    SendHealthCheck,
]
