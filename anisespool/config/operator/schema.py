"""The schemas of the operator's file and of its sections that can change while an instance runs."""

from __future__ import annotations

import msgspec
from msgspec import field

from anisespool.config.operator.record_sections import RecordOptions, SamplingOptions
from anisespool.config.operator.section import Section
from anisespool.config.operator.sections import (
    AgentOptions,
    ConnectionOptions,
    ControlOptions,
    DiscoveryOptions,
    EndpointOptions,
    MembershipOptions,
    Tenants,
)


class LiveConfig(Section, frozen=True, kw_only=True, omit_defaults=True):
    """A live change.

    Its sections replace those of the instance's own file. The file applies to sections that the change lacks,
    so an empty change restores the configuration of the file.
    """

    endpoints: EndpointOptions | None = None
    connections: ConnectionOptions | None = None
    discovery: DiscoveryOptions | None = None
    tenants: Tenants | None = field(default=None, name="members")
    sampling: SamplingOptions | None = None


class OperatorConfig(Section, frozen=True, kw_only=True):
    """The operator's file, with all its sections."""

    control: ControlOptions | None = None
    agent: AgentOptions | None = None
    endpoints: EndpointOptions = EndpointOptions()
    connections: ConnectionOptions = ConnectionOptions()
    discovery: DiscoveryOptions = DiscoveryOptions()
    tenants: Tenants = field(default_factory=dict, name="members")
    records: RecordOptions | None = None
    membership: MembershipOptions | None = field(default=None, name="peers")
    sampling: SamplingOptions = SamplingOptions()

    def with_live_config(self, live: LiveConfig) -> OperatorConfig:
        """Return a copy of this configuration whose sections are replaced by those that `live` has."""
        sections = {name: getattr(live, name) for name in _LIVE_FIELDS}
        given = {name: section for name, section in sections.items() if section is not None}
        return msgspec.structs.replace(self, **given)


_LIVE_FIELDS = tuple(field.name for field in msgspec.structs.fields(LiveConfig))

# Names of the live sections in the file.
LIVE_SECTIONS = tuple(field.encode_name for field in msgspec.structs.fields(LiveConfig))
