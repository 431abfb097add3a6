"""Tables of the fleet: endpoints, network, load reports, discovery and the platform's rules."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from anisespool.lab.scenario.base import Count, NotNegative, Positive, Range, Share, Spec, Zone

Columns = list[Literal["queue", "inflight"]]


class Endpoints(Spec, frozen=True, kw_only=True):
    """A group of equal endpoints.

    Attributes:
        cores: Number of requests executed at a time.
        speed: Work that each core does per second.
        speed_spread: Largest relative deviation of the speed, which is drawn for each endpoint.
        waiting: Capacity of the queue. Further requests are rejected, not executed.
        connections: Limit of open connections. Further ones are refused.
        cancel: Which requests the endpoint cancels when the sidecar closes their connection.
    """

    count: Count = 1
    cores: Annotated[int, Meta(ge=1, le=1024)] = 3
    speed: Positive = 1.0
    speed_spread: Share = 0.0
    waiting: Annotated[int, Meta(ge=0, le=100_000)] = 60
    connections: Annotated[int, Meta(ge=1)] = 100_000
    zone: Zone = 0
    cancel: Literal["none", "queued", "all"] = "queued"


class Network(Spec, frozen=True, kw_only=True):
    """One-way delays between sidecars and endpoints, drawn for each message.

    Attributes:
        same_ms: Mean delay within a zone.
        cross_ms: Mean delay between zones.
        spread: Largest relative deviation from the mean.
        handshake_trips: Round trips until a connection is open.
        handshake_work_ms: Work of the endpoint for each new connection.
    """

    same_ms: NotNegative = 0.3
    cross_ms: NotNegative = 2.0
    spread: Share = 0.0
    handshake_trips: Annotated[int, Meta(ge=0, le=10)] = 1
    handshake_work_ms: NotNegative = 0.0
    connect_timeout_ms: Positive = 250.0


class Reports(Spec, frozen=True, kw_only=True):
    """Load reports that responses carry.

    Attributes:
        every_ms: Range from which the time is drawn for which an endpoint repeats a report.
    """

    columns: Columns = msgspec.field(default_factory=lambda: ["queue", "inflight"])
    every_ms: Range = (370.0, 1400.0)


class Membership(Spec, frozen=True, kw_only=True):
    """Discovery: how endpoint lists reach sidecars.

    Attributes:
        delay_s: Range from which the delay of each change is drawn for each sidecar.
        weights: Weights in the list: cores times the group's speed (nominal), or all equal (none).
    """

    delay_s: Range = (0.1, 0.2)
    weights: Literal["nominal", "none"] = "nominal"


class Rules(Spec, frozen=True, kw_only=True):
    """Guarantees and limits of the platform.

    Attributes:
        cold_s: Duration of an endpoint's warm-up.
        start_capacity: Share of its full capacity that an endpoint has when it starts.
        fall_multiple: Work that overloads a warming endpoint, in multiples of its current capacity.
        fall_ms: Window over which that work is counted.
        attempts: Maximum number of attempts of a request at endpoints.
        longest_return_ms: Longest Retry-After; 0: rejections have none.
    """

    drain_grace_ms: Positive = 250.0
    cold_s: Positive = 23.0
    start_capacity: Share = 0.15
    fall_multiple: Positive = 3.0
    fall_ms: Positive = 1500.0
    attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    longest_return_ms: NotNegative = 1500.0
