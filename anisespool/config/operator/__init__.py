"""The operator's configuration: a TOML file, and live changes to it.

The file enables optional features, which are off without it. Importing this package imports msgspec, so a
sidecar that was started without an operator's file never imports it.

A `LiveConfig` holds the sections that can change while an instance runs, as one document with a generation
and a digest. The other sections are read only once, at the start.
"""

from anisespool.config.operator.canonical import canonical_json, digest, to_tables
from anisespool.config.operator.destination import (
    Destination,
    DestinationError,
    NetworkDestination,
    Transport,
    UnixDestination,
    parse_destination,
)
from anisespool.config.operator.errors import (
    OperatorConfigError,
    OperatorSyntaxError,
    UnknownClassError,
    UnknownTenantError,
)
from anisespool.config.operator.parsing import (
    MAX_DOCUMENT_BYTES,
    parse_live_config,
    parse_operator_config,
    parse_toml,
    read_operator_config,
)
from anisespool.config.operator.record_sections import ClassSampling, Framing, RecordOptions, SamplingOptions
from anisespool.config.operator.schema import LIVE_SECTIONS, LiveConfig, OperatorConfig
from anisespool.config.operator.sections import (
    MAX_DRAINED_ENDPOINTS,
    AgentOptions,
    ConnectionOptions,
    ControlOptions,
    DiscoveryOptions,
    EndpointOptions,
    MembershipOptions,
    TenantOptions,
)
from anisespool.config.operator.tables import Tables
from anisespool.config.operator.validation import validate_sampled_classes, validate_tenants

__all__ = [
    "LIVE_SECTIONS",
    "MAX_DOCUMENT_BYTES",
    "MAX_DRAINED_ENDPOINTS",
    "AgentOptions",
    "ClassSampling",
    "ConnectionOptions",
    "ControlOptions",
    "Destination",
    "DestinationError",
    "DiscoveryOptions",
    "EndpointOptions",
    "Framing",
    "LiveConfig",
    "MembershipOptions",
    "NetworkDestination",
    "OperatorConfig",
    "OperatorConfigError",
    "OperatorSyntaxError",
    "RecordOptions",
    "SamplingOptions",
    "Tables",
    "TenantOptions",
    "Transport",
    "UnixDestination",
    "UnknownClassError",
    "UnknownTenantError",
    "canonical_json",
    "digest",
    "parse_destination",
    "parse_live_config",
    "parse_operator_config",
    "parse_toml",
    "read_operator_config",
    "to_tables",
    "validate_sampled_classes",
    "validate_tenants",
]
