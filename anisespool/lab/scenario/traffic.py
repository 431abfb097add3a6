"""Tables of the clients' requests: request classes, traffic, bursts, retries, tenants and prices."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from anisespool.lab.scenario.base import Count, Index, NotNegative, Positive, Range, Share, Spec


class Class(Spec, frozen=True, kw_only=True):
    """A request class.

    Attributes:
        share: Share of the traffic, relative to the other classes.
        effect: Whether a request may be executed more than once: always, with its key, or never.
        target_ms: Latency objective.
        priority_weight: Weight of a request in the metric `service`.
        work_ms: Mean work of a request, in ms at a speed of 1.
        work: Distribution of the work.
        cv: Coefficient of variation of lognormal work.
    """

    name: str
    share: Positive = 1.0
    effect: Literal["repeatable", "by_key", "once"] = "once"
    target_ms: Positive = 400.0
    deadline_ms: Positive = 1000.0
    priority_weight: Positive = msgspec.field(default=1.0, name="worth")
    work_ms: Positive = 20.0
    work: Literal["alike", "exponential", "lognormal"] = "alike"
    cv: Positive = 1.0


class Traffic(Spec, frozen=True, kw_only=True):
    """Arrivals of client requests outside bursts. They are open loop: outcomes do not change them.

    Attributes:
        per_s: Requests per second at all sidecars together.
        arrivals: Whether gaps between arrivals are exponential (poisson) or equal (steady).
        until_per_s: Requests per second at the end, to which the rate changes linearly; None: constant.
        uneven: 0: sidecars get equal shares; 1: shares fall linearly from the first sidecar to almost none.
        zone_skew: 0: sidecars of all zones get equal shares; 1: shares fall linearly from twice the mean in
            the first zone to nothing in the last.
    """

    per_s: NotNegative = 100.0
    arrivals: Literal["poisson", "steady"] = "poisson"
    until_per_s: NotNegative | None = None
    uneven: Share = 0.0
    zone_skew: Share = 0.0


class Burst(Spec, frozen=True, kw_only=True):
    """Requests that arrive together, in addition to the traffic.

    Attributes:
        count: Requests of each burst, at all sidecars together.
        over_ms: Time over which the requests arrive at random.
        every_s: Interval at which the burst is repeated until the end; None: not repeated.
        cls: Index of the request class.
    """

    at_s: NotNegative
    count: Count
    over_ms: NotNegative = 0.0
    every_s: Positive | None = None
    cls: Index = 0


class Clients(Spec, frozen=True, kw_only=True):
    """How clients retry and give up.

    Attributes:
        max_attempts: Maximum number of times that a client sends a request: again after a rejection, and
            after a failure if the request is idempotent.
        backoff_ms: Wait before a retry without a Retry-After.
        honour: Share of client requests whose client waits for the time in a Retry-After.
        gives_up: Range from which the time until a client gives up is drawn, as a share of the deadline.
    """

    max_attempts: Annotated[int, Meta(ge=1, le=10)] = msgspec.field(default=1, name="tries")
    backoff_ms: NotNegative = 50.0
    honour: Share = 1.0
    gives_up: Range = (1.0, 1.0)


class Tenant(Spec, frozen=True, kw_only=True):
    """A tenant. The weight of its requests beyond its quota is multiplied by `over_share_worth`.

    Attributes:
        share: Share of the sum of all quotas (`quota_of_capacity`).
        usage: Factor of the tenant's traffic, relative to its share.
    """

    name: str
    share: Annotated[float, Meta(gt=0, le=1)]
    usage: Positive = 1.0


class Prices(Spec, frozen=True, kw_only=True):
    """Prices that are subtracted from the net figure, each multiplied by a ratio.

    Attributes:
        cross_zone: Price of attempts that cross zones, per client request.
        handshake: Price of connections opened, per client request.
        late_fail: Price of the weight that ended after its latency objective, per weight requested.
        list_line: Price of 100 entries of endpoint lists, per client request.
    """

    cross_zone: NotNegative = 0.0
    handshake: NotNegative = 0.0
    late_fail: NotNegative = 0.0
    list_line: NotNegative = 0.0
