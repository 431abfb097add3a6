"""Tables of all instances, and of one, as the agent reports them."""

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
OUTCOMES = ("served", "refused", "failed", "gone")  # keys of a request class's counts


class Fact(NamedTuple):
    """A property of an instance.

    Attributes:
        name: As on the control socket.
        value: As reported; None: not reported.
    """

    name: str
    value: str | int | float | None


class ClassCounts(NamedTuple):
    """The name of a request class, and its final responses by outcome."""

    request_class: str
    counts: dict[str, int]


def reachability_name(value: int) -> str:
    """Return agent.proto's `Reach` as tables and JSON name it, such as `answers`."""
    return pb.Reach.Name(value).removeprefix("REACH_").lower()


def instance_table(instances: Iterable[pb.Instance]) -> Table:
    """Return a row for each instance."""
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
    """Return the tables of one instance."""
    endpoints_title = f"Endpoints ({description.endpoints_total})"
    return [
        build_table(f"Instance {description.name}", FACT_COLUMNS, _facts(description)),
        build_table(endpoints_title, ENDPOINT_COLUMNS, description.endpoints),
        build_table(
            "Final responses since its start",
            OUTCOME_COLUMNS,
            starmap(ClassCounts, description.classes.items()),
        ),
    ]


def _facts(description: InstanceDescription) -> list[Fact]:
    clients = description.clients
    return [
        Fact("phase", description.phase),
        Fact("build", description.build),
        Fact("pid", description.pid),
        Fact("listen", description.listen),
        Fact("generation", description.generation),
        Fact("digest", description.digest),
        Fact("uptime_s", description.uptime_s),
        Fact("open", description.open_requests),
        Fact("strain", description.queueing_ratio),
        Fact("clients", f"{clients.open} connections, {clients.working} working"),
    ]


def _fact_value(fact: Fact) -> Text:
    return styled_state("" if fact.value is None else str(fact.value))


FACT_COLUMNS: list[Column[Fact]] = [
    Column("property", lambda fact: fact.name),
    Column("value", _fact_value),
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
