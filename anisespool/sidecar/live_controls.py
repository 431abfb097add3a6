"""State of this running sidecar, and changes to it by the control socket or a reloaded configuration."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from anisespool.config.platform import Address
from anisespool.discovery.watch import EndpointWatch
from anisespool.listener.server import Server
from anisespool.proxy.proxy import Proxy
from anisespool.sidecar.process_signals import Signals

if TYPE_CHECKING:
    from anisespool.config.operator import SamplingOptions
    from anisespool.records.recorder import Recorder


class Phase(StrEnum):
    """Lifecycle phase of a sidecar. The values are those on the control socket."""

    STARTING = "starting"
    """No endpoint is ready."""
    SERVING = "serving"
    DRAINING = "draining"
    """The graceful shutdown has begun."""


class SidecarControls:
    """Implements `RuntimeControls` (proxy/runtime_controls.py) for this process."""

    def __init__(
        self,
        signals: Signals,
        proxy: Proxy,
        server: Server,
        watch: EndpointWatch,
        platform_discovery: Address,
        recorder: Recorder | None = None,
    ) -> None:
        """Watch `platform_discovery` until an operator names another address."""
        self._signals = signals
        self._proxy = proxy
        self._server = server
        self._watch = watch
        self._recorder = recorder
        self._platform_discovery = platform_discovery
        self._operator_discovery: Address | None = None

    @property
    def phase(self) -> Phase:
        """The current phase."""
        if self._server.stopping or self._signals.stop.is_set():
            return Phase.DRAINING
        return Phase.SERVING if self._proxy.ready else Phase.STARTING

    def begin_shutdown(self) -> None:
        """Start the graceful shutdown, as SIGTERM does."""
        self._signals.stop.set()

    def client_connections(self) -> dict[str, int]:
        """Return the number of client connections (`open`) and of those with an open request (`working`)."""
        table = self._server.table
        return {"open": len(table), "working": len(table.active)}

    def set_client_idle_timeout(self, timeout_s: float) -> None:
        """Set how long a client connection may stay idle after a response."""
        self._server.idle_timeout_s = timeout_s

    def set_sampling(self, sampling: SamplingOptions) -> None:
        """Set the shares of the request records that are written from now on."""
        if self._recorder:
            self._recorder.set_sampling(sampling)

    def set_discovery_address(self, address: Address | None) -> None:
        """Watch the endpoint list at this address, or at the address in the platform's file if it is None."""
        self._operator_discovery = address
        self._watch.change_address(address or self._platform_discovery)

    def set_platform_discovery(self, address: Address) -> None:
        """Watch the new address in the platform's file, unless the operator names another."""
        self._platform_discovery = address
        self._watch.change_address(self._operator_discovery or address)
