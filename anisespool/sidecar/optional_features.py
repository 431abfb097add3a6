"""Features that an operator's file enables: request records, membership and the control socket.

This module is imported only with such a file, and the package of a feature only if the file has its section.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from anisespool.config.operator import OperatorConfig, validate_sampled_classes
from anisespool.config.platform import PlatformConfig
from anisespool.log import log_event
from anisespool.proxy.observed import ObservedProxy
from anisespool.sidecar.live_controls import SidecarControls
from anisespool.upstream.cluster import Cluster

if TYPE_CHECKING:
    from anisespool.membership.service import MembershipService
    from anisespool.records.recorder import Recorder


class OptionalFeatures:
    """The features of a sidecar that its operator's file enables.

    Attributes:
        recorder: Writes request records. None without `[records]`.
        proxy: A proxy that counts and reports its work, and also records requests if there is a recorder.
    """

    def __init__(self, config: PlatformConfig, operator_config: OperatorConfig, cluster: Cluster) -> None:
        """Start the recorder and build the proxy.

        Raises:
            ConfigError: `[records]` can't be used on this machine, or an unknown request class is sampled.
        """
        self._config = config
        self._operator_config = operator_config
        self._membership: MembershipService | None = None
        self.recorder = _start_recorder(config, operator_config)
        self.proxy = _build_proxy(config, cluster, self.recorder)

    def start(self, controls: SidecarControls) -> list[asyncio.Task[None]]:
        """Start the membership protocol, apply the live sections of the file and open the control socket.

        Returns:
            Tasks that the caller cancels at the end.

        Raises:
            ConfigError: The platform's file doesn't name the peers, or the socket's directory can't be used.
        """
        self._membership = _start_membership(self._config, self._operator_config, self.proxy)
        return self._start_control(controls)

    def announce_shutdown(self) -> list[asyncio.Task[None]]:
        """Announce the shutdown to the other sidecars while the last requests are served.

        Returns:
            Tasks that the caller cancels at the end.
        """
        if self._membership is None:
            return []
        return [asyncio.create_task(self._membership.stop())]

    async def close(self) -> None:
        """Close the membership service, and write the records that still wait."""
        if self._membership:
            self._membership.close()
        if self.recorder:
            await self.recorder.close()

    def _start_control(self, controls: SidecarControls) -> list[asyncio.Task[None]]:
        """Apply the live sections of the file, and open the control socket if the file has `[control]`."""
        from anisespool.control import routes
        from anisespool.control.handlers import ControlHandlers
        from anisespool.control.server import serve
        from anisespool.control.socket_directory import prepare_directory
        from anisespool.proxy.event_log import watch_pauses

        handlers = ControlHandlers(self._config, self._operator_config, self.proxy, controls)
        membership = self._membership
        if membership:
            handlers.by_route[routes.LIST_MEMBERS] = lambda body: membership.describe()
        options = self._operator_config.control
        if options is None:
            return []
        directory = prepare_directory(options.directory)
        return [
            asyncio.create_task(serve(directory, self._config.name, options, handlers.by_route)),
            asyncio.create_task(watch_pauses(self.proxy.event_log)),
        ]


def _start_recorder(config: PlatformConfig, operator_config: OperatorConfig) -> Recorder | None:
    if operator_config.records is None:
        return None
    from anisespool.records.factory import channel_opener, create_recorder

    validate_sampled_classes(operator_config, list(config.names.classes), "the operator's file")
    recorder = create_recorder(operator_config.records, operator_config.sampling, config)
    recorder.start(channel_opener(operator_config.records))
    return recorder


def _build_proxy(config: PlatformConfig, cluster: Cluster, recorder: Recorder | None) -> ObservedProxy:
    if recorder is None:
        return ObservedProxy(config, cluster)
    from anisespool.records.recorded_proxy import RecordedProxy

    return RecordedProxy(config, cluster, recorder)


def _start_membership(
    config: PlatformConfig, operator_config: OperatorConfig, proxy: ObservedProxy
) -> MembershipService | None:
    """Start the membership protocol if the platform's settings allow it too; otherwise import none of it."""
    if operator_config.membership is None:
        return None
    if not config.settings.may_gossip:
        log_event("membership_disabled", setting="allowed.peers")
        return None
    from anisespool.membership.service import MembershipService

    membership = MembershipService(config, operator_config.membership, proxy.event_log.record)
    membership.start()
    return membership
