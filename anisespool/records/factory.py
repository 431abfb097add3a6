"""Creates a sidecar's recorder and its channel opener from the operator's file."""

from __future__ import annotations

import os
import socket
from functools import partial
from pathlib import Path

from anisespool.config.operator import RecordOptions, SamplingOptions, Transport, UnixDestination
from anisespool.config.platform import Address, ConfigError, PlatformConfig
from anisespool.records.encoder import LengthLimits, RecordEncoder
from anisespool.records.recorder import Recorder, create_sampler
from anisespool.records.rfc5424 import Origin, OriginError
from anisespool.records.tls_channel import TlsChannel, load_tls_settings
from anisespool.records.transports import Channel, ChannelOpener, DatagramChannel, TcpChannel


def create_recorder(options: RecordOptions, sampling: SamplingOptions, config: PlatformConfig) -> Recorder:
    """Return the recorder configured by the sections `records` and `sampling`.

    Raises:
        ConfigError: The machine's host name is not valid in a record's header.
    """
    class_names = tuple(config.names.classes)
    hostname = options.hostname or socket.gethostname()
    origin = Origin(options.facility, hostname, options.app_name, str(os.getpid()))
    try:
        encoder = RecordEncoder.create(
            origin,
            options.enterprise_number,
            config.name,
            class_names,
            LengthLimits(options.max_record_bytes, options.max_value_bytes),
        )
    except OriginError as error:
        raise ConfigError(f"records.{error}") from None
    return Recorder(encoder, options, create_sampler(sampling, class_names), class_names)


def channel_opener(options: RecordOptions) -> ChannelOpener:
    """Return a function that opens a channel to the receiver.

    Raises:
        ConfigError: A certificate or key file is missing or invalid.
    """
    destination = options.parsed_destination
    if isinstance(destination, UnixDestination):
        return _datagram_opener(destination.path)
    if destination.transport is Transport.UDP:
        return _datagram_opener(destination.address)
    if destination.transport is Transport.TCP:
        return partial(TcpChannel.connect, destination.address)
    return _tls_opener(options, destination.address)


def _datagram_opener(receiver: Address | Path) -> ChannelOpener:
    async def open_channel() -> Channel:
        return DatagramChannel.open(receiver)

    return open_channel


def _tls_opener(options: RecordOptions, address: Address) -> ChannelOpener:
    assert options.ca_file  # Guaranteed by the validation of the options.
    server_name = options.server_name or address.host
    try:
        settings = load_tls_settings(options.ca_file, server_name, options.certificate_file, options.key_file)
    except OSError as error:
        raise ConfigError(f"records.ca, certificate, key: {error}") from None
    return partial(TlsChannel.connect_tls, address, settings)
