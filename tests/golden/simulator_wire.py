"""The simulator's wire, as the platform's page states it, and the decision program at its other end.

The wire is fixed by the platform, so this module knows nothing of the program's inside: it starts the command
named `sim` in deploy/balancer.toml and speaks bytes.
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
RECORD_HEAD = struct.Struct("<HI")  # code, instance
ENTRY = struct.Struct("<IfHHHBQ")
GONE, READY, DRAINING = range(3)
FAILED_LIST, DELTA_LIST, FULL_LIST, CACHED_LIST = range(4)
ERROR, OK, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, MOOT = range(8)

# Of each event: its code, and its fields after code and instance; variable content follows them.
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
# Of each action code: its name, and its fields after code and instance.
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
WITH_TEXT = {"Broken", "WriteLog"}  # texts for people: they may change, that one was written may not
WITH_CONTENT = WITH_TEXT | {"Signal"}  # the last field is the length of bytes that follow


@dataclass(frozen=True)
class Action:
    """One action of a reply: its name on the wire, the instance, its values in order."""

    name: str
    instance: int
    values: tuple[Any, ...]

    def canonical(self) -> str:
        """The form that is hashed: without texts for people."""
        values = () if self.name in WITH_TEXT else self.values
        texts = [value.hex() if isinstance(value, bytes) else str(value) for value in values]
        return " ".join([self.name, str(self.instance), *texts])


def encode_event(name: str, instance: int, *values: int, content: bytes = b"") -> bytes:
    """One event as a record."""
    code, layout = EVENTS[name]
    return RECORD_HEAD.pack(code, instance) + layout.pack(*values) + content


def encode_list(number: int, entries: dict[int, tuple[float, ...]]) -> bytes:
    """A numbered endpoint list as a record (`SnapshotRows`, code 1100)."""
    rows = [ENTRY.pack(endpoint, *entry) for endpoint, entry in entries.items()]
    return struct.pack("<HII", 1100, number, len(rows)) + b"".join(rows)


def encode_batch(now: int, records: list[bytes]) -> bytes:
    """A batch with its header."""
    body = b"".join(records)
    return struct.pack("<IIQ", len(records), len(body) + 8, now) + body


def decode_actions(body: bytes) -> Iterator[Action]:
    """The records of a reply."""
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
    """The command `sim` of a checkout's deploy/balancer.toml, run by this interpreter."""
    deploy = tomllib.loads((root / "deploy" / "balancer.toml").read_text())
    words = shlex.split(deploy["sim"].removeprefix("exec "))
    return [sys.executable, *words[1:]]


class DecisionProgram:
    """The running program of a checkout: a batch in, its actions out."""

    def __init__(self, root: Path = ROOT) -> None:
        pipe = subprocess.PIPE
        self._process = subprocess.Popen(simulator_command(root), cwd=root, stdin=pipe, stdout=pipe)

    def exchange(self, now: int, records: list[bytes]) -> list[Action]:
        """Send one batch and read its reply."""
        writer = cast(IO[bytes], self._process.stdin)
        reader = cast(IO[bytes], self._process.stdout)
        writer.write(encode_batch(now, records))
        writer.flush()
        count, size = struct.unpack("<II", reader.read(8))
        actions = list(decode_actions(reader.read(size)))
        assert len(actions) == count
        return actions

    def close(self) -> None:
        """End the program by the end of its input."""
        self._process.communicate()
