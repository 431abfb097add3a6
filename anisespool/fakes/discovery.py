"""Two fakes of the platform's discovery service, which streams the endpoint list as lines of JSON.

`DiscoveryService` keeps a list and behaves like the platform's service. `ScriptedDiscovery` sends only the
lines that a test passes to it, so that a test can choose the moment, or send what no real service would.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from enum import StrEnum
from typing import Any

from anisespool.fakes import http1
from anisespool.fakes.platform import member_list
from anisespool.fakes.server import Connection, FakeServer, reset

HEARTBEAT_INTERVAL_S = 2.0
"""Interval between heartbeats, which are empty lines."""
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def write_line(writer: asyncio.StreamWriter, line: bytes | dict[str, Any]) -> None:
    """Write one line as one chunk. A dict is encoded as JSON."""
    data = line if isinstance(line, bytes) else json.dumps(line).encode()
    writer.write(http1.encode_chunk(data + b"\n"))


class Outage(StrEnum):
    """An outage of a discovery service."""

    NONE = ""
    SILENT = "silent"
    """Connections are accepted and stay open, but nothing is sent."""
    RESET = "reset"
    """Open connections and new ones are reset."""


class DiscoveryService(FakeServer):
    """Sends each watch the complete list, and then every change to all watches.

    Attributes:
        members: Entries of the list, by endpoint id.
        revision: Revision of the list.
        watch_requests: Number of watches requested so far, with or without a response.
    """

    def __init__(self, members: list[dict[str, Any]]) -> None:
        super().__init__()
        self.members = {entry["id"]: entry for entry in members}
        self.revision = 1
        self.watch_requests = 0
        self._outage = Outage.NONE
        self._may_respond = asyncio.Event()
        self._may_respond.set()

    @property
    def has_outage(self) -> bool:
        """Whether there is an outage."""
        return self._outage is not Outage.NONE

    def set_outage(self, outage: str) -> None:
        """Begin or end an outage. Changes may be published only while there is none.

        Args:
            outage: An `Outage`, or the lab's name for a link fault. Any name but `silent` and the empty one
                resets connections.
        """
        self._outage = Outage(outage) if outage in tuple(Outage) else Outage.RESET
        if self._outage is Outage.SILENT:
            self._may_respond.clear()
        else:
            self._may_respond.set()
        if self._outage is Outage.RESET:
            for connection in list(self.connections):
                reset(connection.writer)

    def publish(self, entry: dict[str, Any]) -> None:
        """Change one entry of the list, and send it to all watches."""
        self.revision += 1
        if entry["phase"] == "removed":
            self.members.pop(entry["id"], None)
        else:
            self.members[entry["id"]] = entry
        self._send_all(member_list(self.revision, [entry], complete=False))

    def publish_all(self, members: list[dict[str, Any]]) -> None:
        """Replace the whole list, and send it to all watches."""
        self.revision += 1
        self.members = {entry["id"]: entry for entry in members}
        self._send_all(member_list(self.revision, members))

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one watch until either side closes the connection."""
        if self._outage is Outage.RESET:
            reset(writer)
            return
        connection = Connection(reader, writer)
        with suppress(OSError, EOFError, http1.MalformedError, asyncio.CancelledError):
            await self._serve_watch(connection)
        with suppress(ValueError):
            self.connections.remove(connection)

    async def _serve_watch(self, connection: Connection) -> None:
        writer = connection.writer
        await http1.read_request(connection.reader)
        self.watch_requests += 1
        await self._may_respond.wait()
        writer.write(STREAM_HEAD)
        write_line(writer, member_list(self.revision, list(self.members.values())))
        self.connections.append(connection)
        while not writer.is_closing():
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            if not self.has_outage:
                write_line(writer, b"")

    def _send_all(self, update: dict[str, Any]) -> None:
        for connection in self.connections:
            if not connection.writer.is_closing():
                write_line(connection.writer, update)


class ScriptedDiscovery(FakeServer):
    """Accepts watches and sends the lines that a test passes to it, valid or not.

    Attributes:
        targets: Request targets of the watches, in order.
    """

    def __init__(self) -> None:
        super().__init__()
        self.targets: list[bytes] = []

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send the head of the response to one watch; `send` adds lines."""
        try:
            request = await http1.read_request(reader)
        except (OSError, EOFError):  # closed without a request
            writer.close()
            return
        self.targets.append(request.target)
        writer.write(STREAM_HEAD)
        self.connections.append(Connection(reader, writer))

    def send(self, line: bytes | dict[str, Any]) -> None:
        """Send a line to the latest watch."""
        write_line(self.connections[-1].writer, line)
