"""The decision module's settings; durations are integer nanoseconds.

settings_names.py maps the fields to their names in the platform's JSON and in the control socket's JSON.
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
    """All settings of a decision module; only the tenants' shares may change while it runs.

    Attributes:
        drain_grace_ns: How long an endpoint listed as draining or gone may still be sent requests.
        warmup_ns: Time from an endpoint's start until it has its full capacity.
        initial_capacity: Share of its full capacity that an endpoint starts with.
        overload_multiple: A warming endpoint that is sent more than this multiple of its capacity fails.
        overload_window_ns: Window in which that limit applies.
        fleet_size: Number of sidecars.
        answer_slack_ns: Tolerance on a request's deadline for its final answer.
        ordering_settle_ns: Pause of an ordering key after an attempt that may still be executing.
        resubscribe_within_ns: Longest time allowed without a subscription to discovery.
        resolution_ns: Resolution of the clock.
        may_retry_after: Whether rejections may carry a Retry-After.
        cross_zone_cost: Cost of sending a request to another zone; 1: a request's value.
        handshake_cost: Cost of opening a connection; 1: a request's value.
    """

    classes: tuple[RequestClass, ...]
    zone: int
    max_attempts: int
    drain_grace_ns: int
    warmup_ns: int
    initial_capacity: float
    overload_multiple: float
    overload_window_ns: int
    fleet_size: int = 1
    self_index: int = 0
    answer_slack_ns: int = 0
    ordering_settle_ns: int = 0
    resubscribe_within_ns: int = 10_000_000_000
    resolution_ns: int = 1_000_000
    may_hedge: bool = False
    may_cancel: bool = False
    may_health_check: bool = False
    may_gossip: bool = False
    may_retry_after: bool = False
    max_retry_after_ns: int = 0
    connect_timeout_ns: int = 0
    discovery_mode: DiscoveryMode = DiscoveryMode.PUSH
    load_report_mode: LoadReportMode = LoadReportMode.NONE
    load_report_columns: tuple[str, ...] = ()
    key_affinity: bool = False
    tenants: tuple[Tenant, ...] = ()
    cross_zone_cost: float = 0.0
    handshake_cost: float = 0.0

    @classmethod
    def from_dict(cls, raw: dict[str, Any]) -> Self:
        """Read the platform's settings object; unknown keys are ignored, optional ones may be absent.

        Raises:
            SettingsError: A key is missing or has a wrong value.
        """
        return cls(**read_settings(raw))
