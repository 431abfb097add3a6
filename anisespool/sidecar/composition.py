"""Composition root of a sidecar: builds its components, starts them and stops them in order."""

from __future__ import annotations

import asyncio
import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

from anisespool.balancer.interface import DiscoveryMode, EndpointListKind
from anisespool.buffer_budget import BufferBudget
from anisespool.config.platform import Address, PlatformConfig, PlatformConfigError
from anisespool.discovery.catch_up import ListCatchUp
from anisespool.discovery.timeouts import watch_timing
from anisespool.discovery.watch import EndpointWatch
from anisespool.input_scheduler import InputScheduler
from anisespool.listener.server import Server
from anisespool.log import log_event
from anisespool.loop_delay import LoopDelay
from anisespool.proxy.proxy import Proxy
from anisespool.sidecar.live_controls import SidecarControls
from anisespool.sidecar.memory_monitor import BYTES_PER_MB, MemoryMonitor
from anisespool.sidecar.process_signals import Signals
from anisespool.sidecar.reload import reload_when_signalled
from anisespool.sidecar.shutdown import stop_listener
from anisespool.upstream.cluster import Cluster

if TYPE_CHECKING:
    from anisespool.config.operator import OperatorConfig
    from anisespool.sidecar.optional_features import OptionalFeatures

# Infrequent collections suffice: reference cycles are rare, as parsers break theirs when they end.
GC_THRESHOLDS = (10_000, 20, 20)
# Sockets reserved for other uses than clients and endpoints, and for connections that are closing.
RESERVED_CONNECTIONS = 32
# Minimum number of connections to clients and endpoints, whatever the platform allows.
MIN_CONNECTIONS = 16
# Clients' share of these connections. Many are idle, and each busy one needs a connection to an endpoint.
CLIENT_CONNECTION_SHARE = 0.6


async def run(
    config: PlatformConfig,
    signals: Signals,
    on_listening: Callable[[Address], None],
    operator_config: OperatorConfig | None = None,
) -> None:
    """Run a sidecar until `signals.stop` is set and every accepted request has its response.

    Args:
        on_listening: Called with the listener's address once it accepts connections.
        operator_config: The operator's configuration. Without one, no optional feature is imported.

    Raises:
        ConfigError: Listening on an address failed, or a section of the operator's file can't be used.
    """
    components = _Components(config, signals, operator_config)
    tasks = _start_background_tasks(components, config.path, signals)
    try:
        await _start_listening(components, config, tasks, on_listening)
        await signals.stop.wait()
        if components.features:
            tasks += components.features.announce_shutdown()
        await stop_listener(components.server, config.settings, _stop_pending_s(components, signals))
    finally:
        for task in tasks:
            task.cancel()
        if components.features:
            await components.features.close()


def _stop_pending_s(components: _Components, signals: Signals) -> float:
    """Return how long ago the platform may have sent the signal that stops the sidecar."""
    now = time.monotonic_ns()
    sent_at = components.loop_delay.earliest_event_at(signals.stop_handled_at or now)
    return (now - sent_at) / 1e9


async def _start_listening(
    components: _Components,
    config: PlatformConfig,
    tasks: list[asyncio.Task[None]],
    on_listening: Callable[[Address], None],
) -> None:
    """Bind the address, start the optional features, and listen once the endpoint list is current."""
    with _listen_errors():
        components.server.bind(config.listen)
    if components.features:
        tasks += components.features.start(components.controls)
    await _wait_for_current_list(components.watch, config)
    with _listen_errors():
        address = components.server.listen()
    log_event(
        "sidecar_listening",
        address="{}:{}".format(*address),
        sockets=config.max_sockets,
        memory_mb=config.max_memory_bytes // BYTES_PER_MB,
        client_connections=components.server.table.max_connections,
    )
    on_listening(address)
    gc.freeze()  # Objects created at start-up are never freed, so collections skip them.
    gc.set_threshold(*GC_THRESHOLDS)


class _Components:
    """The components of a sidecar, connected to each other but not started."""

    def __init__(
        self, config: PlatformConfig, signals: Signals, operator_config: OperatorConfig | None
    ) -> None:
        settings = config.settings
        connections = max(MIN_CONNECTIONS, config.max_sockets - RESERVED_CONNECTIONS)
        client_connections = int(connections * CLIENT_CONNECTION_SHARE)
        self.loop_delay = LoopDelay(time.monotonic_ns())
        budget = BufferBudget.for_memory(config.max_memory_bytes)
        scheduler = InputScheduler()
        self.cluster = Cluster(
            settings.load_report_columns,
            settings.connect_timeout_ns,
            config.keepalive_ns,
            connections - client_connections,
            gate=ListCatchUp(self.loop_delay, lambda: self.watch.has_unread_updates()),
            budget=budget,
            scheduler=scheduler,
        )
        self.features = _optional_features(config, operator_config, self.cluster)
        recorder = self.features.recorder if self.features else None
        proxy = self.features.proxy if self.features else Proxy(config, self.cluster)
        proxy.update_endpoints(config.initial_endpoints, EndpointListKind.CACHED)
        self.watch = EndpointWatch(
            config.discovery,
            config.names,
            config.initial_endpoints.revision,
            proxy.update_endpoints,
            watch_timing(settings),
            proxy.discovery_contact,
        )
        self.server = Server(
            proxy,
            config.names,
            settings,
            client_connections,
            config.max_sockets,
            self.loop_delay,
            budget,
            scheduler,
            MemoryMonitor(config.max_memory_bytes).check,
        )
        self.server.on_reject = recorder.record_rejection if recorder else None
        self.controls = SidecarControls(signals, proxy, self.server, self.watch, config.discovery, recorder)


def _optional_features(
    config: PlatformConfig, operator_config: OperatorConfig | None, cluster: Cluster
) -> OptionalFeatures | None:
    if operator_config is None:
        return None
    from anisespool.sidecar.optional_features import OptionalFeatures

    return OptionalFeatures(config, operator_config, cluster)


def _start_background_tasks(
    components: _Components, config_path: str, signals: Signals
) -> list[asyncio.Task[None]]:
    return [
        asyncio.create_task(components.watch.run()),
        asyncio.create_task(components.cluster.sweep()),
        asyncio.create_task(reload_when_signalled(config_path, components.controls, signals.reload)),
        asyncio.create_task(components.server.sweep()),
    ]


async def _wait_for_current_list(watch: EndpointWatch, config: PlatformConfig) -> None:
    """Wait for the discovery service's endpoint list before listening, if the discovery mode is push.

    A drain that the service already has applies from this sidecar's start, and the initial list may be older
    than the drain. If the first attempt fails or the drain grace period passes, the initial list is used.
    """
    if config.settings.discovery_mode is DiscoveryMode.PUSH:
        with suppress(TimeoutError):
            await asyncio.wait_for(watch.first_attempt_done.wait(), config.settings.drain_grace_ns / 1e9)


@contextmanager
def _listen_errors() -> Iterator[None]:
    """Convert an error of the listening socket into an error of the variable that has its address."""
    try:
        yield
    except OSError as error:
        raise PlatformConfigError("LB_LISTEN", error) from None
