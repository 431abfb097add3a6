"""The view of the decision module for operators and tools."""

from __future__ import annotations

from anisespool.balancer.inspection import describe_settings
from tests.support import settings

# Keys of the settings in the control socket's JSON, in their order there; they stay compatible.
SETTINGS_KEYS = [
    "classes",
    "zone",
    "attempts_cap",
    "drain_grace_ns",
    "cold_ns",
    "start_capacity",
    "fall_multiple",
    "fall_ns",
    "fleet_size",
    "self_index",
    "answer_slack_ns",
    "order_settle_ns",
    "ask_within_ns",
    "resolution_ns",
    "may_duplicate",
    "may_cancel",
    "may_probe",
    "may_message",
    "may_retry_after",
    "max_retry_after_ns",
    "connect_timeout_ns",
    "discovery",
    "report_how",
    "report_columns",
    "warm_keys",
    "tenants",
    "price_cross_zone",
    "price_handshake",
]
CLASS_KEYS = [
    "target_ns",
    "deadline_ns",
    "effect",
    "worth",
    "late_worth",
    "dedup_scope",
    "dedup_window_ns",
    "stream",
    "aim_stretch",
    "in_order",
]


def test_described_settings_have_the_keys_of_the_control_socket() -> None:
    described = describe_settings(settings(tenants=[{"share": 0.25}]))
    assert list(described) == SETTINGS_KEYS
    assert [list(each) for each in described["classes"]] == [CLASS_KEYS] * 3
    assert [each["effect"] for each in described["classes"]] == ["repeatable", "by_key", "once"]
    assert described["tenants"] == [{"share": 0.25, "quota_per_s": 0.0}]
