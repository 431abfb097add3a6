"""The platform's configuration: errors name the invalid part, and equal start times stay equal."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from anisespool.config.platform import Address, ConfigError, parse_endpoint_list
from anisespool.config.platform.endpoint_list import NS_PER_MS
from anisespool.config.platform_loader import load_platform_config
from anisespool.fakes.platform import member
from tests.harness.platform_config import NO_LISTENER, write_config

START_MS = 1_700_000_000_000


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("LB_NAME", ""),
        ("LB_LISTEN", ""),
        ("LB_LISTEN", "nonsense"),
        ("LB_DISCOVERY", ""),
        ("LB_DISCOVERY", "nonsense"),
        ("LB_CONFIG", ""),
        ("LB_CONFIG", "nonsense"),
    ],
)
def test_an_error_names_the_invalid_variable(tmp_path: Path, name: str, value: str) -> None:
    environment = write_config(tmp_path, NO_LISTENER, []) | {name: value}
    with pytest.raises(ConfigError, match=name) as error:
        load_platform_config(environment)
    assert "\n" not in str(error.value)


def test_any_text_is_a_valid_instance_name(tmp_path: Path) -> None:
    environment = write_config(tmp_path, NO_LISTENER, []) | {"LB_NAME": "nonsense"}
    assert load_platform_config(environment).name == "nonsense"


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        (["settings"], None, "settings"),
        (["settings", "guarantees"], None, "guarantees"),
        (["settings", "guarantees", "cold-ns"], "long", "cold-ns"),
        (["settings", "zones"], 5, "zones"),
        (["settings", "tenants"], [{}], "tenants"),
        (["settings", "request-classes"], [{"target-ns": 1}], "deadline-ns|effect"),
        (["limits", "sockets"], "many", "sockets"),
        (["seed"], "xyz", "seed"),
        (["known"], {"revision": 1}, "known"),
    ],
)
def test_an_error_names_the_invalid_key(tmp_path: Path, path: list[str], value: object, named: str) -> None:
    environment = write_config(tmp_path, NO_LISTENER, [])
    file = Path(environment["LB_CONFIG"])
    raw: dict[str, Any] = json.loads(file.read_text())
    section = raw
    for key in path[:-1]:
        section = section[key]
    section[path[-1]] = value
    file.write_text(json.dumps(raw))
    with pytest.raises(ConfigError, match=named):
        load_platform_config(environment)


def test_an_unreadable_entry_of_the_initial_list_is_logged_and_left_out(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    entries = [member("bad", NO_LISTENER) | {"phase": "odd"}, member("good", NO_LISTENER)]
    config = load_platform_config(write_config(tmp_path, NO_LISTENER, entries))
    assert [entry.id for entry in config.initial_endpoints.endpoints] == ["good"]
    line = capsys.readouterr().err
    assert line.startswith("initial_endpoint_unreadable error=")
    assert "'bad'" in line
    assert line.count("\n") == 1


def test_equal_start_times_stay_equal_and_an_unknown_one_is_zero(tmp_path: Path) -> None:
    names = load_platform_config(write_config(tmp_path, NO_LISTENER, [])).names
    endpoint_lists = [
        parse_endpoint_list(
            {"revision": 1, "complete": True, "members": [member("a", NO_LISTENER, up_since_ms=start_ms)]},
            names,
        )
        for start_ms in (START_MS, START_MS, 0)
    ]
    starts = [update.endpoints[0].listing.started_ns for update in endpoint_lists]
    assert starts == [START_MS * NS_PER_MS - names.monotonic_epoch_ns] * 2 + [0]


def test_starts_before_the_machines_own_keep_their_order(tmp_path: Path) -> None:
    """Of two processes that are older than this machine, the newer one has the address that both name."""
    names = load_platform_config(write_config(tmp_path, NO_LISTENER, [])).names
    boot_ms = names.monotonic_epoch_ns // NS_PER_MS
    starts_ms = (boot_ms - 2_000, boot_ms - 1_000, boot_ms + 1_000)
    members = [member(f"s-{start_ms}", NO_LISTENER, up_since_ms=start_ms) for start_ms in starts_ms]
    entries = parse_endpoint_list({"revision": 1, "complete": True, "members": members}, names).endpoints
    started_ns = [entry.listing.started_ns for entry in entries]
    assert started_ns == sorted(set(started_ns))
    assert 0 not in started_ns


@pytest.mark.parametrize("text", ["", "host", ":1", "host:", "host:x", "host:65536", "host:-1", None, 7])
def test_an_invalid_address_is_rejected(text: object) -> None:
    with pytest.raises(ValueError, match="is no host:port"):
        Address.parse(text)
