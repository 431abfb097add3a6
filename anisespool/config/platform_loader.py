"""Loads the platform's configuration from environment variables and the JSON file that LB_CONFIG names."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Any

from anisespool.balancer import Settings, SettingsError
from anisespool.config.clock import wall_ns
from anisespool.config.platform import (
    Address,
    EndpointList,
    NameIndex,
    PeerAddresses,
    PlatformConfig,
    PlatformConfigError,
    parse_endpoint_list,
)
from anisespool.config.platform.platform_file import FILE_VARIABLE, PlatformFile
from anisespool.log import log_event

DEFAULT_MAX_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
BYTES_PER_MB = 1_000_000
DEFAULT_KEEPALIVE_NS = 15_000_000_000
EMPTY_ENDPOINT_LIST = EndpointList(revision=0, complete=True, endpoints=())


def load_platform_config(environment: Mapping[str, str]) -> PlatformConfig:
    """Load the whole configuration.

    Raises:
        PlatformConfigError: A variable or a key of the file is missing or invalid.
    """
    path = _variable(environment, FILE_VARIABLE)
    file = PlatformFile.read(path)
    raw_settings = file.convert("settings", PlatformFile)
    settings = _settings(raw_settings)
    names = _name_index(raw_settings)
    return PlatformConfig(
        path=path,
        name=_variable(environment, "LB_NAME"),
        listen=_address(environment, "LB_LISTEN"),
        discovery=_address(environment, "LB_DISCOVERY"),
        seed=file.convert("seed", _parse_seed),
        max_sockets=file.positive_number("limits", "sockets", DEFAULT_MAX_SOCKETS),
        max_memory_bytes=BYTES_PER_MB * file.positive_number("limits", "memory_mb", DEFAULT_MEMORY_MB),
        keepalive_ns=raw_settings.positive_number("allowed", "keepalive-ns", DEFAULT_KEEPALIVE_NS),
        settings=settings,
        names=names,
        initial_endpoints=_initial_endpoints(file, names),
    )


def read_discovery_address(path: str) -> Address:
    """Read the address of the discovery service from the file.

    Raises:
        PlatformConfigError: The file can't be read, or its key `discovery` is missing or invalid.
    """
    return PlatformFile.read(path).convert("discovery", Address.parse)


def read_peer_addresses(path: str) -> PeerAddresses:
    """Read the keys `peer_listen`, `peers` and `peers_all` from the file.

    Raises:
        PlatformConfigError: The file can't be read, or one of the keys is invalid.
    """
    file = PlatformFile.read(path)
    return PeerAddresses(
        listen=file.convert("peer_listen", Address.parse),
        peers=file.convert("peers", lambda addresses: tuple(map(Address.parse, addresses or ()))),
        broadcast=file.convert("peers_all", lambda text: Address.parse(text) if text else None),
    )


def _variable(environment: Mapping[str, str], name: str) -> str:
    if not environment.get(name):
        raise PlatformConfigError(name, "not set")
    return environment[name]


def _address(environment: Mapping[str, str], name: str) -> Address:
    text = _variable(environment, name)
    try:
        return Address.parse(text)
    except ValueError as error:
        raise PlatformConfigError(name, error) from None


def _settings(raw_settings: PlatformFile) -> Settings:
    try:
        return Settings.from_dict(raw_settings.raw)
    except (SettingsError, ValueError, OverflowError) as error:
        raise PlatformConfigError(FILE_VARIABLE, error) from None


def _parse_seed(raw: Any) -> int:
    try:
        return int(raw, 16)
    except (TypeError, ValueError):
        raise ValueError(f"{raw!r} is not a hexadecimal number") from None


def _name_index(raw_settings: PlatformFile) -> NameIndex:
    """Return the indexes of the names in the settings, with the current clock offset for endpoint lists."""
    monotonic_epoch_ns = wall_ns() - time.monotonic_ns()
    return NameIndex(
        classes=raw_settings.indexes_by_name("request-classes", _entry_name),
        tenants=raw_settings.indexes_by_name("tenants", _entry_name),
        zones=raw_settings.indexes_by_name("zones", str),
        machine_types=raw_settings.indexes_by_name("skus", str),
        monotonic_epoch_ns=monotonic_epoch_ns,
    )


def _entry_name(entry: Any) -> str:
    name: str = entry["name"]
    return name


def _initial_endpoints(file: PlatformFile, names: NameIndex) -> EndpointList:
    """Return the initial endpoint list, and log each of its entries that can't be read."""
    endpoints = file.convert(
        "known", lambda raw: EMPTY_ENDPOINT_LIST if raw is None else parse_endpoint_list(raw, names)
    )
    for fault in endpoints.faults:
        log_event("initial_endpoint_unreadable", error=fault)
    return endpoints
