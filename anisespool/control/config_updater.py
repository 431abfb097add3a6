"""The operator's configuration in force: the file that was read at startup, with the sections of the last
configuration update in place of its own.
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

# Sources of a configuration, as named in error texts.
STARTUP_SOURCE = "the operator's file"
DOCUMENT_SOURCE = "document"


class ConfigUpdater:
    """Owns the applied configuration. Updates are atomic: each is applied between two events of the loop.

    Attributes:
        applied: Generation and digest of the last update.
        effective_config: The operator's configuration with the sections of that update.
    """

    def __init__(
        self,
        config: PlatformConfig,
        operator_config: OperatorConfig,
        proxy: ObservedProxy,
        controls: RuntimeControls,
        drains: OperatorDrains,
    ) -> None:
        """Apply `operator_config` as generation 0.

        Raises:
            UnknownTenantError: The platform does not define one of the tenants.
        """
        self.applied = AppliedConfig(0, operator.digest(LiveConfig()))
        self.effective_config = operator_config
        self._startup_config = operator_config
        self._platform_config = config
        self._proxy = proxy
        self._controls = controls
        self._drains = drains
        operator.validate_tenants(operator_config, config.names.tenants, STARTUP_SOURCE)
        self._configure_subsystems()

    def validate(self, request: ValidateRequest) -> str:
        """Return the digest of the content if this instance could apply it. Nothing is changed.

        Raises:
            InvalidDocumentError: The content is not a valid configuration for this instance.
            LastEndpointError: Applying the content would leave no endpoint to send to.
        """
        live, effective = self._parse(request.content)
        drained = self._drains.sources.all | frozenset(effective.endpoints.drained)
        self._drains.check_allowed(drained, request.force)
        return operator.digest(live)

    def apply(self, request: ApplyRequest) -> bool:
        """Apply an update; return False if it is applied already.

        Raises:
            InvalidDocumentError: The content is not a valid configuration for this instance.
            DamagedUpdateError: The digest of the content differs from the one in the update's header.
            UpdateRejectedError: The update is not a successor of the applied configuration.
            LastEndpointError: Applying the content would leave no endpoint to send to.
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
        self.effective_config = effective
        self.applied = AppliedConfig(update.generation, update.digest)
        self._drains.set_document(drained)
        self._proxy.event_log.record(ConfigApplied(update.generation))
        self._configure_subsystems()
        return True

    def _parse(self, content: object) -> tuple[LiveConfig, OperatorConfig]:
        """Return the sections in `content`, and the startup configuration overridden by them.

        Raises:
            InvalidDocumentError: The content is not a valid configuration for this instance.
        """
        names = self._platform_config.names
        try:
            live = operator.parse_live_config(content, DOCUMENT_SOURCE)
            effective = self._startup_config.with_live_config(live)
            operator.validate_tenants(effective, names.tenants, DOCUMENT_SOURCE)
            operator.validate_sampled_classes(effective, names.classes, DOCUMENT_SOURCE)
        except ConfigError as error:
            raise InvalidDocumentError(str(error)) from None
        return live, effective

    def _tenant_shares(self) -> dict[int, float]:
        """Return the shares in force by the tenants' indexes in the platform's settings."""
        shares = {index: tenant.share for index, tenant in enumerate(self._platform_config.settings.tenants)}
        indexes = self._platform_config.names.tenants
        for name, tenant in self.effective_config.tenants.items():
            shares[indexes[name]] = tenant.share
        return shares

    def _configure_subsystems(self) -> None:
        """Pass the effective configuration to the subsystems. Runs between two events of the loop."""
        connections = self.effective_config.connections
        timeout_ms = connections.connect_timeout_ms
        self._proxy.configure_connections(
            connections.max_idle_per_endpoint,
            connections.reuse_delay_ms / 1e3,
            timeout_ms / 1e3 if timeout_ms else None,
        )
        self._controls.set_client_idle_timeout(connections.client_idle_timeout_s)
        self._controls.set_sampling(self.effective_config.sampling)
        address = self.effective_config.discovery.address
        self._controls.set_discovery_address(Address.parse(address) if address else None)
        self._proxy.set_tenant_shares(self._tenant_shares())
        self._drains.publish()
