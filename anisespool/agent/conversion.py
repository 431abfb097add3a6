"""Conversion between the agent's types and the messages of agent.proto."""

from __future__ import annotations

import time

from anisespool.agent.control_client import ControlClient, Reachability
from anisespool.agent.desired_state import Change, DrainSet
from anisespool.agent.fleet_status import StatusSummary
from anisespool.agent.rollout.state import RolloutAction
from anisespool.agent.rollout.status import RolloutStatus
from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.agent.wall_clock import MS_PER_S

MAX_PROBLEM_INSTANCES = 8  # limit of the instances named in a drain's progress
REACHABILITY_MESSAGES = {
    Reachability.UNKNOWN: pb.REACH_UNSPECIFIED,
    Reachability.REACHABLE: pb.REACH_ANSWERS,
    Reachability.UNRESPONSIVE: pb.REACH_SILENT,
    Reachability.NOT_LISTENING: pb.REACH_GONE,
    Reachability.PROTOCOL_ERROR: pb.REACH_STRANGE,
}
ACTIONS = {
    pb.DEED_PAUSE: RolloutAction.PAUSE,
    pb.DEED_RESUME: RolloutAction.RESUME,
    pb.DEED_ABORT: RolloutAction.ABORT,
}


def instance_message(client: ControlClient, status: RolloutStatus | None) -> pb.Instance:
    """Return the message about an instance: its last report, and its status for the newest change."""
    message = pb.Instance(
        name=client.name,
        reach=REACHABILITY_MESSAGES[client.reachability],
        detail=client.detail,
        silent_ms=int((time.monotonic() - client.last_report_at) * MS_PER_S),
        standing=status.value if status else "",
    )
    if state := client.state:
        message.build = state.build
        message.pid = state.pid
        message.boot = state.boot
        message.uptime_ms = int(state.uptime_s * MS_PER_S)
        message.phase = state.phase
        message.generation = state.generation
        message.digest = state.digest
        message.drains_revision = state.drains_revision
        message.drained.extend(state.drained)
    return message


def change_message(change: Change) -> pb.Change:
    """Return the message about a change, including its content."""
    return pb.Change(
        generation=change.generation,
        base=change.base,
        digest=change.digest,
        state=change.state.value,
        reason=change.reason,
        author=change.author,
        note=change.note,
        created_ms=change.created_ms,
        content_json=change.content,
    )


def target_message(name: str, status: RolloutStatus | None, detail: str = "") -> pb.Target:
    """Return the message about the status of one instance for one change."""
    return pb.Target(name=name, standing=status.value if status else "", detail=detail)


def progress_message(change: Change, summary: StatusSummary) -> pb.Progress:
    """Return the progress of a rollout. Each value of RolloutStatus is the name of a count field."""
    counts = {status.value: count for status, count in summary.by_status.items()}
    return pb.Progress(
        generation=change.generation,
        state=change.state.value,
        reason=change.reason,
        total=summary.total,
        trouble=summary.problems,
        **counts,
    )


def drain_progress_message(targets: list[ControlClient], revision: int, drains: DrainSet) -> pb.DrainProgress:
    """Return the progress of a drain: how many of `targets` have applied this revision or a later one."""
    reachable = [client for client in targets if client.is_reachable]
    unreachable = [client for client in targets if not client.is_reachable]
    applied = sum(
        client.state is not None and client.state.drains_revision >= revision for client in reachable
    )
    return pb.DrainProgress(
        revision=revision,
        total=len(targets),
        told=applied,
        unreachable=len(unreachable),
        drains=drains.endpoints,
        settled=applied == len(reachable),
        trouble=[f"{client.name}: {client.detail}" for client in unreachable[:MAX_PROBLEM_INSTANCES]],
    )
