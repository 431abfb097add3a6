"""Handlers of the control socket: each decodes a request, calls the owner of the state and returns JSON.

Handlers are synchronous functions that run between two events of the loop, so application requests see a
change completely or not at all. A handler that awaited would break this.
"""

from __future__ import annotations

from anisespool.config.operator import OperatorConfig
from anisespool.config.platform import PlatformConfig
from anisespool.control import requests, routes
from anisespool.control.config_updater import ConfigUpdater
from anisespool.control.inspection import Inspector
from anisespool.control.operator_drains import OperatorDrains
from anisespool.control.requests import RequestBody
from anisespool.control.responses import ChangeResult, JsonObject, ValidateResponse, json_object
from anisespool.control.router import Handler
from anisespool.control.routes import Route
from anisespool.proxy.event_log import ShutdownRequested
from anisespool.proxy.observed import ObservedProxy
from anisespool.proxy.runtime_controls import RuntimeControls


class ControlHandlers:
    """The handlers of one instance, and the state that they work on.

    Attributes:
        by_route: The handler of each route. Other subsystems may add routes.
    """

    def __init__(
        self,
        config: PlatformConfig,
        operator_config: OperatorConfig,
        proxy: ObservedProxy,
        controls: RuntimeControls,
    ) -> None:
        """Apply `operator_config` and build the handlers.

        Raises:
            ConfigError: `operator_config` contradicts the platform's settings.
        """
        self._events = proxy.event_log
        self._controls = controls
        self._drains = OperatorDrains(proxy, frozenset(operator_config.endpoints.drained))
        self._config_updater = ConfigUpdater(config, operator_config, proxy, controls, self._drains)
        self._inspector = Inspector(config, proxy, controls, self._config_updater, self._drains)
        self.by_route: dict[Route, Handler] = {
            routes.GET_STATE: self._get_state,
            routes.DESCRIBE: self._describe,
            routes.GET_EVENTS: self._get_events,
            routes.VALIDATE_CONFIG: self._validate,
            routes.APPLY_CONFIG: self._apply,
            routes.SHUT_DOWN: self._shut_down,
            routes.SET_FLEET_DRAINS: self._set_fleet_drains,
            routes.DRAIN_ENDPOINT: self._drain_endpoint,
            routes.UNDRAIN_ENDPOINT: self._undrain_endpoint,
        }

    def _state(self) -> JsonObject:
        return json_object(self._inspector.state())

    def _state_with_result(self, changed: bool) -> JsonObject:
        return json_object(self._inspector.state(), ChangeResult(changed))

    def _get_state(self, body: RequestBody) -> JsonObject:
        return self._state()

    def _describe(self, body: RequestBody) -> JsonObject:
        return self._state() | self._inspector.description()

    def _get_events(self, body: RequestBody) -> JsonObject:
        request = requests.decode_events(body)
        return {"boot": self._inspector.boot, **self._events.after(request.after)}

    def _validate(self, body: RequestBody) -> JsonObject:
        digest = self._config_updater.validate(requests.decode_validate(body))
        return json_object(ValidateResponse(digest))

    def _apply(self, body: RequestBody) -> JsonObject:
        changed = self._config_updater.apply(requests.decode_apply(body))
        return self._state_with_result(changed)

    def _shut_down(self, body: RequestBody) -> JsonObject:
        """Shut the instance down gracefully, as SIGTERM does."""
        self._events.record(ShutdownRequested())
        self._controls.begin_shutdown()
        return self._state()

    def _set_fleet_drains(self, body: RequestBody) -> JsonObject:
        self._drains.set_fleet(requests.decode_fleet_drains(body))
        return self._state()

    def _drain_endpoint(self, body: RequestBody) -> JsonObject:
        request = requests.decode_endpoint(body)
        changed = self._drains.drain_by_hand(request.endpoint, request.force)
        return self._state_with_result(changed)

    def _undrain_endpoint(self, body: RequestBody) -> JsonObject:
        request = requests.decode_endpoint(body)
        generation = self._config_updater.applied.generation
        changed = self._drains.undrain_by_hand(request.endpoint, generation)
        return self._state_with_result(changed)
