"""The decision module's settings; durations are integer nanoseconds.

Where the platform's JSON and the control socket's JSON have another name than a field here, the one table of
names is settings_names.py.
"""

from typing import Any, NamedTuple, Self

from anisespool.balancer.settings_names import read_settings
from anisespool.balancer.settings_reader import SettingsError as SettingsError
from anisespool.balancer.settings_types import (
    DiscoveryMode,
    LoadReportMode,
    RequestClass,
    Tenant,
)


class Settings(NamedTuple):
    """All settings of a module; they don't change but for tenants' shares."""

    classes: tuple[RequestClass, ...]
    zone: int
    max_attempts: int
    drain_grace_ns: int
    warmup_ns: int
    initial_capacity: float  # share of its capacity that an endpoint has when it starts
    overload_multiple: float  # of its capacity: a warming endpoint that is sent more falls over
    overload_window_ns: int  # within which that is counted
    fleet_size: int = 1  # sidecars
    self_index: int = 0  # this sidecar's place among them
    answer_slack_ns: int = 0
    ordering_settle_ns: int = 0  # pause of a key after an attempt that may still be executing
    resubscribe_within_ns: int = 10_000_000_000
    resolution_ns: int = 1_000_000  # of the clock
    may_hedge: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_gossip: bool = False
    may_retry_after: bool = False  # a rejection may carry a Retry-After
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSH
    load_report_mode: LoadReportMode = LoadReportMode.NONE
    load_report_columns: tuple[str, ...] = ()
    key_affinity: bool = False
    tenants: tuple[Tenant, ...] = ()
    cross_zone_cost: float = 0.0  # of a request to another zone, in the value of a request
    handshake_cost: float = 0.0  # of opening a connection, in the value of a request

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Self:
        """Read the settings object; unknown keys are ignored, optional ones may be absent.

        Raises:
            SettingsError: a key is missing or has a wrong value.
        """
        return cls(**read_settings(raw))
