"""The decision module's interface: its settings, events and actions.

Times are integer nanoseconds. Endpoint and request ids are opaque.
"""

# Modules with named tuples don't use `from __future__ import annotations`. It makes each annotation a string,
# which `typing.NamedTuple` compiles when it builds the class: a large part of this package's import time.

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
    FULL = 2  # the endpoint has rejected the attempt without executing it
    TIMEOUT = 3
    CONNECT_FAILED = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7
    """The attempt was never sent, because its request no longer needed it."""


MAX_OBSERVED_ENDPOINTS = 36  # limit per gossip message: a message has 256 bytes, each observation 7
NOT_EXECUTED = frozenset((AttemptStatus.FULL, AttemptStatus.CONNECT_FAILED, AttemptStatus.MOOT))


class EndpointState(IntEnum):
    """An endpoint's state in the endpoint list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class EndpointListKind(IntEnum):
    """The content of an endpoint list update: a failed call, changes, or a whole list (fresh or cached)."""

    FAILED = 0
    DELTA = 1
    FULL = 2
    CACHED = 3


class EndpointListing(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: int
    weight: float
    cell: int
    machine_type: int
    zone: int
    state: int
    started_ns: int  # start of the process, negative before the clock's zero; 0: long ago


class EndpointListUpdate(NamedTuple):
    """An endpoint list or a delta from discovery, or a failed call to it."""

    version: int
    kind: EndpointListKind
    entries: tuple[EndpointListing, ...] = ()


class RequestArrived(NamedTuple):
    """A client's request has arrived."""

    request: int
    class_index: int
    remaining_ns: int  # time until the client gives up its current attempt
    work_hint_ns: int | None = None  # expected work, as time on a standard core
    key: int = 0  # key for ordering and key affinity; 0: none
    tenant: int = 0  # index into the settings' tenants
    is_retry: bool = False
    is_write: bool = False
    queued_ns: int = 0  # time that it has waited in the sidecar, already taken off `remaining_ns`


class FirstByteReceived(NamedTuple):
    """The first byte of a streamed response has been received."""

    request: int
    endpoint: int
    latency_ns: int
    attempt: int


class AttemptOutcome(NamedTuple):
    """The outcome of an attempt, with the endpoint's load report, if any."""

    request: int
    endpoint: int
    attempt: int
    latency_ns: int
    status: AttemptStatus
    finished: bool  # the client has its response, or no longer waits for one
    load: tuple[float, ...] = ()


class ClientDisconnected(NamedTuple):
    """The client has disconnected."""

    request: int


class TimerExpired(NamedTuple):
    """A timer set by SetTimer has expired."""

    token: int


class HealthCheckResult(NamedTuple):
    """The result of a health check, with the endpoint's load report, if any."""

    endpoint: int
    status: AttemptStatus
    latency_ns: int
    load: tuple[float, ...] = ()


class EndpointObservation(NamedTuple):
    """One sidecar's estimates of an endpoint, sent to another sidecar."""

    endpoint: int
    slowdown: float  # ratio of response times to expected latencies
    queue: float  # queue length in the last load report
    age_ns: int  # time since the last slowdown sample


class GossipReceived(NamedTuple):
    """A gossip message from another sidecar has arrived."""

    sender: int
    queueing_ratio: float = 0.0  # share of their objectives that recent attempts took; 1: all missed
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


class Send(NamedTuple):
    """Start the request's next attempt at an endpoint."""

    request: int
    endpoint: int
    timeout_ns: int = 0  # 0: the client's deadline applies


class Reject(NamedTuple):
    """Give the final answer: not served, and a retry by the client is harmless."""

    request: int
    retry_after_ns: int = 0


class Fail(NamedTuple):
    """Give the final answer: not served, and a retry by the client may have a second effect."""

    request: int


class Cancel(NamedTuple):
    """Cancel an attempt in flight; an AttemptOutcome still follows."""

    request: int
    attempt: int


class SetTimer(NamedTuple):
    """Deliver TimerExpired with this token after a delay."""

    delay_ns: int
    token: int


class Log(NamedTuple):
    """Write a log line."""

    text: str


class Fault(NamedTuple):
    """Report that the decision module failed; for the simulator only."""

    text: str


class FetchEndpointList(NamedTuple):
    """Fetch the whole endpoint list from discovery once."""


class WatchEndpointList(NamedTuple):
    """Start or end the subscription to changes of the endpoint list."""

    active: bool = True


class CloseIdleConnections(NamedTuple):
    """Close the idle connections to an endpoint."""

    endpoint: int


class SendGossip(NamedTuple):
    """Send a gossip message to another sidecar, or to all of them."""

    peer: int  # -1: every peer
    queueing_ratio: float = 0.0
    observations: tuple[EndpointObservation, ...] = ()  # no more than MAX_OBSERVED_ENDPOINTS


class SendHealthCheck(NamedTuple):
    """Check an endpoint's health and request its load report."""

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
