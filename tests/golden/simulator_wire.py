"""Codec of the simulator's binary protocol, and a client of the decision program that speaks it.

The platform fixes the protocol, so this module uses none of the program's code. It starts the command `sim`
of deploy/balancer.toml, and exchanges bytes with it.
"""

from __future__ import annotations

import shlex
import struct
import subprocess
import sys
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import IO, Any, cast

ROOT = Path(__file__).parents[2]
RECORD_HEAD = struct.Struct("<HI")
"""Code and instance."""
ENTRY = struct.Struct("<IfHHHBQ")
GONE, READY, DRAINING = range(3)
FAILED_LIST, DELTA_LIST, FULL_LIST, CACHED_LIST = range(4)
ERROR, OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(8)

# Code of each event, and its fields after code and instance. Content of variable length follows the fields.
EVENTS = {
    "Boot": (1000, struct.Struct("<QI")),
    "RosterChange": (1010, struct.Struct("<QBI")),
    "Arrival": (1020, struct.Struct("<QQQQHHB")),
    "AckFirst": (1030, struct.Struct("<QIQH")),
    "Answer": (1040, struct.Struct("<QIHQBB")),
    "ClientGone": (1050, struct.Struct("<Q")),
    "Wakeup": (1060, struct.Struct("<I")),
    "ProbeResult": (1070, struct.Struct("<BIQ")),
    "FromPeer": (1080, struct.Struct("<HH")),
    "Down": (1090, struct.Struct("<")),
}
# Name of each action by its code, and its fields after code and instance.
ACTIONS = {
    1000: ("Lose", struct.Struct("<Q")),
    1010: ("Remind", struct.Struct("<QI")),
    1020: ("Broken", struct.Struct("<H")),
    1030: ("AbortAttempt", struct.Struct("<QH")),
    1040: ("Fetch", struct.Struct("<")),
    1050: ("WriteLog", struct.Struct("<H")),
    1060: ("Close", struct.Struct("<I")),
    1070: ("StreamChanges", struct.Struct("<B")),
    1080: ("Reject", struct.Struct("<QQ")),
    1090: ("Relay", struct.Struct("<QIQ")),
    1100: ("Signal", struct.Struct("<IH")),
    1110: ("HealthCheck", struct.Struct("<I")),
}
WITH_TEXT = {"Broken", "WriteLog"}
"""Actions with a text for people, which may change; the action itself may not."""
WITH_CONTENT = WITH_TEXT | {"Signal"}
"""Actions whose last field is the length of the bytes that follow."""


@dataclass(frozen=True)
class Action:
    """One action of a reply: its name, its instance, and its values in order."""

    name: str
    instance: int
    values: tuple[Any, ...]

    def canonical(self) -> str:
        """Return the text that is hashed, which has no texts for people."""
        values = () if self.name in WITH_TEXT else self.values
        texts = [value.hex() if isinstance(value, bytes) else str(value) for value in values]
        return " ".join([self.name, str(self.instance), *texts])


def encode_event(name: str, instance: int, *values: int, content: bytes = b"") -> bytes:
    """Encode an event as a record."""
    code, layout = EVENTS[name]
    return RECORD_HEAD.pack(code, instance) + layout.pack(*values) + content


def encode_list(number: int, entries: dict[int, tuple[float, ...]]) -> bytes:
    """Encode a numbered endpoint list as a record (`SnapshotRows`, code 1100)."""
    rows = [ENTRY.pack(endpoint, *entry) for endpoint, entry in entries.items()]
    return struct.pack("<HII", 1100, number, len(rows)) + b"".join(rows)


def encode_batch(now: int, records: list[bytes]) -> bytes:
    """Encode a batch with its header."""
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), len(body) + 8, now) + body


def decode_actions(body: bytes) -> Iterator[Action]:
    """Yield the actions of a reply."""
    position = 0
    while position < len(body):
        code, instance = RECORD_HEAD.unpack_from(body, position)
        position += RECORD_HEAD.size
        name, layout = ACTIONS[code]
        values: tuple[Any, ...] = layout.unpack_from(body, position)
        position += layout.size
        if name in WITH_CONTENT:
            size = values[-1]
            values = (*values[:-1], body[position : position + size])
            position += size
        yield Action(name, instance, values)


def simulator_command(root: Path = ROOT) -> list[str]:
    """Return the command `sim` of a checkout's deploy/balancer.toml, to run with this interpreter."""
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    words = shlex.split(deploy["sim"].removeprefix("exec "))
    return [sys.executable, *words[1:]]


class DecisionProgram:
    """The running decision program of a checkout, which answers each batch with its actions."""

    def __init__(self, root: Path = ROOT) -> None:
        pipe = subprocess.PIPE
        self._process = subprocess.Popen(simulator_command(root), cwd=root, stdin=pipe, stdout=pipe)

    def exchange(self, now: int, records: list[bytes]) -> list[Action]:
        """Send one batch, and return the actions of its reply."""
        writer = cast(IO[bytes], self._process.stdin)
        reader = cast(IO[bytes], self._process.stdout)
        writer.write(encode_batch(now, records))
        writer.flush()
        count, size = struct.unpack("<II", reader.read(8))
        actions = list(decode_actions(reader.read(size)))
        assert len(actions) == count
        return actions

    def close(self) -> None:
        """Close the program's input, at which it ends, and wait for its end."""
        self._process.communicate()
