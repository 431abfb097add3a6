"""The server of the control socket: HTTP/1.1 with JSON, parsed like the requests of the application."""

from __future__ import annotations

import asyncio
import os
from contextlib import closing
from functools import partial
from pathlib import Path

from anisespool.config.operator import ControlOptions
from anisespool.config.platform import ConfigError
from anisespool.control.connection import ClientConnection
from anisespool.control.errors import InstanceNameInUseError
from anisespool.control.router import Routes, respond
from anisespool.control.socket_directory import InstanceSocket, peer_uid
from anisespool.log import log_event

ACCEPT_RETRY_S = 0.5
START_RETRY_S = 0.5


async def serve(directory: Path, instance: str, options: ControlOptions, routes: Routes) -> None:
    """Serve the control socket of `instance` in `directory` until cancelled.

    After a restart, the previous process may still be draining and hold this name. The control socket then
    opens when that process ends. Application requests don't wait for the control socket.
    """
    with closing(await _start(directory, instance, options, routes)):
        await asyncio.Event().wait()


async def _start(directory: Path, instance: str, options: ControlOptions, routes: Routes) -> ControlServer:
    """Open the control socket and return its server. Retry until the instance's name is free."""
    logged = False
    while True:
        try:
            return ControlServer(InstanceSocket(directory, instance), options, routes)
        except (InstanceNameInUseError, ConfigError, OSError) as error:
            if not logged:
                log_event("control_socket_unavailable", error=error, retry_s=START_RETRY_S)
            logged = True
            await asyncio.sleep(START_RETRY_S)


class ControlServer:
    """Accepts clients from its creation until `close` is called. Needs a running event loop."""

    def __init__(self, instance_socket: InstanceSocket, options: ControlOptions, routes: Routes) -> None:
        self._instance_socket = instance_socket
        self._options = options
        self._respond = partial(respond, routes)
        self._connections: set[ClientConnection] = set()
        self._listener = instance_socket.listen()
        self._start_accepting()

    def _start_accepting(self) -> None:
        if self._listener.fileno() >= 0:
            asyncio.get_running_loop().add_reader(self._listener, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self._listener.accept()
        except (BlockingIOError, InterruptedError, ConnectionError):
            return
        except OSError as error:
            self._pause_accepting(error)
            return
        is_allowed = peer_uid(sock) in (os.geteuid(), 0)  # Only this user and root may connect.
        if not is_allowed or len(self._connections) >= self._options.max_connections:
            sock.close()
            return
        sock.setblocking(False)
        connection = ClientConnection(
            sock, self._options.idle_timeout_s, self._respond, on_closed=self._connections.discard
        )
        self._connections.add(connection)

    def _pause_accepting(self, error: OSError) -> None:
        """Stop accepting clients for ACCEPT_RETRY_S.

        If the process is out of file descriptors, the listener stays readable and the loop would spin on it.
        """
        log_event("control_accept_failed", error=error, retry_s=ACCEPT_RETRY_S)
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener)
        loop.call_later(ACCEPT_RETRY_S, self._start_accepting)

    def close(self) -> None:
        """Disconnect all clients, remove the socket and release the instance's name."""
        asyncio.get_running_loop().remove_reader(self._listener)
        self._listener.close()
        for connection in list(self._connections):
            connection.abort()
        self._instance_socket.release()
