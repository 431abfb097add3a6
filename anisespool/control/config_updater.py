"""The operator's configuration in force: the file read at the start, with the sections of the last update in
place of its own.
"""

from __future__ import annotations

from anisespool.config import operator
from anisespool.config.operator import LiveConfig, OperatorConfig
from anisespool.config.platform import Address, ConfigError, PlatformConfig
from anisespool.control.errors import DamagedUpdateError, InvalidDocumentError, UpdateRejectedError
from anisespool.control.generations import AppliedConfig, ApplyDecision, decide_update
from anisespool.control.operator_drains import OperatorDrains
from anisespool.control.requests import ApplyRequest, ValidateRequest
from anisespool.proxy.event_log import ConfigApplied
from anisespool.proxy.observed import ObservedProxy
from anisespool.proxy.runtime_controls import RuntimeControls

START_SOURCE = "the operator's file"  # named in errors
DOCUMENT_SOURCE = "document"


class ConfigUpdater:
    """Owner of the applied configuration. An update is applied completely between two events, or not at all.

    Attributes:
        applied: Generation and digest of the last update.
        effective: The operator's configuration with the sections of that update.
    """

    def __init__(
        self,
        config: PlatformConfig,
        operator_config: OperatorConfig,
        proxy: ObservedProxy,
        controls: RuntimeControls,
        drains: OperatorDrains,
    ) -> None:
        """Put `operator_config` in force as generation 0.

        Raises:
            UnknownTenantError: A tenant of it is none of the platform's.
        """
        self.applied = AppliedConfig(0, operator.digest(LiveConfig()))
        self.effective = operator_config
        self._at_start = operator_config
        self._platform_config = config
        self._proxy = proxy
        self._controls = controls
        self._drains = drains
        operator.validate_tenants(operator_config, config.names.tenants, START_SOURCE)
        self._put_in_force()

    def validate(self, request: ValidateRequest) -> str:
        """Return the digest of a content that could be applied here; nothing changes.

        Raises:
            InvalidDocumentError: The content is no valid configuration for this instance.
            LastEndpointError: It would leave no endpoint to send to.
        """
        live, effective = self._parse(request.content)
        drained = self._drains.sources.all | frozenset(effective.endpoints.drained)
        self._drains.check_allowed(drained, request.force)
        return operator.digest(live)

    def apply(self, request: ApplyRequest) -> bool:
        """Apply an update; return False if it was applied before.

        Raises:
            InvalidDocumentError: The content is no valid configuration for this instance.
            DamagedUpdateError: The content does not have the digest of the update.
            UpdateRejectedError: The update does not follow on the applied configuration.
            LastEndpointError: It would leave no endpoint to send to.
        """
        live, effective = self._parse(request.content)
        update = request.update
        decision = decide_update(self.applied, update, operator.digest(live))
        if decision is ApplyDecision.ALREADY_APPLIED:
            return False
        if decision is ApplyDecision.DIGEST_MISMATCH:
            raise DamagedUpdateError(update)
        if decision is not ApplyDecision.APPLY:
            raise UpdateRejectedError(decision, self.applied, update)
        drained = frozenset(effective.endpoints.drained)
        self._drains.check_document(drained, request.force)
        self.effective = effective
        self.applied = AppliedConfig(update.generation, update.digest)
        self._drains.set_document(drained)
        self._proxy.event_log.record(ConfigApplied(update.generation))
        self._put_in_force()
        return True

    def _parse(self, content: object) -> tuple[LiveConfig, OperatorConfig]:
        """Return the sections of the update, and the operator's configuration with them.

        Raises:
            InvalidDocumentError: The content is no valid configuration for this instance.
        """
        names = self._platform_config.names
        try:
            live = operator.parse_live_config(content, DOCUMENT_SOURCE)
            effective = self._at_start.with_live_config(live)
            operator.validate_tenants(effective, names.tenants, DOCUMENT_SOURCE)
            operator.validate_sampled_classes(effective, names.classes, DOCUMENT_SOURCE)
        except ConfigError as error:
            raise InvalidDocumentError(str(error)) from None
        return live, effective

    def _tenant_shares(self) -> dict[int, float]:
        """Return the shares in force, by the tenant's place in the platform's settings."""
        shares = {
            number: tenant.share for number, tenant in enumerate(self._platform_config.settings.tenants)
        }
        numbers = self._platform_config.names.tenants
        for name, tenant in self.effective.tenants.items():
            shares[numbers[name]] = tenant.share
        return shares

    def _put_in_force(self) -> None:
        """Pass the configuration to the subsystems that it configures, between two events of the loop."""
        connections = self.effective.connections
        timeout_ms = connections.connect_timeout_ms
        self._proxy.configure_connections(
            connections.max_idle_per_endpoint,
            connections.reuse_delay_ms / 1e3,
            timeout_ms / 1e3 if timeout_ms else None,
        )
        self._controls.set_client_idle_timeout(connections.client_idle_timeout_s)
        self._controls.set_sampling(self.effective.sampling)
        address = self.effective.discovery.address
        self._controls.set_discovery_address(Address.parse(address) if address else None)
        self._proxy.set_tenant_shares(self._tenant_shares())
        self._drains.publish()
