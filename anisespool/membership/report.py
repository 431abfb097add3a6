"""The control socket's response to `GET /v1/peers`: this sidecar's view, protocol and datagram counters."""

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
    """Fields of the response; `rename` maps these names to the keys on the socket.

    Members are given by number.

    Attributes:
        number: This member's number in the fleet.
        view_version: Number that is incremented with each change of the view.
        age_ms: Time since the last change of the view.
        reached_indirectly: Live or suspect members last acknowledged only through helpers.
        left: Members that announced their shutdown.
        unknown: Members without any update so far.
        alive_min: Lower bound on the number of live members.
        alive_max: Upper bound on the number of live members.
        is_isolated: Whether this member may itself be cut off from the others.
        failed_probes: Failures among this member's last probes.
        health_score: This member's health score; 0 is healthy.
        datagrams: Datagram counters by name (`TransportCounter`, `InvalidReason`).
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
    """Return the present state of a protocol and the transport's counters.

    Args:
        datagrams: Counters by their names on the control socket.
        now_ns: Monotonic time.
    """
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
    """Return the report with its keys on the control socket."""
    built: JsonObject = msgspec.to_builtins(report)
    return built
