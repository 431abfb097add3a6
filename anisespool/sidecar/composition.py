"""Composition root of one sidecar: builds its parts, starts them, and ends them in order."""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

from anisespool.balancer.interface import DiscoveryMode, EndpointListKind
from anisespool.config.platform import Address, PlatformConfig, PlatformConfigError
from anisespool.discovery.timeouts import watch_timing
from anisespool.discovery.watch import EndpointWatch
from anisespool.listener.server import Server
from anisespool.proxy.proxy import Proxy
from anisespool.sidecar.live_controls import SidecarControls
from anisespool.sidecar.process_signals import Signals
from anisespool.sidecar.reload import reload_when_signalled
from anisespool.sidecar.shutdown import stop_listener
from anisespool.upstream.cluster import Cluster

if TYPE_CHECKING:
    from anisespool.config.operator import OperatorConfig
    from anisespool.sidecar.optional_features import OptionalFeatures

# Reference cycles are rare, as parsers break theirs when they end: infrequent collections suffice.
GC_THRESHOLDS = (10_000, 20, 20)
RESERVED_CONNECTIONS = 32  # sockets for all but clients and endpoints, and for connections that are closing
MIN_CONNECTIONS = 16  # to clients and endpoints, whatever the platform allows
# Of the connections to clients and endpoints: many clients' are idle, each busy one needs one to an endpoint.
CLIENT_CONNECTION_SHARE = 0.6


async def run(
    config: PlatformConfig,
    signals: Signals,
    on_listening: Callable[[Address], None],
    operator_config: OperatorConfig | None = None,
) -> None:
    """Run one sidecar until `signals.stop` is set and every request that it accepted has its response.

    Args:
        config: From the platform.
        signals: Stop and reload.
        on_listening: Called with the listener's address once it accepts connections.
        operator_config: The operator's file; without one nothing that it could switch on is imported.

    Raises:
        ConfigError: An address can't be listened on, or a section of the operator's file can't be used.
    """
    parts = _Parts(config, signals, operator_config)
    tasks = _start_background_tasks(parts, config.path, signals)
    try:
        await _start_listening(parts, config, tasks, on_listening)
        await signals.stop.wait()
        if parts.features:
            tasks += parts.features.announce_shutdown()
        await stop_listener(parts.server, config.settings)
    finally:
        for task in tasks:
            task.cancel()
        if parts.features:
            await parts.features.close()


async def _start_listening(
    parts: _Parts,
    config: PlatformConfig,
    tasks: list[asyncio.Task[None]],
    on_listening: Callable[[Address], None],
) -> None:
    """Bind the address, start the optional features, and accept once the endpoint list is current."""
    with _listen_errors():
        parts.server.bind(config.listen)
    if parts.features:
        tasks += parts.features.start(parts.controls)
    await _wait_for_current_list(parts.watch, config)
    with _listen_errors():
        on_listening(parts.server.listen())
    gc.freeze()  # objects of the start-up are never freed: collections skip them
    gc.set_threshold(*GC_THRESHOLDS)


class _Parts:
    """The parts of one sidecar, built and wired, not yet started."""

    def __init__(
        self, config: PlatformConfig, signals: Signals, operator_config: OperatorConfig | None
    ) -> None:
        settings = config.settings
        connections = max(MIN_CONNECTIONS, config.max_sockets - RESERVED_CONNECTIONS)
        client_connections = int(connections * CLIENT_CONNECTION_SHARE)
        self.cluster = Cluster(
            settings.load_report_columns,
            settings.connect_timeout_ns,
            config.keepalive_ns,
            connections - client_connections,
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
        )
        self.server = Server(proxy, config.names, settings, client_connections, config.max_sockets)
        self.server.on_reject = recorder.record_rejection if recorder else None
        self.controls = SidecarControls(signals, proxy, self.server, self.watch, config.discovery, recorder)


def _optional_features(
    config: PlatformConfig, operator_config: OperatorConfig | None, cluster: Cluster
) -> OptionalFeatures | None:
    if operator_config is None:
        return None
    from anisespool.sidecar.optional_features import OptionalFeatures

    return OptionalFeatures(config, operator_config, cluster)


def _start_background_tasks(parts: _Parts, config_path: str, signals: Signals) -> list[asyncio.Task[None]]:
    return [
        asyncio.create_task(parts.watch.run()),
        asyncio.create_task(parts.cluster.sweep()),
        asyncio.create_task(reload_when_signalled(config_path, parts.controls, signals.reload)),
        asyncio.create_task(parts.server.sweep()),
    ]


async def _wait_for_current_list(watch: EndpointWatch, config: PlatformConfig) -> None:
    """Where an agent pushes the endpoint list, wait for it before the first request.

    A drain that the agent already has holds from this sidecar's first moment, and the initial list may be
    older than that. The wait ends with the drain's grace period: without an agent the initial list is used.
    """
    if config.settings.discovery_mode is DiscoveryMode.PUSH:
        with suppress(TimeoutError):
            await asyncio.wait_for(watch.first_attempt_done.wait(), config.settings.drain_grace_ns / 1e9)


@contextmanager
def _listen_errors() -> Iterator[None]:
    """An error of the listening socket as one of the variable that names its address."""
    try:
        yield
    except OSError as error:
        raise PlatformConfigError("LB_LISTEN", error) from None
