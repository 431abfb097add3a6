"""Table of all instances, and tables of a single one, from the agent's reports."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import starmap
from typing import NamedTuple

from rich.table import Table
from rich.text import Text

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli.instance_views import EndpointDescription, InstanceDescription
from anisespool.cli.output import format_duration, styled_state
from anisespool.cli.tables import Column, build_table

DIGEST_PREFIX_CHARACTERS = 8
OUTCOMES = ("served", "refused", "failed", "gone")  # keys of the counts of a request class


class InstanceProperty(NamedTuple):
    """A property of an instance.

    Attributes:
        name: Key of the property on the control socket.
        value: Reported value; None if it was not reported.
    """

    name: str
    value: str | int | float | None


class ClassCounts(NamedTuple):
    """Name of a request class, and the numbers of its final responses by outcome."""

    request_class: str
    counts: dict[str, int]


def reachability_name(value: int) -> str:
    """Return the name of a value of agent.proto's `Reach` in tables and JSON, such as `answers`."""
    return pb.Reach.Name(value).removeprefix("REACH_").lower()


def instance_table(instances: Iterable[pb.Instance]) -> Table:
    """Return a table with a row for each instance."""
    return build_table("Instances", INSTANCE_COLUMNS, instances)


def _uptime(instance: pb.Instance) -> str:
    return format_duration(instance.uptime_ms) if instance.uptime_ms else ""


def _applied_generation(instance: pb.Instance) -> str:
    if not instance.digest:
        return ""
    return f"{instance.generation} {instance.digest[:DIGEST_PREFIX_CHARACTERS]}"


def _unreachable_detail(instance: pb.Instance) -> str:
    if not instance.detail:
        return ""
    return f"{instance.detail}, silent for {format_duration(instance.silent_ms)}"


INSTANCE_COLUMNS: list[Column[pb.Instance]] = [
    Column("name", lambda instance: instance.name),
    Column("reached", lambda instance: styled_state(reachability_name(instance.reach))),
    Column("phase", lambda instance: styled_state(instance.phase)),
    Column("up", _uptime),
    Column("generation", _applied_generation),
    Column("change", lambda instance: styled_state(instance.standing)),
    Column("drained", lambda instance: ", ".join(instance.drained)),
    Column("detail", _unreachable_detail),
]


def instance_details(description: InstanceDescription) -> list[Table]:
    """Return tables of an instance's properties, endpoints and final responses."""
    endpoints_title = f"Endpoints ({description.endpoints_total})"
    return [
        build_table(f"Instance {description.name}", PROPERTY_COLUMNS, _properties(description)),
        build_table(endpoints_title, ENDPOINT_COLUMNS, description.endpoints),
        build_table(
            "Final responses since its start",
            OUTCOME_COLUMNS,
            starmap(ClassCounts, description.classes.items()),
        ),
    ]


def _properties(description: InstanceDescription) -> list[InstanceProperty]:
    clients = description.clients
    return [
        InstanceProperty("phase", description.phase),
        InstanceProperty("build", description.build),
        InstanceProperty("pid", description.pid),
        InstanceProperty("listen", description.listen),
        InstanceProperty("generation", description.generation),
        InstanceProperty("digest", description.digest),
        InstanceProperty("uptime_s", description.uptime_s),
        InstanceProperty("open", description.open_requests),
        InstanceProperty("strain", description.queueing_ratio),
        InstanceProperty("clients", f"{clients.open} connections, {clients.working} working"),
    ]


def _property_value(prop: InstanceProperty) -> Text:
    return styled_state("" if prop.value is None else str(prop.value))


PROPERTY_COLUMNS: list[Column[InstanceProperty]] = [
    Column("property", lambda prop: prop.name),
    Column("value", _property_value),
]
ENDPOINT_COLUMNS: list[Column[EndpointDescription]] = [
    Column("id", lambda endpoint: endpoint.id),
    Column("address", lambda endpoint: endpoint.address),
    Column("state", lambda endpoint: styled_state(endpoint.state)),
    Column("drained by", lambda endpoint: endpoint.drained_by),
    Column("weight", lambda endpoint: f"{100 * endpoint.weight:.1f} %", "right"),
    Column("slowdown", lambda endpoint: f"{endpoint.slowdown:.2f}", "right"),
    Column("queue", lambda endpoint: f"{endpoint.queue:g}", "right"),
    Column("open", lambda endpoint: str(endpoint.in_flight), "right"),
    Column("idle", lambda endpoint: str(endpoint.idle), "right"),
    Column("warming up", lambda endpoint: f"{endpoint.warmup_left_s:g} s" if endpoint.warmup_left_s else ""),
]


def _outcome_column(outcome: str) -> Column[ClassCounts]:
    return Column(outcome, lambda row: str(row.counts[outcome]), "right")


OUTCOME_COLUMNS: list[Column[ClassCounts]] = [
    Column("class", lambda row: row.request_class),
    *map(_outcome_column, OUTCOMES),
]
