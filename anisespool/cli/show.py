"""Tables and progress for people; the same as JSON for scripts."""

from __future__ import annotations

import json
import time
from collections.abc import Iterable
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from anisespool.agent.v1 import agent_pb2 as pb

COLOURS = {
    "has": "green", "serving": "green", "settled": "green", "ready": "green", "answers": "green",
    "sent": "cyan", "running": "cyan", "lacks": "yellow", "draining": "yellow", "paused": "yellow",
    "refused": "red", "unreachable": "red", "silent": "red", "gone": "red", "strange": "red",
    "ahead": "magenta", "aborted": "magenta", "superseded": "dim",
}  # fmt: skip
STANDINGS = ("has", "sent", "lacks", "refused", "unreachable", "ahead")

out = Console(soft_wrap=False)


def as_dict(message: Any) -> dict[str, Any]:
    """A message with the proto's own names, and its defaults. Not protobuf's own JSON, which makes text of
    64-bit numbers."""
    made: dict[str, Any] = {}
    for field in message.DESCRIPTOR.fields:
        value = getattr(message, field.name)
        if field.is_repeated:
            made[field.name] = [as_dict(item) if field.message_type else item for item in value]
        elif field.message_type:
            made[field.name] = as_dict(value) if message.HasField(field.name) else None
        else:
            made[field.name] = value
    return made


def print_json(value: Any) -> None:
    print(json.dumps(value), flush=True)


def word(value: str) -> Text:
    return Text(value, style=COLOURS.get(value, ""))


def reach(value: int) -> str:
    return pb.Reach.Name(value).removeprefix("REACH_").lower()


def span(ms: float) -> str:
    seconds = ms / 1000
    for size, unit in ((86400, "d"), (3600, "h"), (60, "min")):
        if seconds >= size:
            return f"{seconds / size:.1f} {unit}"
    return f"{seconds:.1f} s"


def table(title: str, *columns: str) -> Table:
    made = Table(title=title, title_justify="left", header_style="bold")
    for column in columns:
        right = column in ("open", "odds", "queue", "slow", "served", "refused", "failed", "gone", "idle")
        made.add_column(column, justify="right" if right else "left", overflow="fold")
    return made


def instances(rows: Iterable[pb.Instance]) -> Table:
    made = table("Instances", "name", "reached", "phase", "up", "generation", "change", "drained", "detail")
    for row in rows:
        reached = reach(row.reach)
        up = span(row.uptime_ms) if row.uptime_ms else ""
        detail = f"{row.detail}, silent for {span(row.silent_ms)}" if row.detail else ""
        generation = f"{row.generation} {row.digest[:8]}" if row.digest else ""
        drained = ", ".join(row.drained)
        made.add_row(
            row.name, word(reached), word(row.phase), up, generation, word(row.standing), drained, detail
        )
    return made


def description(data: dict[str, Any]) -> list[Table]:
    """One instance."""
    facts = table(f"Instance {data['name']}", "what", "is")
    for key in ("phase", "build", "pid", "listen", "generation", "digest", "uptime_s", "open", "strain"):
        facts.add_row(key, word(str(data.get(key, ""))))
    clients = data.get("clients", {})
    facts.add_row("clients", f"{clients.get('open', 0)} connections, {clients.get('working', 0)} working")
    endpoints = table(
        f"Endpoints ({data['endpoints_total']})",
        "id", "address", "state", "drained by", "odds", "slow", "queue", "open", "idle", "cold",
    )  # fmt: skip
    for row in data["endpoints"]:
        cold = f"{row['cold_s']:g} s" if row["cold_s"] else ""
        figures = (f"{100 * row['odds']:.1f} %", f"{row['slowdown']:.2f}", f"{row['queue']:g}")
        counts = (str(row["open"]), str(row["idle"]))
        endpoints.add_row(
            row["id"], row["address"], word(row["state"]), row["drained"], *figures, *counts, cold
        )
    classes = table("Answers since its start", "class", "served", "refused", "failed", "gone")
    for name, counted in data["classes"].items():
        classes.add_row(name, *(str(counted[key]) for key in ("served", "refused", "failed", "gone")))
    return [facts, endpoints, classes]


def progress_line(progress: pb.Progress) -> str:
    counts = ", ".join(f"{getattr(progress, key)} {key}" for key in STANDINGS if getattr(progress, key))
    name = f"generation {progress.generation}: " if progress.generation else ""
    text = f"{name}{progress.state}, of {progress.total}: {counts or 'none'}"
    return text + (f" ({progress.reason})" if progress.reason else "")


def bar(progress: pb.Progress, width: int = 40) -> Text:
    """Each instance's standing as a share of one line."""
    text = Text()
    if progress.total:
        for key in STANDINGS:
            part = round(width * getattr(progress, key) / progress.total)
            text.append("█" * part, style=COLOURS[key])
    text.append("  " + progress_line(progress))
    return text


def follow(stream: Iterable[pb.Progress], as_json: bool) -> pb.Progress:
    """Show a change as it spreads; the last of it."""
    last = pb.Progress()
    if as_json or not out.is_terminal:
        for last in stream:
            if as_json:
                print_json(as_dict(last))
        if not as_json:
            out.print(progress_line(last))
    else:
        with Live(console=out, refresh_per_second=10) as live:
            for last in stream:
                live.update(bar(last))
    if not as_json:
        for line in last.trouble:
            out.print(f"  {line}", style="yellow", markup=False)
    return last


def status(reply: pb.StatusReply) -> list[Any]:
    """One change and its targets."""
    shown: list[Any] = []
    if reply.HasField("progress"):
        shown.append(bar(reply.progress))
    if reply.HasField("change"):
        targets = table("Who has it", "name", "standing", "detail")
        for target in reply.targets:
            targets.add_row(target.name, word(target.standing), target.detail)
        shown.append(targets)
    changes = table("Changes", "generation", "state", "by", "when", "note")
    for change in reply.history:
        when = time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(change.created_ms / 1000))
        note = change.note + (f" ({change.reason})" if change.reason else "")
        changes.add_row(str(change.generation), word(change.state), change.author, when, note)
    shown.append(changes)
    if reply.drains:
        shown.append(Text("drained everywhere: " + ", ".join(reply.drains), style="yellow"))
    if reply.store != "ok":
        shown.append(Text(f"the agent's store can't be written: {reply.store}", style="red"))
    return shown
