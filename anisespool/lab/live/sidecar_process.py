"""Runs a sidecar as the platform starts it."""

from __future__ import annotations

import asyncio
import json
import socket
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from anisespool.config.platform import Address
from anisespool.fakes import control_client, platform
from anisespool.lab import scenario as scenarios
from anisespool.lab.live.backend_messages import PeerNetwork, SidecarDiscovery
from anisespool.lab.live.process_account import ReportedEvent
from anisespool.lab.live.process_handle import ProcessHandle
from anisespool.lab.live.process_supervisor import ProcessSupervisor
from anisespool.lab.live.sidecar_client import ClientResponse, SidecarClient
from anisespool.lab.scenario import SECOND, Scenario

COLLECT_TIMEOUT_S = 30.0
SOCKET_LIMIT = 4096
KEEPALIVE_NS = 60 * SECOND
UNLIMITED_QUOTA_PER_S = 1e9
HEALTH_REQUEST = b"GET /healthz HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n"


@dataclass(frozen=True, slots=True)
class SidecarOptions:
    """Options with which the sidecars of a run are started.

    Attributes:
        control: start them with an operator's file and a control socket, so that they report events.
        mutation: name of a deliberate break of the program (`mutated_sidecar`); empty for none.
        source: root of another checkout whose sidecar is run.
    """

    control: bool = False
    mutation: str = ""
    source: Path | None = None


class SidecarProcess(ProcessHandle):
    """A sidecar, with its configuration, its clients' connections and its control socket."""

    def __init__(
        self,
        number: int,
        run_folder: Path,
        supervisor: ProcessSupervisor,
        scenario: Scenario,
        discovery: SidecarDiscovery,
        peers: PeerNetwork,
        options: SidecarOptions,
    ) -> None:
        super().__init__(number, run_folder, supervisor, options.source)
        self._port_reservation: socket.socket = platform.reserve_port()
        self.address = Address(*self._port_reservation.getsockname())
        self.control_socket: Path | None = None
        self._client = SidecarClient(self.address)
        self._next_event = 0
        if options.mutation:
            self.command = ["-m", "anisespool.lab.live.mutated_sidecar", options.mutation]
        else:
            self.command = ["-m", "anisespool"]
        if options.control:
            self._enable_control_socket(run_folder / "ctl", scenario)
        self._write_configuration(scenario, discovery)
        if scenario.talk:
            self._add_peers(peers)

    def _enable_control_socket(self, control_folder: Path, scenario: Scenario) -> None:
        operator_file = self.folder / "operator.toml"
        has_membership = scenario.talk if scenario.peers is None else scenario.peers
        membership = "\n[peers]\n" if has_membership else ""
        operator_file.write_text(f'[control]\nfolder = "{control_folder}"\n{membership}')
        self.control_socket = control_folder / f"n{self.number}.sock"
        self.command += ["sidecar", "--config", str(operator_file)]

    def _write_configuration(self, scenario: Scenario, discovery: SidecarDiscovery) -> None:
        self.env = platform.write_config(
            self.folder,
            discovery.address,
            discovery.entries,
            platform_settings(scenario, self.number),
            "{}:{}".format(*self.address),
            f"n{self.number}",
            SOCKET_LIMIT,
        )

    def _add_peers(self, network: PeerNetwork) -> None:
        """Write the addresses of all members into the configuration."""
        path = self.folder / "config.json"
        raw = json.loads(path.read_text())
        raw["peers"] = ["{}:{}".format(*peer.address) for peer in network.peers]
        raw["peers_all"] = "{}:{}".format(*network.broadcast)
        raw["peer_listen"] = "{}:{}".format(*network.peers[self.number].listen)
        path.write_text(json.dumps(raw))

    def _on_started(self, process: asyncio.subprocess.Process) -> None:
        self._next_event = 0

    def _abort_connections(self) -> None:
        self._client.abort_idle()

    def _close_resources(self) -> None:
        self._port_reservation.close()

    async def is_ready(self) -> bool:
        """Return whether its health check succeeds."""
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(HEALTH_REQUEST)
            return b" 200 " in await reader.readuntil(b"\r\n")
        except (OSError, EOFError):
            return False
        finally:
            writer.close()

    async def request(self, data: bytes, trace: bytes) -> ClientResponse | None:
        """Send a client's request; return none if no complete response arrived."""
        return await self._client.request(data, trace)

    async def collect_events(self) -> None:
        """Read its new events through the control socket. The sidecar itself keeps only its latest ones."""
        if not self.control_socket or not self.is_running:
            return
        with suppress(OSError, EOFError, TimeoutError, ValueError):
            async with asyncio.timeout(COLLECT_TIMEOUT_S):
                while await self._collect_page(self.control_socket):
                    pass

    async def _collect_page(self, control_socket: Path) -> bool:
        """Read as many events as fit into one response; return whether there were any."""
        status, answer = await control_client.call(control_socket, "/v1/events", {"after": self._next_event})
        if status != 200 or not answer["events"]:
            return False
        self.account.add_events([ReportedEvent.from_json(event) for event in answer["events"]])
        self.account.dropped += answer["dropped"]
        self._next_event = answer["next"]
        return True


def platform_settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """Return the settings that the platform would give the sidecar with that number."""
    raw = scenarios.raw_settings(scenario, number, scenario.sidecar_zones()[number])
    zone_count = max(group.zone for group in scenario.endpoints) + 1
    raw["zones"] = [f"z{zone}" for zone in range(zone_count)]
    raw["skus"] = [f"m{kind}" for kind in range(len(scenario.endpoints))]
    if not raw["tenants"]:
        raw["tenants"] = [{"name": "all", "share": 1.0, "quota-per-s": UNLIMITED_QUOTA_PER_S}]
    raw["allowed"]["keepalive-ns"] = KEEPALIVE_NS
    return raw
