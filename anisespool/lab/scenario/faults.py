"""Tables of faults: `Fault` for endpoints, sidecars or the whole run, `Link` for the network."""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from anisespool.lab.scenario.base import Index, NotNegative, Positive, Share, Spec, Zone

Kind = Literal[
    "slow",
    "fail",
    "pause",
    "neighbour",
    "kill",
    "vanish",
    "restart",
    "drain",
    "delay",
    "reset",
    "traffic",
    "stale",
    "wipe",
    "sidecar",
    "cut",
    "quiet",
    "lossy",
    "replace",
    "shift",
    "tenant",
    "sidecars",
    "roll",
    "down",
    "freeze",
    "starve",
    "descriptors",
    "memory",
    "clock",
]

# Kinds that act on single sidecar processes, most of them for a time.
OF_PROCESSES = ("down", "freeze", "starve", "descriptors", "memory", "clock")
# Kinds that choose no endpoints: they affect the whole run, a zone, a tenant or sidecars.
OF_ALL = (
    "traffic",
    "stale",
    "wipe",
    "sidecar",
    "cut",
    "quiet",
    "shift",
    "tenant",
    "sidecars",
    "roll",
    *OF_PROCESSES,
)
OF_A_ZONE = ("cut", "shift")  # kinds that require a zone
KINDS_SIZED_AS_SHARE = ("fail", "neighbour", "lossy")  # kinds whose `size` is a share up to 1


class Fault(Spec, frozen=True, kw_only=True):
    """A fault that affects some endpoints, some sidecars or the whole run for a while.

    Attributes:
        at_s: Start of the fault, in scenario time.
        endpoints: Indexes of the affected endpoints; if empty, a random share (`part`) is drawn.
        sidecars: Likewise the indexes of the affected sidecars, for faults of processes.
        part: Share of the endpoints or sidecars that is affected if none are listed.
        zone: Affected zone. All its endpoints or sidecars are affected, regardless of `part`.
        size: Factor for slow, delay and stale; share for fail, neighbour and lossy. Factor of the request
            rate for traffic (all clients), shift (one zone, while the others get less) and tenant (one
            tenant). For descriptors and memory: how many descriptors, or MB, the process may use beyond its
            use at that time.
        jump_s: Step of the wall clock for the kind clock; negative: backwards.
        spread_s: Time over which the targets are affected one after another; 0: all at once.
    """

    kind: Kind
    at_s: NotNegative
    for_s: NotNegative = 0.0
    endpoints: list[int] = msgspec.field(default_factory=list)
    sidecars: list[int] = msgspec.field(default_factory=list)
    part: Share = 0.1
    zone: Zone | None = None
    size: Positive = 2.0
    jump_s: float = 0.0
    tenant: Index = 0
    spread_s: NotNegative = 0.0


class Link(Spec, frozen=True, kw_only=True, rename={"from_": "from"}):
    """A fault of the network from the nodes of one side to those of the other (docs/fleetrig.md: sides).

    Attributes:
        from_: Selector of the sending nodes.
        to: Selector of the receiving nodes.
        both: Whether the opposite direction is affected too.
        carries: Affected traffic; talk: datagrams between sidecars.
        loss: Share of messages lost; on TCP they are delayed until their retransmission.
        burst: Mean number of messages lost in a row.
        spread_ms: Upper bound of an additional delay, drawn uniformly from 0.
        duplicate: Share of datagrams duplicated.
        reorder: Share of datagrams that are delayed, so that later ones overtake them.
        corrupt: Share of datagrams in which a bit is flipped.
        flap_s: Period of flapping: the fault is in effect for the first half of each period.
    """

    at_s: NotNegative
    for_s: Positive
    from_: str = "all"
    to: str = "all"
    both: bool = False
    carries: Literal["all", "requests", "lists", "talk"] = "all"
    cut: Literal["", "silent", "refused", "reset"] = ""
    loss: Share = 0.0
    burst: Annotated[float, Meta(ge=1, le=1000)] = 1.0
    delay_ms: NotNegative = 0.0
    spread_ms: NotNegative = 0.0
    duplicate: Share = 0.0
    reorder: Share = 0.0
    corrupt: Share = 0.0
    rate_kb_s: Positive | None = None
    flap_s: Positive | None = None
