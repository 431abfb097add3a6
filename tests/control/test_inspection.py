"""The state, description and events of an instance that its control socket returns."""

from __future__ import annotations

import os
from typing import Any

import pytest

from anisespool.balancer.interface import EndpointState
from anisespool.control.responses import EndpointStateName
from anisespool.fakes import platform
from anisespool.proxy import event_log
from tests.control.conftest import StartSidecar

# Keys that scripts read, in order. responses.py and inspection.py map other names in the code to these keys.
STATE_KEYS = (
    "version name pid boot build started_ms uptime_s phase generation digest drained drained_here "
    "drained_fleet drains_revision"
)
DESCRIPTION_KEYS = "listen open strain clients settings classes endpoints endpoints_total file live_keys"
ENDPOINT_KEYS = "id address listed state drained odds slowdown queue open cold_s idle connecting"
SETTINGS_KEYS = (
    "classes zone attempts_cap drain_grace_ns cold_ns start_capacity fall_multiple fall_ns fleet_size "
    "self_index answer_slack_ns order_settle_ns ask_within_ns resolution_ns may_duplicate may_cancel "
    "may_probe may_message may_retry_after max_retry_after_ns connect_timeout_ns discovery report_how "
    "report_columns warm_keys tenants price_cross_zone price_handshake"
)
CLASS_KEYS = (
    "target_ns deadline_ns effect worth late_worth dedup_scope dedup_window_ns stream aim_stretch in_order"
)


def keys(response: dict[str, Any]) -> str:
    return " ".join(response)


async def test_describe_returns_state_settings_endpoints_and_response_counts_by_class(
    start_sidecar: StartSidecar,
) -> None:
    async with start_sidecar() as instance:
        assert await instance.request() == 200
        status, response = await instance.call("describe")
        assert (status, response["phase"], response["generation"]) == (200, "serving", 0)
        assert response["pid"] == os.getpid()
        assert [c["effect"] for c in response["settings"]["classes"]] == ["repeatable", "by_key", "once"]
        (row,) = response["endpoints"]
        assert (row["id"], row["state"], row["odds"], row["idle"]) == ("s-0", "ready", 1.0, 1)
        assert response["classes"]["look"] == {"served": 1, "refused": 0, "failed": 0, "gone": 0}
        assert instance.socket.stat().st_mode & 0o777 == 0o600
        assert instance.socket.parent.stat().st_mode & 0o777 == 0o700


async def test_responses_have_the_keys_that_scripts_read(start_sidecar: StartSidecar) -> None:
    async with start_sidecar() as instance:
        assert keys(await instance.get("state")) == STATE_KEYS
        response = await instance.get("describe")
        assert keys(response) == f"{STATE_KEYS} {DESCRIPTION_KEYS}"
        assert keys(response["endpoints"][0]) == ENDPOINT_KEYS
        assert keys(response["settings"]) == SETTINGS_KEYS
        assert keys(response["settings"]["classes"][0]) == CLASS_KEYS
        assert keys(response["settings"]["tenants"][0]) == "share quota_per_s"
        changed = await instance.post("endpoints/drain", {"id": "s-0", "force": True})
        assert keys(changed) == f"{STATE_KEYS} changed"
        assert keys(await instance.post("validate", {"content": {}})) == "version digest"
        assert keys(await instance.post("events", {})) == "version boot events dropped next"


async def test_a_drain_invalidates_the_cached_description(start_sidecar: StartSidecar) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        for drained, source in ((True, "here"), (False, "")):
            await instance.get("describe")
            await instance.post("endpoints/drain" if drained else "endpoints/undrain", {"id": "s-0"})
            rows = {row["id"]: row["drained"] for row in (await instance.get("describe"))["endpoints"]}
            assert rows == {"s-0": source, "s-1": ""}


async def test_events_after_a_given_number_are_returned_in_order(start_sidecar: StartSidecar) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        response = await instance.post("events", {})
        assert (response["dropped"], response["next"]) == (0, len(response["events"]))
        assert [(event["what"], event["ready"]) for event in response["events"]] == [("list", 2)]
        await instance.post("endpoints/drain", {"id": "s-1"})
        draining = platform.member("s-0", instance.endpoints[0].address, "draining")
        instance.sidecar.discovery.send(platform.member_list(2, [draining], complete=False))
        events: list[dict[str, Any]] = []
        while len(events) < 2:
            events = (await instance.post("events", {"after": response["next"]}))["events"]
        drained, listed = events
        assert [event["what"] for event in events] == ["drained", "list"]
        assert drained["ids"] == ["s-1"]
        assert listed["view"] != response["events"][0]["view"]
        assert listed["revision"] == 2
        assert [event["n"] for event in events] == [2, 3]
        assert drained["at_ns"] <= listed["at_ns"]
        for invalid in (-1, "x", True, None):
            assert (await instance.call("events", {"after": invalid}))[0] == 400


def test_the_event_log_is_bounded_and_counts_dropped_events(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(event_log, "MAX_EVENTS_PER_PAGE", 300)
    events = event_log.EventLog(lambda: 7)
    for number in range(event_log.MAX_EVENTS + 50):
        events.record(event_log.ConfigApplied(number))
    first = events.after(0)
    assert (first["dropped"], len(first["events"]), first["next"]) == (50, 300, 350)
    assert events.after(first["next"])["dropped"] == 0
    assert events.after(10**9)["events"] == []


def test_every_endpoint_state_has_its_own_name_on_the_socket() -> None:
    names = [EndpointStateName.of(state) for state in EndpointState]
    assert names == ["gone", "ready", "draining"]
