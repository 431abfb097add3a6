"""What the platform gives a sidecar: the endpoint list's entries, the configuration file, the environment."""

from __future__ import annotations

import json
import socket
from pathlib import Path
from typing import Any, NamedTuple

from anisespool.config.platform import Address

MS = 1_000_000
"""Nanoseconds."""


class RequestClass(NamedTuple):
    """A request class in the platform's terms."""

    name: str
    effect: str
    """`repeatable`: idempotent; `once`: not."""
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
    """A port that nobody uses at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def reserve_port() -> socket.socket:
    """Reserve a port for a process that will listen there: bind it, and never listen.

    The kernel gives it to nobody else by chance, while a listener that allows reuse, as asyncio's do, may
    bind it. A port that `free_port` found is free again at once: two of two hundred processes may get the
    same.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


def member(endpoint_id: str, address: Address, phase: str = "up", **fields: Any) -> dict[str, Any]:
    """An entry of the endpoint list. `fields` are added to it, or replace its own."""
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
    """An update of the endpoint list: all its entries, or if not `complete` those that changed."""
    return {"revision": revision, "complete": complete, "members": members}


def settings(fleet_size: int = 1, self_index: int = 0) -> dict[str, Any]:
    """Settings of a small site: three request classes, three tenants, load reports in responses."""
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
                "target-ns": row.target_ms * MS,
                "deadline-ns": row.deadline_ms * MS,
            }
            for row in REQUEST_CLASSES
        ],
        "tenants": [{"name": name, "share": 1 / len(TENANTS), "quota-per-s": 1000.0} for name in TENANTS],
        "resolution-ns": MS,
        "zone": 0,
        "zones": ["east", "west"],
        "skus": ["m1"],
    }


def _allowed() -> dict[str, Any]:
    """What the platform allows a sidecar to do."""
    return {
        "attempts-cap": 3,
        "cancel": True,
        "connect-timeout-ns": 250 * MS,
        "may-duplicate": False,
        "retry-after": True,
        "max-retry-after-ns": 1000 * MS,
        "peers": False,
        "probes": False,
        "keepalive-ns": 15_000 * MS,
    }


def _guarantees() -> dict[str, Any]:
    """What the platform guarantees a sidecar."""
    return {
        "answer-slack-ns": 20 * MS,
        "ask-within-ns": 10_000 * MS,
        "cold-ns": 20_000 * MS,
        "drain-grace-ns": 250 * MS,
        "fall-multiple": 3.0,
        "fall-ns": 1500 * MS,
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
) -> dict[str, str]:
    """Write the configuration file, and return the environment that names it.

    Args:
        folder: Where the file goes.
        discovery: The discovery service's address.
        initial_members: Entries of the initial endpoint list.
        settings: As from the function of this name.
        listen: Where the sidecar listens.
        name: The sidecar's.
        sockets: File descriptors that the platform allows.
    """
    discovery_address = f"{discovery.host}:{discovery.port}"
    raw = {
        "name": name,
        "seed": "8c1f",
        "limits": {"sockets": sockets},
        "known": member_list(1, initial_members),
        "settings": settings,
        "discovery": discovery_address,
    }
    path = folder / "config.json"
    path.write_text(json.dumps(raw))
    return {"LB_NAME": name, "LB_LISTEN": listen, "LB_DISCOVERY": discovery_address, "LB_CONFIG": str(path)}
