"""The settings' names: in the code, in the platform's JSON and in the control socket's JSON.

The platform's protocol fixes its names; the programs that read the control socket's JSON rely on theirs.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from anisespool.balancer.settings_reader import ObjectReader, SettingsError
from anisespool.balancer.settings_types import (
    DedupScope,
    DiscoveryMode,
    Idempotency,
    LoadReportMode,
    RequestClass,
    Tenant,
)

DEFAULT_RESUBSCRIBE_NS = 10_000_000_000
DEFAULT_RESOLUTION_NS = 1_000_000

ReadValue = Callable[[ObjectReader, str], Any]


class Section(NamedTuple):
    """A nested object in the platform's settings; ROOT is the object that is being read."""

    key: str
    is_required: bool


ROOT = Section("", True)
ALLOWED = Section("allowed", True)
GUARANTEES = Section("guarantees", True)
PRICES = Section("prices", False)
REPORT = Section("report", False)
FAMILY_INFO = Section("family-info", False)
SECTIONS = (ALLOWED, GUARANTEES, PRICES, REPORT, FAMILY_INFO)


class SettingName(NamedTuple):
    """The names of one setting, and the function that reads its value."""

    field: str
    """Field name in `Settings` or `RequestClass`."""
    section: Section
    platform_key: str
    control_key: str
    """Key in the control socket's JSON."""
    read: ReadValue


def _integer(default: int | None = None) -> ReadValue:
    return lambda reader, key: reader.integer(key, default)


def _number(default: float | None = None) -> ReadValue:
    return lambda reader, key: reader.number(key, default)


def _positive(reader: ObjectReader, key: str) -> int:
    return reader.positive(key)


def _flag(reader: ObjectReader, key: str) -> bool:
    return reader.flag(key)


def _fleet_size(reader: ObjectReader, key: str) -> int:
    return max(1, reader.integer(key, 1))


def _discovery_mode(reader: ObjectReader, key: str) -> DiscoveryMode:
    """Read every mode but `push` as POLL, which does not rely on changes being sent unprompted."""
    is_push = reader.text(key, DiscoveryMode.PUSH.value) == DiscoveryMode.PUSH.value
    return DiscoveryMode.PUSH if is_push else DiscoveryMode.POLL


def _load_report_mode(reader: ObjectReader, key: str) -> LoadReportMode:
    """Read an unknown mode as NONE, so that no health check is sent to get load reports."""
    text = reader.text(key, LoadReportMode.NONE.value)
    return next((mode for mode in LoadReportMode if mode.value == text), LoadReportMode.NONE)


def _dedup_scope(reader: ObjectReader, key: str) -> DedupScope:
    """Read an unknown scope as CELL, the narrowest."""
    text = reader.text(key, DedupScope.ALL.value)
    return next((scope for scope in DedupScope if scope.value == text), DedupScope.CELL)


def _columns(reader: ObjectReader, key: str) -> tuple[str, ...]:
    return tuple(str(column) for column in reader.items(key))


def _idempotency(reader: ObjectReader, key: str) -> Idempotency:
    text = reader.text(key)
    if text not in {value.value for value in Idempotency}:
        raise SettingsError(f"setting request-classes[].effect: unknown value {text!r}")
    return Idempotency(text)


def _classes(reader: ObjectReader, key: str) -> tuple[RequestClass, ...]:
    return tuple(RequestClass(**_read(CLASS_NAMES, {ROOT: child})) for child in reader.children(key))


def _tenants(reader: ObjectReader, key: str) -> tuple[Tenant, ...]:
    children = reader.children(key, required=False)
    return tuple(Tenant(child.number("share", 1.0), child.number("quota-per-s", 0.0)) for child in children)


# Settings are read in the order of these tables: if several are wrong, the error always names the same one.
CLASS_NAMES = (
    SettingName("idempotency", ROOT, "effect", "effect", _idempotency),
    SettingName("target_ns", ROOT, "target-ns", "target_ns", _positive),
    SettingName("deadline_ns", ROOT, "deadline-ns", "deadline_ns", _positive),
    SettingName("priority_weight", ROOT, "worth", "worth", _number(1.0)),
    SettingName("late_priority_weight", ROOT, "late-worth", "late_worth", _number(0.0)),
    SettingName("dedup_scope", ROOT, "dedup-scope", "dedup_scope", _dedup_scope),
    SettingName("dedup_window_ns", ROOT, "dedup-window-ns", "dedup_window_ns", _integer(0)),
    SettingName("stream", ROOT, "stream", "stream", _flag),
    SettingName("objective_stretch", ROOT, "aim-stretch", "aim_stretch", _number(0.0)),
    SettingName("in_order", ROOT, "in-order", "in_order", _flag),
)
SETTING_NAMES = (
    SettingName("classes", ROOT, "request-classes", "classes", _classes),
    SettingName("zone", ROOT, "zone", "zone", _integer(0)),
    SettingName("max_attempts", ALLOWED, "attempts-cap", "attempts_cap", _positive),
    SettingName("drain_grace_ns", GUARANTEES, "drain-grace-ns", "drain_grace_ns", _integer()),
    SettingName("warmup_ns", GUARANTEES, "cold-ns", "cold_ns", _positive),
    SettingName("initial_capacity", GUARANTEES, "start-capacity", "start_capacity", _number()),
    SettingName("overload_multiple", GUARANTEES, "fall-multiple", "fall_multiple", _number()),
    SettingName("overload_window_ns", GUARANTEES, "fall-ns", "fall_ns", _positive),
    SettingName("fleet_size", ROOT, "fleet-size", "fleet_size", _fleet_size),
    SettingName("self_index", ROOT, "self-index", "self_index", _integer(0)),
    SettingName("answer_slack_ns", GUARANTEES, "answer-slack-ns", "answer_slack_ns", _integer(0)),
    SettingName("ordering_settle_ns", GUARANTEES, "order-settle-ns", "order_settle_ns", _integer(0)),
    SettingName(
        "resubscribe_within_ns",
        GUARANTEES,
        "ask-within-ns",
        "ask_within_ns",
        _integer(DEFAULT_RESUBSCRIBE_NS),
    ),
    SettingName("resolution_ns", ROOT, "resolution-ns", "resolution_ns", _integer(DEFAULT_RESOLUTION_NS)),
    SettingName("may_hedge", ALLOWED, "may-duplicate", "may_duplicate", _flag),
    SettingName("may_cancel", ALLOWED, "cancel", "may_cancel", _flag),
    SettingName("may_health_check", ALLOWED, "probes", "may_probe", _flag),
    SettingName("may_gossip", ALLOWED, "peers", "may_message", _flag),
    SettingName("may_retry_after", ALLOWED, "retry-after", "may_retry_after", _flag),
    SettingName("max_retry_after_ns", ALLOWED, "max-retry-after-ns", "max_retry_after_ns", _integer(0)),
    SettingName("connect_timeout_ns", ALLOWED, "connect-timeout-ns", "connect_timeout_ns", _integer(0)),
    SettingName("discovery_mode", ROOT, "discovery", "discovery", _discovery_mode),
    SettingName("load_report_mode", REPORT, "how", "report_how", _load_report_mode),
    SettingName("load_report_columns", REPORT, "columns", "report_columns", _columns),
    SettingName("key_affinity", FAMILY_INFO, "warm-keys", "warm_keys", _flag),
    SettingName("tenants", ROOT, "tenants", "tenants", _tenants),
    SettingName("cross_zone_cost", PRICES, "cross-zone", "price_cross_zone", _number(0.0)),
    SettingName("handshake_cost", PRICES, "handshake", "price_handshake", _number(0.0)),
)
CONTROL_KEYS = {name.field: name.control_key for name in CLASS_NAMES + SETTING_NAMES}


def read_settings(raw: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of `Settings` from the platform's JSON, or raise SettingsError."""
    root = ObjectReader(raw, "")
    readers = {section: root.child(section.key, section.is_required) for section in SECTIONS}
    return _read(SETTING_NAMES, {ROOT: root, **readers})


def _read(names: tuple[SettingName, ...], readers: dict[Section, ObjectReader]) -> dict[str, Any]:
    return {name.field: name.read(readers[name.section], name.platform_key) for name in names}
