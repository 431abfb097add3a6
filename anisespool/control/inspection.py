"""Builds the state and description of an instance for the control socket. Read only."""

from __future__ import annotations

import os
import time
from uuid import uuid4

from anisespool import __version__
from anisespool.balancer.inspection import EndpointView, describe_settings
from anisespool.config import operator
from anisespool.config.clock import wall_ns
from anisespool.config.platform import PlatformConfig
from anisespool.control.config_updater import ConfigUpdater
from anisespool.control.operator_drains import OperatorDrains
from anisespool.control.responses import (
    EndpointDescription,
    EndpointStateName,
    InstanceDescription,
    InstancePhase,
    InstanceState,
    JsonObject,
    json_object,
)
from anisespool.proxy.observed import ObservedProxy
from anisespool.proxy.runtime_controls import RuntimeControls

BOOT_ID_CHARACTERS = 16
MAX_DESCRIBED_ENDPOINTS = 256  # Further endpoints count in `endpoints_total` only.
# Descriptions are cached, so that a client that polls fast does not slow application requests down.
DESCRIPTION_MAX_AGE_NS = 100_000_000


class Inspector:
    """Describes one instance from the state of its subsystems.

    Attributes:
        boot: A random id that identifies this run of the process.
    """

    def __init__(
        self,
        config: PlatformConfig,
        proxy: ObservedProxy,
        controls: RuntimeControls,
        config_updater: ConfigUpdater,
        drains: OperatorDrains,
    ) -> None:
        """Generate the boot id and start the uptime."""
        self.boot = uuid4().hex[:BOOT_ID_CHARACTERS]
        self._config = config
        self._proxy = proxy
        self._controls = controls
        self._config_updater = config_updater
        self._drains = drains
        self._started_ns = time.monotonic_ns()  # Monotonic time.
        self._started_ms = wall_ns() // 1_000_000  # Unix time.
        self._description: JsonObject = {}
        self._described_at_ns = -DESCRIPTION_MAX_AGE_NS  # Monotonic time of the cached description.
        self._described_publish_count = -1  # `drains.publish_count` at that time.

    def state(self) -> InstanceState:
        """Return the current state."""
        drains = self._drains
        return InstanceState(
            name=self._config.name,
            pid=os.getpid(),
            boot=self.boot,
            build=__version__,
            started_ms=self._started_ms,
            uptime_s=round((time.monotonic_ns() - self._started_ns) / 1e9, 3),
            phase=InstancePhase(self._controls.phase),
            generation=self._config_updater.applied.generation,
            digest=self._config_updater.applied.digest,
            drained=sorted(drains.sources.all),
            drained_by_hand=sorted(drains.sources.by_hand),
            drained_by_fleet=sorted(drains.sources.fleet),
            drains_revision=drains.fleet_revision,
        )

    def description(self) -> JsonObject:
        """Return InstanceDescription as JSON, cached until it expires or drains are published."""
        now_ns = time.monotonic_ns()
        is_expired = now_ns - self._described_at_ns >= DESCRIPTION_MAX_AGE_NS
        if is_expired or self._described_publish_count != self._drains.publish_count:
            self._description = json_object(self._describe(now_ns))
            self._described_at_ns = now_ns
            self._described_publish_count = self._drains.publish_count
        return self._description

    def _describe(self, now_ns: int) -> InstanceDescription:
        balancer = self._proxy.inspect_balancer(now_ns, MAX_DESCRIBED_ENDPOINTS)
        ids = self._proxy.endpoint_ids()
        classes = zip(self._config.names.classes, self._proxy.response_counts, strict=True)
        return InstanceDescription(
            listen="{}:{}".format(*self._config.listen),
            open_requests=balancer.open_requests,
            queueing_ratio=round(balancer.queueing_ratio, 4),
            clients=self._controls.client_connections(),
            settings=describe_settings(self._config.settings),
            classes={name: counts.as_json() for name, counts in classes},
            endpoints=[
                self._describe_endpoint(ids[view.endpoint], view)
                for view in balancer.endpoints
                if view.endpoint in ids
            ],
            endpoints_total=len(ids),
            file=operator.to_tables(self._config_updater.effective_config),
            live_keys=list(operator.LIVE_SECTIONS),
        )

    def _describe_endpoint(self, endpoint_id: str, view: EndpointView) -> EndpointDescription:
        listed = self._proxy.describe_endpoint(endpoint_id)
        idle, connecting = self._proxy.connection_counts(view.endpoint)
        sources = self._drains.sources.of(endpoint_id)
        return EndpointDescription(
            id=endpoint_id,
            address=listed.address,
            listed=EndpointStateName(listed.state),
            state=EndpointStateName.of(view.state),
            drained_by="+".join(source.value for source in sources),
            weight=round(view.weight, 4),
            slowdown=round(view.slowdown, 3),
            queue=round(view.queue, 2),
            in_flight=view.in_flight,
            warmup_left_s=round(view.warmup_remaining_ns / 1e9, 1),
            idle=idle,
            connecting=connecting,
        )
