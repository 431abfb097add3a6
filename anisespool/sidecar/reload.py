"""Reload of the platform's configuration at SIGHUP."""

from __future__ import annotations

import asyncio

from anisespool.config.platform import ConfigError
from anisespool.config.platform_loader import read_discovery_address
from anisespool.log import log_event
from anisespool.sidecar.live_controls import SidecarControls


async def reload_when_signalled(path: str, controls: SidecarControls, reload: asyncio.Event) -> None:
    """Read the platform's file again at each signal. Runs until it is cancelled.

    Only discovery's address can change while the sidecar runs. A file with an error is logged, and the
    address before it stays.

    Args:
        path: Of the platform's file.
        controls: Changes the address.
        reload: Set by the signal.
    """
    while True:
        await reload.wait()
        reload.clear()
        try:
            controls.set_platform_discovery(read_discovery_address(path))
        except ConfigError as error:
            log_event("config_reload_failed", error=error)
