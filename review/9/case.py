"""Records that a restarted syslog daemon had not read are missing without a report."""

from __future__ import annotations

import asyncio
import contextlib
import importlib.util
import re
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from kit import BROKEN, COULD_NOT_RUN, HELD, Fleet, Record, exit_with, has_trouble, main

REQUESTS_PER_S = 60.0
STALL_AT_S = 3.0
STALL_S = 2.0
END_S = 10.0
NUMBER = re.compile(rb'sequenceId="(\d+)"')
FIRST = re.compile(rb' first="(\d+)"')
LAST = re.compile(rb' last="(\d+)"')


class SyslogDaemon:
    """A syslog daemon at a Unix datagram socket; it reads at once unless it is stalled."""

    def __init__(self, path: Path) -> None:
        """Prepare a daemon that does not listen yet."""
        self.messages: list[bytes] = []
        self._path = path
        self._socket: socket.socket | None = None

    def start(self) -> None:
        """Listen, in place of an earlier process of the same daemon."""
        self._path.unlink(missing_ok=True)
        self._socket = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(str(self._path))
        asyncio.get_running_loop().add_reader(self._socket, self._read)

    def stall(self) -> None:
        """Read nothing any more."""
        assert self._socket
        asyncio.get_running_loop().remove_reader(self._socket)

    def die(self) -> None:
        """End as a killed process does: what it has not read is gone."""
        assert self._socket
        asyncio.get_running_loop().remove_reader(self._socket)
        self._socket.close()

    def _read(self) -> None:
        assert self._socket
        with contextlib.suppress(BlockingIOError):
            while True:
                self.messages.append(self._socket.recv(70000))


def unaccounted(messages: list[bytes]) -> tuple[int, list[int]]:
    """Return the highest number of a record, and the numbers that neither arrived nor lie in a gap."""
    arrived = {int(found[1]) for one in messages if b" path " in one and (found := NUMBER.search(one))}
    reported: set[int] = set()
    for one in messages:
        first, last = FIRST.search(one), LAST.search(one)
        if b" gap " in one and first and last:
            reported |= set(range(int(first[1]), int(last[1]) + 1))
    highest = max(arrived | reported, default=0)
    return highest, sorted(set(range(1, highest + 1)) - arrived - reported)


async def play(record: Record, folder: Path) -> int:
    """Stall the daemon, and restart it."""
    if not all(importlib.util.find_spec(name) for name in ("msgspec",)):
        record.say("could not run: the packages for an operator's file are not installed")
        return COULD_NOT_RUN
    daemon = SyslogDaemon(folder / "log.sock")
    daemon.start()
    operator_file = folder / "operator.toml"
    operator_file.write_text(f'[records]\nto = "unix://{folder}/log.sock"\n')
    fleet = Fleet(record, folder, REQUESTS_PER_S, sidecars=1, operator_file=operator_file)
    try:
        await fleet.start()
        client = asyncio.create_task(fleet.clients[0].run(END_S))
        await asyncio.sleep(STALL_AT_S)
        if has_trouble():
            daemon.stall()
            record.add("stall")
            await asyncio.sleep(STALL_S)
            daemon.die()
            daemon.start()
            record.add("daemon-restarted")
        await client
        if fleet.sidecars[0].has_crashed():
            return COULD_NOT_RUN
        await fleet.sidecars[0].terminate()
        await asyncio.sleep(0.5)
        record.lines += [one.decode(errors="replace") for one in daemon.messages]
        highest, missing = unaccounted(daemon.messages)
        record.say(f"{highest} records; neither arrived nor in a reported gap: {missing}")
        return BROKEN if missing else HELD
    finally:
        daemon.die()
        await fleet.stop()


exit_with(main(Path(__file__).resolve().parent, play))
