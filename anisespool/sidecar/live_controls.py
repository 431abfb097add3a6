"""What a controller, or a reloaded configuration, can change on this running sidecar."""

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
    """Part of a sidecar's life, under the control socket's name."""

    STARTING = "starting"
    """No endpoint is ready."""
    SERVING = "serving"
    DRAINING = "draining"
    """The graceful shutdown has begun."""


class SidecarControls:
    """The `RuntimeControls` (proxy/runtime_controls.py) of this process."""

    def __init__(
        self,
        signals: Signals,
        proxy: Proxy,
        server: Server,
        watch: EndpointWatch,
        platform_discovery: Address,
        recorder: Recorder | None = None,
    ) -> None:
        """`platform_discovery` is watched unless an operator names another address."""
        self._signals = signals
        self._proxy = proxy
        self._server = server
        self._watch = watch
        self._recorder = recorder
        self._platform_discovery = platform_discovery
        self._operator_discovery: Address | None = None

    @property
    def phase(self) -> Phase:
        """The phase now."""
        if self._server.stopping or self._signals.stop.is_set():
            return Phase.DRAINING
        return Phase.SERVING if self._proxy.ready else Phase.STARTING

    def begin_shutdown(self) -> None:
        """Shut down as by SIGTERM."""
        self._signals.stop.set()

    def client_connections(self) -> dict[str, int]:
        """Clients' connections under the control socket's names: all, and those with an open request."""
        table = self._server.table
        return {"open": len(table), "working": len(table.active)}

    def set_client_idle_timeout(self, timeout_s: float) -> None:
        """Close clients' connections that are idle for so long after a response."""
        self._server.idle_timeout_s = timeout_s

    def set_sampling(self, sampling: SamplingOptions) -> None:
        """Write these shares of the records from now on."""
        if self._recorder:
            self._recorder.set_sampling(sampling)

    def set_discovery_address(self, address: Address | None) -> None:
        """Watch the endpoint list at this address; None: at the one of the platform's file."""
        self._operator_discovery = address
        self._watch.change_address(address or self._platform_discovery)

    def set_platform_discovery(self, address: Address) -> None:
        """Watch the address that the platform's file names now, unless the operator names another."""
        self._platform_discovery = address
        self._watch.change_address(self._operator_discovery or address)
