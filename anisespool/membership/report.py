"""What the control socket answers to `GET /v1/peers`: membership as this sidecar sees it."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import msgspec

from anisespool.membership.config import NS_PER_MS
from anisespool.membership.local_health import FailedProbes
from anisespool.membership.protocol import MembershipProtocol
from anisespool.membership.state import ProtocolStats

JsonObject = dict[str, Any]


class MembershipReport(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    rename={
        "view_version": "view",
        "dead": "gone",
        "reached_indirectly": "around",
        "unknown": "unheard",
        "alive_min": "low",
        "alive_max": "high",
        "is_isolated": "cut_off",
        "failed_probes": "in_vain",
        "health_score": "health",
    },
):
    """The answer's fields; `rename` maps our names to those on the socket.

    Attributes:
        number: This member's.
        boot: Which start of it.
        incarnation: Of that boot.
        view_version: Counts changes of the view.
        age_ms: Since the view's last change.
        alive: Members by state, here and in the next fields.
        reached_indirectly: Active members that answered their last probe through others alone.
        alive_min: At least so many are alive.
        alive_max: At most so many are.
        is_isolated: This member may be the one that is cut off.
        failed_probes: How many of the last probes failed, and of how many.
        health_score: 0 is healthy.
        stats: Counts of the protocol.
        datagrams: Counts by what became of them.
    """

    number: int
    boot: int
    incarnation: int
    view_version: int
    age_ms: int
    alive: list[int]
    suspect: list[int]
    dead: list[int]
    reached_indirectly: list[int]
    left: list[int]
    unknown: list[int]
    alive_min: int
    alive_max: int
    is_isolated: bool
    failed_probes: FailedProbes
    health_score: int
    stats: ProtocolStats
    datagrams: dict[str, int]


def build_report(protocol: MembershipProtocol, datagrams: dict[str, int], now_ns: int) -> MembershipReport:
    """The state of the protocol at `now` (monotonic, ns), with the transport's counts."""
    view = protocol.view()
    return MembershipReport(
        number=protocol.local.member,
        boot=protocol.local.boot,
        incarnation=protocol.local.incarnation,
        view_version=view.version,
        age_ms=(now_ns - view.changed_at_ns) // NS_PER_MS,
        alive=sorted(view.alive),
        suspect=sorted(view.suspect),
        dead=sorted(view.dead),
        reached_indirectly=sorted(protocol.reached_indirectly & (view.alive | view.suspect)),
        left=sorted(view.left),
        unknown=sorted(view.unknown),
        alive_min=view.alive_min,
        alive_max=view.alive_max,
        is_isolated=view.is_isolated,
        failed_probes=view.failed_probes,
        health_score=view.health_score,
        stats=replace(protocol.stats),
        datagrams=datagrams,
    )


def to_json_object(report: MembershipReport) -> JsonObject:
    """Return the report under the names that it has on the control socket."""
    built: JsonObject = msgspec.to_builtins(report)
    return built
