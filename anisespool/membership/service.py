"""Runs the protocol in a sidecar, from start to shutdown: socket, timer, publication of events and views."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable

from anisespool.config.clock import wall_ns
from anisespool.config.operator import MembershipOptions
from anisespool.config.platform import ConfigError, PeerAddresses, PlatformConfig
from anisespool.config.platform_loader import read_peer_addresses
from anisespool.log import log_event
from anisespool.membership.config import NS_PER_MS, NS_PER_S, MembershipConfig
from anisespool.membership.events import MembershipEvent, ViewChanged
from anisespool.membership.messages import Message, Outgoing
from anisespool.membership.protocol import MembershipProtocol
from anisespool.membership.report import JsonObject, build_report, to_json_object
from anisespool.membership.transport import UdpTransport
from anisespool.membership.view import MembershipView, format_ranges

# Boots are milliseconds since this time; 40 bits last for 34 years.
BOOT_EPOCH_S = 1_700_000_000
MIN_TICK_INTERVAL_S = 0.002
# Delay before binding is retried, and before the next tick after an error.
RETRY_S = 0.5
# Delay after the last message, in which the socket's buffer empties.
LINGER_S = 0.02


class MembershipService:
    """Runs the protocol on the event loop. An error in it is logged and affects no request.

    Attributes:
        protocol: The protocol core.
        on_view: Called with each new version of the view, if set.
    """

    def __init__(
        self,
        config: PlatformConfig,
        options: MembershipOptions,
        on_event: Callable[[MembershipEvent], None],
    ) -> None:
        """Create a service that opens no socket before `start`.

        Args:
            config: The platform's configuration, whose file has the peers' addresses.
            options: The section `[peers]` of the operator's file.
            on_event: Called with each event, for the instance's event log.

        Raises:
            ConfigError: The configuration has no address for this member.
        """
        self._addresses = _peer_addresses(config)
        self._max_datagrams_per_s = options.max_datagrams_per_s
        self._on_event = on_event
        self.protocol = MembershipProtocol(
            config.settings.self_index,
            boot=max(1, wall_ns() // NS_PER_MS - BOOT_EPOCH_S * 1000),
            fleet_size=len(self._addresses.peers),
            random_below=random.Random(f"{config.seed}-{wall_ns()}").randrange,
            config=_protocol_config(options),
        )
        self.on_view: Callable[[MembershipView], None] | None = None
        self._transport: UdpTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._published_version = -1

    def start(self, is_retry: bool = False) -> None:
        """Bind the address and start the protocol, or log the failure once and retry every RETRY_S.

        At a restart the previous process may still hold the address, and requests must not wait for it.

        Args:
            is_retry: Whether the failure has already been logged.
        """
        try:
            self._transport = UdpTransport(
                self._addresses.listen, self._addresses.peers, self._max_datagrams_per_s, self._receive
            )
        except OSError as error:
            if not is_retry:
                address = "{}:{}".format(*self._addresses.listen)
                log_event("membership_bind_failed", address=address, error=error, retry_s=RETRY_S)
            self._timer = asyncio.get_running_loop().call_later(RETRY_S, self.start, True)
            return
        self._send(self.protocol.start(time.monotonic_ns()))
        self._schedule_tick()

    async def stop(self) -> None:
        """Announce the shutdown to other members, and close the socket after LINGER_S."""
        if self._timer:
            self._timer.cancel()
        if self._transport:
            self._send(self.protocol.leave(time.monotonic_ns()))
        await asyncio.sleep(LINGER_S)
        self.close()

    def close(self) -> None:
        """Close the socket without an announcement; a second call does nothing."""
        if self._timer:
            self._timer.cancel()
        if self._transport:
            self._transport.close()

    def describe(self) -> JsonObject:
        """Return the response to `GET /v1/peers`, which `anisespool peers` reads."""
        counts = self._transport.counts if self._transport else {}
        datagrams = {counter.value: count for counter, count in counts.items()}
        return to_json_object(build_report(self.protocol, datagrams, time.monotonic_ns()))

    def _schedule_tick(self, min_delay_s: float = MIN_TICK_INTERVAL_S) -> None:
        loop = asyncio.get_running_loop()
        at_s = max(self.protocol.next_tick_at_ns / NS_PER_S, loop.time() + min_delay_s)
        self._timer = loop.call_at(at_s, self._tick)

    def _tick(self) -> None:
        try:
            self._send(self.protocol.tick(time.monotonic_ns()))
        except Exception as error:
            # An error must neither affect requests nor recur immediately.
            log_event("membership_tick_failed", error=repr(error), retry_s=RETRY_S)
            self._schedule_tick(RETRY_S)
            return
        self._schedule_tick()

    def _receive(self, sender: int, message: Message) -> None:
        try:
            self._send(self.protocol.receive(time.monotonic_ns(), sender, message))
        except Exception as error:
            # An error must affect neither requests nor the reading of other datagrams.
            log_event("membership_message_failed", member=sender, error=repr(error))

    def _send(self, outgoing: list[Outgoing]) -> None:
        if self._transport:
            for recipient, message in outgoing:
                self._transport.send(recipient, message)
        self._publish()

    def _publish(self) -> None:
        """Publish the events since the last call, and the view if its version is new."""
        for event in self.protocol.take_events():
            self._on_event(event)
        view = self.protocol.view()
        if view.version != self._published_version:
            self._published_version = view.version
            active = view.alive | view.suspect
            self._on_event(ViewChanged(format_ranges(active), len(active)))
            if self.on_view:
                self.on_view(view)


def _peer_addresses(config: PlatformConfig) -> PeerAddresses:
    addresses = read_peer_addresses(config.path)
    number = config.settings.self_index
    if number >= len(addresses.peers):
        raise ConfigError(
            f"LB_CONFIG: key peers: found {len(addresses.peers)} addresses, wanted one for member {number}"
        )
    return addresses


def _protocol_config(options: MembershipOptions) -> MembershipConfig:
    """Convert the operator's options from ms to ns; other parameters keep their defaults."""
    return MembershipConfig(
        probe_interval_ns=int(options.probe_interval_ms * NS_PER_MS),
        ping_timeout_ns=int(options.ping_timeout_ms * NS_PER_MS),
        probe_timeout_ns=int(options.probe_timeout_ms * NS_PER_MS),
        indirect_probes=options.indirect_probes,
        suspicion_min_ns=int(options.suspicion_min_ms * NS_PER_MS),
        suspicion_max_ns=int(options.suspicion_max_ms * NS_PER_MS),
        confirmations=options.confirmations,
        gossip_interval_ns=int(options.gossip_interval_ms * NS_PER_MS),
        fanout=options.fanout,
        pause_threshold_ns=int(options.pause_threshold_ms * NS_PER_MS),
        pause_grace_ns=int(options.pause_grace_ms * NS_PER_MS),
        anti_entropy_interval_ns=int(options.anti_entropy_interval_ms * NS_PER_MS),
        reconnect_interval_ns=int(options.reconnect_interval_ms * NS_PER_MS),
    )
