"""The settings that the platform gives to the sidecars of a scenario."""

from __future__ import annotations

from typing import Any

from anisespool.balancer.interface import Settings
from anisespool.lab.scenario.base import MS, SECOND
from anisespool.lab.scenario.schema import Scenario
from anisespool.lab.scenario.traffic import Class

RESPONSE_SLACK_MS = 20


def settings(scenario: Scenario, index: int = 0, zone: int = 0) -> Settings:
    """Settings of sidecar `index` in zone `zone`."""
    return Settings.from_dict(raw_settings(scenario, index, zone))


def raw_settings(scenario: Scenario, index: int = 0, zone: int = 0) -> dict[str, Any]:
    """The settings of a sidecar in the platform's own format."""
    return {
        "zone": zone,
        "fleet-size": scenario.sidecars,
        "self-index": index,
        "resolution-ns": MS,
        "allowed": _allowed(scenario),
        "guarantees": _guarantees(scenario),
        "report": {
            "columns": list(scenario.reports.columns),
            "how": "piggyback" if scenario.reports.columns else "silent",
        },
        "request-classes": [_request_class(request_class) for request_class in scenario.classes],
        "tenants": [
            {"name": tenant.name, "share": tenant.share, "quota-per-s": quota}
            for tenant, quota in zip(scenario.tenants, scenario.quotas_per_s(), strict=True)
        ],
        "over-share-worth": scenario.over_share_worth,
        "prices": {
            "cross-zone": scenario.prices.cross_zone,
            "handshake": scenario.prices.handshake,
            "late-fail": scenario.prices.late_fail,
        },
    }


def _allowed(scenario: Scenario) -> dict[str, Any]:
    rules = scenario.rules
    return {
        "attempts-cap": rules.attempts,
        "cancel": True,
        "may-duplicate": False,
        "peers": scenario.talk,
        "retry-after": rules.longest_return_ms > 0,
        "max-retry-after-ns": int(rules.longest_return_ms * MS),
        "connect-timeout-ns": int(scenario.network.connect_timeout_ms * MS),
    }


def _guarantees(scenario: Scenario) -> dict[str, Any]:
    rules = scenario.rules
    return {
        "answer-slack-ns": RESPONSE_SLACK_MS * MS,
        "drain-grace-ns": int(rules.drain_grace_ms * MS),
        "cold-ns": int(rules.cold_s * SECOND),
        "start-capacity": rules.start_capacity,
        "fall-multiple": rules.fall_multiple,
        "fall-ns": int(rules.fall_ms * MS),
    }


def _request_class(request_class: Class) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": request_class.effect,
        "target-ns": int(request_class.target_ms * MS),
        "deadline-ns": int(request_class.deadline_ms * MS),
        "worth": request_class.priority_weight,
        "dedup-window-ns": int(request_class.deadline_ms * MS),
    }
