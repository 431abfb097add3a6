"""What the platform provides to a sidecar: endpoint list, configuration file and environment."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any, NamedTuple

from anisespool.config.platform import Address

NS_PER_MS = 1_000_000


class RequestClass(NamedTuple):
    """A request class in the platform's terms."""

    name: str
    effect: str
    """`repeatable`: idempotent; `once`: not idempotent."""
    target_ms: int
    """The latency objective."""
    deadline_ms: int


REQUEST_CLASSES = (
    RequestClass("token-lookup", "repeatable", 400, 1000),
    RequestClass("send-one", "once", 400, 2000),
    RequestClass("send-segment", "once", 1200, 3000),
)
TENANTS = ("tiendas-sol", "banco-andes-sur", "movil-inca")


def free_port() -> int:
    """Return a port that is not in use at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reserve_port() -> socket.socket:
    """Reserve a port for a process that will listen there, by a socket that is bound and never listens.

    The kernel never picks a reserved port as a free one, but a listener that allows reuse, as asyncio's do,
    may bind it. A port from `free_port` is not reserved: two of two hundred processes may get the same.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def member(endpoint_id: str, address: Address, phase: str = "up", **fields: Any) -> dict[str, Any]:
    """Return an entry of the endpoint list. `fields` are added to its default fields, or replace them."""
    entry: dict[str, Any] = {
        "id": endpoint_id,
        "host_port": f"{address.host}:{address.port}",
        "locality": "east",
        "flavor": "m1",
        "cell": 0,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }
    return entry | fields


def member_list(revision: int, members: list[dict[str, Any]], complete: bool = True) -> dict[str, Any]:
    """Return an update of the endpoint list: all entries if `complete`, otherwise those that changed."""
    return {"revision": revision, "complete": complete, "members": members}


def settings(fleet_size: int = 1, self_index: int = 0) -> dict[str, Any]:
    """Return settings of a small site: three request classes, three tenants, load reports in responses."""
    return {
        "allowed": _allowed(),
        "fleet-size": fleet_size,
        "self-index": self_index,
        "guarantees": _guarantees(),
        "report": {"columns": ["queue", "inflight"], "how": "piggyback"},
        "request-classes": [
            {
                "name": row.name,
                "effect": row.effect,
                "target-ns": row.target_ms * NS_PER_MS,
                "deadline-ns": row.deadline_ms * NS_PER_MS,
            }
            for row in REQUEST_CLASSES
        ],
        "tenants": [{"name": name, "share": 1 / len(TENANTS), "quota-per-s": 1000.0} for name in TENANTS],
        "resolution-ns": NS_PER_MS,
        "zone": 0,
        "zones": ["east", "west"],
        "skus": ["m1"],
    }


def _allowed() -> dict[str, Any]:
    """Return what the platform allows a sidecar to do."""
    return {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * NS_PER_MS,
        "may-duplicate": False,
        "retry-after": True,
        "max-retry-after-ns": 1000 * NS_PER_MS,
        "peers": False,
        "probes": False,
        "keepalive-ns": 15_000 * NS_PER_MS,
    }


def _guarantees() -> dict[str, Any]:
    """Return what the platform guarantees to a sidecar."""
    return {
        "answer-slack-ns": 20 * NS_PER_MS,
        "ask-within-ns": 10_000 * NS_PER_MS,
        "cold-ns": 20_000 * NS_PER_MS,
        "drain-grace-ns": 250 * NS_PER_MS,
        "fall-multiple": 3.0,
        "fall-ns": 1500 * NS_PER_MS,
        "start-capacity": 0.15,
    }


def write_config(
    folder: Path,
    discovery: Address,
    initial_members: list[dict[str, Any]],
    settings: dict[str, Any],
    listen: str = "127.0.0.1:0",
    name: str = "n0",
    sockets: int = 256,
    memory_mb: int = 192,
) -> dict[str, str]:
    """Write the configuration file, and return the environment that names it.

    Args:
        folder: Directory of the file.
        discovery: Address of the discovery service.
        initial_members: Entries of the initial endpoint list.
        settings: Settings as the function of this name returns them.
        listen: Address on which the sidecar listens.
        name: Name of the sidecar.
        sockets: Number of file descriptors that the platform allows.
        memory_mb: Resident memory that the platform allows.
    """
    discovery_address = f"{discovery.host}:{discovery.port}"
    raw = {
        "name": name,
        "seed": "8c1f",
        "limits": {"sockets": sockets, "memory_mb": memory_mb},
        "known": member_list(1, initial_members),
        "settings": settings,
        "discovery": discovery_address,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {"LB_NAME": name, "LB_LISTEN": listen, "LB_DISCOVERY": discovery_address, "LB_CONFIG": str(path)}
