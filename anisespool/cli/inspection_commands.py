"""Commands that show the state of the fleet as the agent reports it.

The docstring of a command is its `--help` text.
"""

from __future__ import annotations

import json
import time

import typer

from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli import change_tables, instance_tables, membership_matrix, output
from anisespool.cli.agent_client import CALL_TIMEOUT_S, connect_to_agent
from anisespool.cli.arguments import AsJson, ConfigPath, Generation, InstancePattern
from anisespool.cli.errors import CommandError, ExitStatus
from anisespool.cli.instance_views import InstanceDescription, MembershipView, parse_view

NO_STATUS = ""  # `Target.standing` of an instance to which the change does not apply
SETTLED_STATUSES = frozenset((RolloutStatus.UP_TO_DATE.value, NO_STATUS))  # nothing left to apply


def list_instances(
    pattern: InstancePattern = "*", config: ConfigPath = None, as_json: AsJson = False
) -> None:
    """List all instances with the state that each last reported."""
    with connect_to_agent(config) as stub:
        instances = list(stub.List(pb.ListRequest(pattern=pattern), timeout=CALL_TIMEOUT_S))
    if as_json:
        for instance in instances:
            reachability = instance_tables.reachability_name(instance.reach)
            output.print_json(output.message_to_dict(instance) | {"reach": reachability})
    else:
        output.console.print(instance_tables.instance_table(instances))
        silent = sum(instance.reach != pb.REACH_ANSWERS for instance in instances)
        output.console.print(f"{len(instances)} instances, {silent} of them unreachable")
    if not instances:
        raise CommandError(ExitStatus.FAILED, f"no instance matches {pattern!r}")


def inspect_instance(name: str, config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Show one instance: its configuration, endpoints with weights, and final responses by class."""
    with connect_to_agent(config) as stub:
        reply = stub.Inspect(pb.InspectRequest(name=name), timeout=CALL_TIMEOUT_S)
    description = json.loads(reply.description_json)
    if as_json:
        output.print_json(description)
    else:
        view = parse_view(description, InstanceDescription, name)
        output.console.print(*instance_tables.instance_details(view))


def show_peers(pattern: InstancePattern = "*", config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Show the state of each member as each instance sees it: a matrix that reveals one-way partitions too.
    Exit 3 while views differ."""
    with connect_to_agent(config) as stub:
        replies = list(stub.Peers(pb.PeersRequest(pattern=pattern), timeout=CALL_TIMEOUT_S))
    answers = {reply.name: json.loads(reply.peers_json) for reply in replies if reply.peers_json}
    views = {name: parse_view(answer, MembershipView, name) for name, answer in answers.items()}
    reasons_without_view = {reply.name: reply.detail for reply in replies if not reply.peers_json}
    if as_json:
        for name, answer in answers.items():
            output.print_json({"name": name} | answer)
        for name, detail in reasons_without_view.items():
            output.print_json({"name": name, "detail": detail})
    else:
        output.console.print(*membership_matrix.render(views, reasons_without_view))
    if len({view.live_members() for view in views.values()}) > 1:
        raise typer.Exit(ExitStatus.PARTIAL)


def show_status(generation: Generation = 0, config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Show a change: which instances have applied it, which have not, and why. Exit 3 while some have not."""
    with connect_to_agent(config) as stub:
        reply = stub.Status(pb.StatusRequest(generation=generation), timeout=CALL_TIMEOUT_S)
    if as_json:
        output.print_json(output.message_to_dict(reply))
    else:
        output.console.print(*change_tables.change_status(reply))
    if any(target.standing not in SETTLED_STATUSES for target in reply.targets):
        raise typer.Exit(ExitStatus.PARTIAL)


def watch_events(config: ConfigPath = None, as_json: AsJson = False) -> None:
    """Print events as they happen, until Ctrl-C."""
    with connect_to_agent(config) as stub:
        try:
            for event in stub.Watch(pb.WatchRequest()):
                if as_json:
                    output.print_json(output.message_to_dict(event))
                else:
                    _print_event(event)
        except KeyboardInterrupt:
            return


def _print_event(event: pb.Event) -> None:
    clock = time.strftime("%H:%M:%S", time.localtime(event.at_ms / output.MS_PER_S))
    output.console.print(f"{clock} {event.kind:8} {event.subject:16} {event.text}", markup=False)
