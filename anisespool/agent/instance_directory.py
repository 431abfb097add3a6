"""Discovery of the instances of one machine by their sockets in the control directory, and their polling."""

from __future__ import annotations

import asyncio
import os
import random
import stat
from collections.abc import Callable
from enum import Enum
from pathlib import Path
from typing import NamedTuple

from anisespool.agent.control_client import ControlClient, Reachability
from anisespool.agent.task_scope import TaskScope
from anisespool.config.operator import AgentOptions
from anisespool.control.socket_directory import INSTANCE_NAME_PATTERN, SOCKET_SUFFIX
from anisespool.log import log_event

POLL_JITTER_SHARE = 0.2  # share of the poll interval; spreads the polls of the instances over time
SYNC_CHECK_INTERVAL_S = 0.01


class InstanceChange(Enum):
    """Changes of an instance besides its reachability and phase. The values appear in its events."""

    FOUND = "found"
    RESTARTED = "restarted"
    LEFT = "left"


class _Observation(NamedTuple):
    """The part of an instance's state that is compared from one poll to the next."""

    reachability: Reachability
    boot: str | None
    phase: str | None


class InstanceDirectory:
    """Maintains a client and a polling task for each of up to `max_instances` sockets in the directory.

    `on_poll` is called after each poll and after the removal of a socket. Its arguments are the client and
    the change, or None if nothing changed.

    Attributes:
        directory: The control directory.
        clients: Clients by instance name.
        synced: Set when every instance of the first scan has been polled once, or has been removed.
    """

    def __init__(
        self, directory: Path, settings: AgentOptions, on_poll: Callable[[ControlClient, str | None], None]
    ) -> None:
        self.directory = directory
        self.clients: dict[str, ControlClient] = {}
        self.synced = asyncio.Event()
        self._settings = settings
        self._on_poll = on_poll
        self._pollers = TaskScope()  # keys are instance names
        self._poll_requests: dict[str, asyncio.Event] = {}  # setting one triggers an immediate poll

    async def run(self) -> None:
        """Scan the directory periodically until cancelled."""
        try:
            async with self._pollers, asyncio.TaskGroup() as group:
                self._scan()
                group.create_task(self._wait_for_first_polls(list(self.clients.values())))
                while True:
                    await asyncio.sleep(self._settings.scan_interval_s)
                    self._scan()
        finally:
            for client in self.clients.values():
                client.close()

    async def _wait_for_first_polls(self, clients: list[ControlClient]) -> None:
        """Set `synced` once each of `clients` has been polled or removed."""
        while any(
            client.reachability is Reachability.UNKNOWN and client.name in self.clients for client in clients
        ):
            await asyncio.sleep(SYNC_CHECK_INTERVAL_S)
        self.synced.set()

    def _scan(self) -> None:
        """Remove clients whose sockets no longer exist, and add clients for new sockets up to the limit."""
        found = self._find_sockets()
        for name in self.clients.keys() - found.keys():
            self._remove(name)
        capacity = max(0, self._settings.max_instances - len(self.clients))
        new_names = sorted(found.keys() - self.clients.keys())
        for name in new_names[:capacity]:
            self._add(name, found[name])

    def _find_sockets(self) -> dict[str, Path]:
        """Return the paths of the sockets by instance name. Other directory entries are ignored."""
        found = {}
        try:
            with os.scandir(self.directory) as entries:
                for entry in entries:
                    name, suffix = os.path.splitext(entry.name)
                    if (
                        suffix == SOCKET_SUFFIX
                        and INSTANCE_NAME_PATTERN.fullmatch(name)
                        and _is_socket(entry)
                    ):
                        found[name] = Path(entry.path)
        except OSError as error:
            log_event("instance_directory_scan_failed", directory=str(self.directory), error=str(error))
            return {name: client.path for name, client in self.clients.items()}
        return found

    def _add(self, name: str, path: Path) -> None:
        client = ControlClient(path, self._settings.request_timeout_s)
        poll_request = asyncio.Event()
        self.clients[name] = client
        self._poll_requests[name] = poll_request
        self._pollers.start(name, self._poll_forever(client, poll_request))

    def _remove(self, name: str) -> None:
        client = self.clients.pop(name)
        del self._poll_requests[name]
        self._pollers.cancel(name)
        client.close()
        self._on_poll(client, InstanceChange.LEFT.value)

    async def _poll_forever(self, client: ControlClient, poll_request: asyncio.Event) -> None:
        while True:
            before = _observe(client)
            await client.poll()
            self._on_poll(client, _describe_change(before, _observe(client)))
            interval_s = self._settings.poll_interval_s * random.uniform(
                1 - POLL_JITTER_SHARE, 1 + POLL_JITTER_SHARE
            )
            try:
                async with asyncio.timeout(interval_s):
                    await poll_request.wait()
            except TimeoutError:
                pass
            poll_request.clear()

    def poll_now(self, name: str) -> None:
        """Request an immediate poll of an instance. Does nothing if it has no client any more."""
        if name in self._poll_requests:
            self._poll_requests[name].set()


def _is_socket(entry: os.DirEntry[str]) -> bool:
    try:
        return stat.S_ISSOCK(entry.stat(follow_symlinks=False).st_mode)
    except OSError:
        return False


def _observe(client: ControlClient) -> _Observation:
    state = client.state
    return _Observation(client.reachability, state.boot if state else None, state.phase if state else None)


def _describe_change(before: _Observation, after: _Observation) -> str | None:
    """Return the change between two polls as the events of agent.proto name it; None if nothing changed.

    The text is a value of InstanceChange, the new reachability, or the new phase.
    """
    if before.reachability is Reachability.UNKNOWN:
        return InstanceChange.FOUND.value
    if before.reachability is not after.reachability:
        return after.reachability.value
    if after.reachability is Reachability.REACHABLE and before.boot != after.boot:
        return InstanceChange.RESTARTED.value
    return after.phase if before.phase != after.phase else None
