"""Writes the platform's configuration file of a sidecar, and returns the environment that names it."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from anisespool.config.platform import Address
from anisespool.fakes import platform
from tests.support import raw_settings

NO_LISTENER = Address("127.0.0.1", 1)
"""An address that refuses connections."""


def platform_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of tests/support.py, with names for classes, tenants, zones and machine types.

    Requests of class `look` are idempotent, those of `keyed` by their key, and those of `once` are not.
    """
    raw = raw_settings(**changes)
    for row, name in zip(raw["request-classes"], ("look", "keyed", "once"), strict=True):
        row["name"] = name
    raw["tenants"] = [{"name": "acme", "share": 1.0, "quota-per-s": 100.0}]
    return raw | {"zones": ["east", "west"], "skus": ["m1"]}


def write_config(
    folder: Path,
    discovery: Address,
    known: list[dict[str, Any]],
    listen: str = "127.0.0.1:0",
    sockets: int = 256,
    memory_mb: int = 192,
    **changes: Any,
) -> dict[str, str]:
    """Write the configuration file, and return the environment that names it.

    Args:
        folder: The folder of the file.
        discovery: The discovery service's address.
        known: The initial endpoint list.
        listen: The sidecar's listen address.
        sockets: Maximum number of file descriptors.
        memory_mb: Maximum resident memory.
        changes: Changes of the settings, as in `raw_settings`.
    """
    settings = platform_settings(**changes)
    return platform.write_config(
        folder, discovery, known, settings, listen=listen, sockets=sockets, memory_mb=memory_mb
    )
