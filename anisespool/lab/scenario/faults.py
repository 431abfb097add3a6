"""Tables of what goes wrong: faults of endpoints, sidecars and the whole run, and faults of links."""

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

# Kinds that hit single sidecars' processes.
OF_PROCESSES = ("down", "freeze", "starve", "descriptors", "memory", "clock")
# Kinds that hit no single endpoint.
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
OF_A_ZONE = ("cut", "shift")  # kinds that need a zone
KINDS_SIZED_AS_SHARE = ("fail", "neighbour", "lossy")  # kinds whose size is a share


class Fault(Spec, frozen=True, kw_only=True):
    """Something that goes wrong at a moment, for a while, with some of the endpoints or sidecars.

    Attributes:
        endpoints: By number from 0; if none is named, a `part` of them is drawn from the seed.
        sidecars: The same, for faults of processes.
        zone: Hits all of that zone in place of a part.
        size: Of slow and delay a factor; of fail, neighbour and lossy a share; of traffic, shift and tenant
            the factor of the rate (of all; of one zone, the others have less by as much; of one tenant); of
            descriptors and memory how many, or how many MB, it may have beyond what it has then.
        jump_s: Of clock: how far the wall clock jumps, either way.
        tenant: Index of the tenant.
        spread_s: Time over which they are hit one after another, not all at once.
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
    """What is wrong on the way from one side to the other, for a while (docs/fleetrig.md has the sides).

    Attributes:
        both: Applies to the way back as well.
        loss: Share of messages; on TCP each costs the wait until it is sent again.
        burst: Messages lost in a row, in the mean.
        spread_ms: Beside the delay, drawn evenly from none to this.
        duplicate: Share of datagrams.
        reorder: Share of datagrams that are held back past those that come next.
        corrupt: Share of datagrams in which a bit is flipped.
        flap_s: Period: on for half of it, off for the other half.
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
