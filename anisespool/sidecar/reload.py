"""Reloads the platform's configuration on SIGHUP."""

from __future__ import annotations

import asyncio

from anisespool.config.platform import ConfigError
from anisespool.config.platform_loader import read_discovery_address
from anisespool.log import log_event
from anisespool.sidecar.live_controls import SidecarControls


async def reload_when_signalled(path: str, controls: SidecarControls, reload: asyncio.Event) -> None:
    """Read the platform's file again on each signal, until cancelled.

    Only the address of discovery can change while the sidecar runs. If the file has an error, this is logged
    and the previous address is kept.
    """
    while True:
        await reload.wait()
        reload.clear()
        try:
            controls.set_platform_discovery(read_discovery_address(path))
        except ConfigError as error:
            log_event("config_reload_failed", error=error)
