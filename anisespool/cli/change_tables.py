"""Tables of a change, its target instances, and the change history."""

from __future__ import annotations

import time

from rich.console import RenderableType
from rich.text import Text

from anisespool.agent.v1 import agent_pb2 as pb
from anisespool.cli.output import MS_PER_S, styled_state
from anisespool.cli.rollout_progress import progress_bar
from anisespool.cli.tables import Column, build_table

STORE_WRITABLE = "ok"  # value of `StatusReply.store` if there is no error


def change_status(reply: pb.StatusReply) -> list[RenderableType]:
    """Return the parts to print: a change's progress and targets, the history, drains and any store error."""
    parts: list[RenderableType] = []
    if reply.HasField("progress"):
        parts.append(progress_bar(reply.progress))
    if reply.HasField("change"):
        parts.append(build_table("Instances", TARGET_COLUMNS, reply.targets))
    parts.append(build_table("Changes", CHANGE_COLUMNS, reply.history))
    if reply.drains:
        parts.append(Text("drained at all instances: " + ", ".join(reply.drains), style="yellow"))
    if reply.store != STORE_WRITABLE:
        parts.append(Text(f"the agent's store can't be written: {reply.store}", style="red"))
    return parts


def _created_at(change: pb.Change) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(change.created_ms / MS_PER_S))


def _note_and_reason(change: pb.Change) -> str:
    return change.note + (f" ({change.reason})" if change.reason else "")


TARGET_COLUMNS: list[Column[pb.Target]] = [
    Column("name", lambda target: target.name),
    Column("state", lambda target: styled_state(target.standing)),
    Column("detail", lambda target: target.detail),
]
CHANGE_COLUMNS: list[Column[pb.Change]] = [
    Column("generation", lambda change: str(change.generation)),
    Column("state", lambda change: styled_state(change.state)),
    Column("by", lambda change: change.author),
    Column("when", _created_at),
    Column("note", _note_and_reason),
]
