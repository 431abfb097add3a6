"""A fleet of sidecar processes and an agent on loopback, for the demo, the benchmarks and the tests."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from contextlib import suppress
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from anisespool.config.platform import Address
from anisespool.fakes import control_client, http1, platform

READY_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.02
HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


class LocalFleet:
    """Processes with their files in one directory. `close`, or the end of an `async with`, ends them all.

    Attributes:
        directory: Directory of all files.
        operator_file: The operator's file of the sidecars and the agent.
        control_directory: Directory of the sidecars' control sockets.
        state_directory: Directory of the agent's state.
        sidecars: Processes of the sidecars, by name.
        addresses: Addresses on which the sidecars listen, by name.
        agent: Process of the agent; None: it has not been started.
    """

    def __init__(
        self,
        directory: Path,
        discovery: Address,
        initial_members: list[dict[str, Any]],
        agent_options: str = "",
    ) -> None:
        """Write the operator's file, without starting a process.

        Args:
            directory: Directory for all files.
            discovery: Address of the discovery service.
            initial_members: Entries of the endpoint list with which a sidecar starts.
            agent_options: Lines of the section `agent` of the operator's file.
        """
        self.directory = directory
        self.operator_file = directory / "operator.toml"
        self.control_directory = directory / "ctl"
        self.state_directory = directory / "state"
        self.sidecars: dict[str, asyncio.subprocess.Process] = {}
        self.addresses: dict[str, Address] = {}
        self.agent: asyncio.subprocess.Process | None = None
        self._discovery = discovery
        self._initial_members = initial_members
        self._reserved_ports: dict[str, socket.socket] = {}  # keys are names of sidecars
        self.operator_file.write_text(
            f'[control]\nfolder = "{self.control_directory}"\n\n'
            f'[agent]\nstate = "{self.state_directory}"\n{agent_options}'
        )

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exception_type: type[BaseException] | None,
        exception: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def start_sidecar(self, name: str, fleet_size: int = 1, operator_file: Path | None = None) -> None:
        """Start a sidecar, and return once it can serve. It keeps its address when it is started again.

        Args:
            name: Name of the sidecar.
            fleet_size: Number of sidecars in its settings.
            operator_file: The operator's file in place of the fleet's.
        """
        directory = self.directory / name
        directory.mkdir(exist_ok=True)
        if name not in self._reserved_ports:
            self._reserved_ports[name] = platform.reserve_port()
        address = Address(*self._reserved_ports[name].getsockname())
        environment = platform.write_config(
            directory,
            self._discovery,
            self._initial_members,
            platform.settings(fleet_size=fleet_size),
            listen=f"{address.host}:{address.port}",
            name=name,
        )
        command = ("-m", "anisespool", "sidecar", "--config", str(operator_file or self.operator_file))
        with (directory / "log").open("ab") as log:
            self.sidecars[name] = await asyncio.create_subprocess_exec(
                sys.executable, *command, env=os.environ | environment, stderr=log
            )
        self.addresses[name] = address
        await self.wait_until_healthy(name)

    async def wait_until_healthy(self, name: str) -> None:
        """Return once the sidecar's health check succeeds.

        Raises:
            TimeoutError: The health check did not succeed within READY_TIMEOUT_S.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                with suppress(OSError, EOFError):
                    reader, writer = await asyncio.open_connection(*self.addresses[name])
                    writer.write(HEALTH_CHECK)
                    response = await http1.read_response(reader)
                    writer.close()
                    if response.status == 200:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def start_agent(self, *arguments: str) -> None:
        """Start the agent, and return once it accepts connections or has ended.

        Args:
            arguments: Arguments for the Python interpreter, in place of those that start the project's agent.
        """
        command = arguments or ("-m", "anisespool", "agent", "--config", str(self.operator_file))
        with (self.directory / "agent.log").open("ab") as log:
            self.agent = await asyncio.create_subprocess_exec(sys.executable, *command, stderr=log)
        # The socket's file does not prove that the agent listens: a killed agent leaves it behind.
        while self.agent.returncode is None:
            with suppress(OSError):
                _, writer = await asyncio.open_unix_connection(str(self.state_directory / "agent.sock"))
                writer.close()
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def run_command(self, *arguments: str) -> tuple[int, list[Any]]:
        """Run an `anisespool` command with `--json`, and return its exit status and decoded output lines.

        Without output, the only line is what the command wrote to standard error.
        """
        options = ("--config", str(self.operator_file), "--json")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "anisespool",
            *arguments,
            *options,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        stdout, stderr = await process.communicate()
        lines = [json.loads(line) for line in stdout.splitlines()]
        return process.returncode or 0, lines or [stderr.decode()]

    async def control_state(self, name: str) -> dict[str, Any]:
        """Return what a sidecar reports on its control socket, without the agent."""
        _, state = await control_client.call(self.control_directory / f"{name}.sock", "/v1/state")
        return state

    async def close(self) -> None:
        """Kill all processes, including stopped ones."""
        processes = list(self.sidecars.values())
        if self.agent:
            processes.append(self.agent)
        for process in processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        await asyncio.gather(*(process.wait() for process in processes))
        for reserved in self._reserved_ports.values():
            reserved.close()
