"""Validation that types can't express: keys that depend on each other, addresses, and known names."""

from __future__ import annotations

from collections.abc import Collection

from anisespool.config.operator.destination import DestinationError, NetworkDestination, Transport
from anisespool.config.operator.errors import (
    OperatorConfigError,
    UnknownClassError,
    UnknownTenantError,
    abbreviated,
)
from anisespool.config.operator.record_sections import Framing, RecordOptions
from anisespool.config.operator.schema import OperatorConfig
from anisespool.config.operator.sections import AgentOptions, EndpointOptions, MembershipOptions
from anisespool.config.platform import Address


def validate_operator_config(config: OperatorConfig, source: str) -> None:
    """Validate a whole file.

    Raises:
        OperatorConfigError: A key contradicts another one, an address is invalid, or an id is listed twice.
    """
    validate_sections_except_agent(config, source)
    if config.agent is None:
        return
    if config.control is None:
        raise OperatorConfigError(source, "control", "nothing", "its folder: the agent looks there")
    _validate_agent(config.agent, source)


def validate_sections_except_agent(config: OperatorConfig, source: str) -> None:
    """Validate all sections except `[agent]`. Also used for a live change, which has no such section.

    Raises:
        OperatorConfigError: Same as for `validate_operator_config`.
    """
    _validate_endpoints(config.endpoints, source)
    if config.discovery.address is not None:
        _validate_address(config.discovery.address, "discovery.address", source)
    if config.records:
        _validate_records(config.records, source)
    if config.membership:
        _validate_membership(config.membership, source)


def validate_sampled_classes(config: OperatorConfig, classes: Collection[str], source: str) -> None:
    """Check that the platform's `classes` include every class with its own sampling shares.

    Raises:
        UnknownClassError: A class is not among them.
    """
    for name in config.sampling.classes:
        if name not in classes:
            raise UnknownClassError(source, name, classes)


def validate_tenants(config: OperatorConfig, tenants: Collection[str], source: str) -> None:
    """Check that the platform's `tenants` include every tenant with its own share.

    Raises:
        UnknownTenantError: A tenant is not among them.
    """
    for name in config.tenants:
        if name not in tenants:
            raise UnknownTenantError(source, name, tenants)


def _validate_agent(agent: AgentOptions, source: str) -> None:
    if agent.tcp_address is None:
        return
    files = {
        "certificate": agent.certificate_file,
        "key": agent.key_file,
        "clients_ca": agent.client_ca_file,
    }
    for key, path in files.items():
        if path is None:
            raise OperatorConfigError(source, f"agent.{key}", "nothing", "a file: TCP needs mutual TLS")
    _validate_address(agent.tcp_address, "agent.tcp", source)


def _validate_endpoints(endpoints: EndpointOptions, source: str) -> None:
    if len(set(endpoints.drained)) != len(endpoints.drained):
        raise OperatorConfigError(source, "endpoints.drained", "an id twice", "each once")


def _validate_records(records: RecordOptions, source: str) -> None:
    try:
        destination = records.parsed_destination
    except DestinationError:
        wanted = "udp://, tcp:// or tls:// with IP:PORT, or unix:///PATH"
        raise OperatorConfigError(source, "records.to", abbreviated(records.destination), wanted) from None
    uses_tls = isinstance(destination, NetworkDestination) and destination.transport is Transport.TLS
    if uses_tls and records.ca_file is None:
        raise OperatorConfigError(source, "records.ca", "nothing", "the file that verifies the receiver")
    if uses_tls and records.framing is not Framing.OCTET_COUNTING:
        raise OperatorConfigError(source, "records.framing", "newline", "octets: TLS has no other")
    if (records.certificate_file is None) is not (records.key_file is None):
        raise OperatorConfigError(source, "records.key", "certificate or key alone", "both or none")


def _validate_membership(membership: MembershipOptions, source: str) -> None:
    shortest_ms = membership.suspicion_min_ms
    longest_ms = membership.suspicion_max_ms
    if shortest_ms > longest_ms:
        wanted = f"at most longest_ms, {longest_ms:g}"
        raise OperatorConfigError(source, "peers.shortest_ms", f"{shortest_ms:g}", wanted)


def _validate_address(value: str, key: str, source: str) -> None:
    try:
        Address.parse(value)
    except ValueError:
        raise OperatorConfigError(source, key, abbreviated(value), "host:port") from None
