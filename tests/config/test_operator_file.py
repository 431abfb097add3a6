"""The operator's file and live changes: validation, error messages, digests and tables."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from anisespool.config import operator
from anisespool.config.platform import ConfigError

EXAMPLE = Path(__file__).parent.parent.parent / "deploy" / "operator.toml"
VALID_OPERATOR_FILE = '[control]\nfolder = "c"\n[agent]\nstate = "s"\n[members.acme]\nshare = 0.5\n'


@pytest.mark.parametrize(
    ("text", "error_part"),
    [
        ("[contrl]\n", "contrl: found a key that nothing reads"),
        ("[control]\n", "control.folder: found nothing, wanted a value"),
        ("[control]\nfolder = 3\n", "control.folder: found 3, wanted str"),
        ("[connections]\nidle_per_endpoint = -1\n", "idle_per_endpoint: found -1, wanted int >= 0"),
        ("[connections]\nspeed = 1\n", "connections.speed: found a key that nothing reads"),
        ("[endpoints]\ndrained = ['a', 7]\n", "endpoints.drained[1]: found 7, wanted str"),
        ("[endpoints]\ndrained = ['a', 'a']\n", "endpoints.drained: found an id twice"),
        ("[discovery]\naddress = 'here'\n", "discovery.address: found 'here', wanted host:port"),
        ("[members.acme]\nshare = 2\n", "share: found"),
        ("[agent]\nstate = 's'\n", "control: found nothing"),
        ('[control]\nfolder="c"\n[agent]\nstate="s"\ntcp="::1:1"\n', "agent.certificate: found nothing"),
        ("[control\n", "line 1"),
        ("a = '\x00'\n", "line 1"),
        ("#" * (operator.MAX_DOCUMENT_BYTES + 1), f"found over {operator.MAX_DOCUMENT_BYTES} bytes"),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(tmp_path: Path, text: str, error_part: str) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        operator.read_operator_config(str(path))
    assert str(path) in str(error.value)
    assert error_part in str(error.value)
    assert "\n" not in str(error.value)


def test_an_error_has_source_key_found_and_wanted() -> None:
    with pytest.raises(operator.OperatorConfigError) as error:
        operator.parse_operator_config({"discovery": {"address": "here"}}, "f.toml")
    raised = error.value
    assert (raised.source, raised.key) == ("f.toml", "discovery.address")
    assert (raised.found, raised.wanted) == ("'here'", "host:port")


def test_an_unknown_class_is_named_in_a_message_of_bounded_length() -> None:
    tables = {"sampling": {"classes": {"nobody": {"served": 0.5}}}}
    config = operator.parse_operator_config(tables, "f.toml")
    operator.validate_sampled_classes(config, ["nobody"], "f.toml")
    with pytest.raises(operator.UnknownClassError) as error:
        operator.validate_sampled_classes(config, ["a", "b"], "f.toml")
    text = "f.toml: sampling.classes.nobody: found no such class, wanted one of a, b"
    assert (str(error.value), error.value.name) == (text, "nobody")
    with pytest.raises(operator.UnknownClassError) as error:
        operator.validate_sampled_classes(config, [f"class-{number}" for number in range(1000)], "f.toml")
    assert len(str(error.value)) == 400


def test_an_unknown_tenant_is_named_with_a_few_known_ones() -> None:
    config = operator.parse_operator_config({"members": {"nobody": {"share": 0.5}}}, "f.toml")
    operator.validate_tenants(config, ["nobody"], "f.toml")
    with pytest.raises(operator.UnknownTenantError) as error:
        operator.validate_tenants(config, list("jihgfedcba"), "f.toml")
    text = "f.toml: members.nobody: found no such member, wanted one of a, b, c, d, e, f, g, h"
    assert (str(error.value), error.value.name) == (text, "nobody")
    with pytest.raises(operator.UnknownTenantError, match="wanted one of none"):
        operator.validate_tenants(config, [], "f.toml")


def test_a_live_change_of_sections_that_need_a_restart_is_rejected() -> None:
    with pytest.raises(ConfigError, match="agent, control: found in a live change"):
        operator.parse_live_config({"control": {}, "agent": {}, "members": {}}, "x")


def test_live_changes_with_equal_contents_have_equal_digests() -> None:
    first = operator.parse_live_config({"connections": {}, "endpoints": {"drained": ["b"]}}, "x")
    equal = operator.parse_live_config({"endpoints": {"drained": ["b"]}, "connections": {"rest_ms": 20}}, "x")
    different = operator.parse_live_config({"connections": {}}, "x")
    assert operator.digest(first) == operator.digest(equal)
    assert operator.digest(first) != operator.digest(different)


def test_a_live_change_replaces_the_sections_that_it_has() -> None:
    tables = {"endpoints": {"drained": ["a"]}, "connections": {"rest_ms": 1}}
    config = operator.parse_operator_config(tables, "x")
    live = operator.parse_live_config({"endpoints": {"drained": ["b"]}}, "x")
    assert config.with_live_config(live).endpoints.drained == ["b"]
    assert config.with_live_config(live).connections.reuse_delay_ms == 1
    assert config.with_live_config(operator.LiveConfig()) == config


def test_tables_have_the_keys_of_the_file() -> None:
    tables = operator.to_tables(operator.parse_operator_config({"peers": {"shortest_ms": 300.0}}, "x"))
    assert tables["peers"]["shortest_ms"] == 300.0
    assert {"idle_per_endpoint", "rest_ms", "client_kept_s"} <= set(tables["connections"])
    assert operator.LIVE_SECTIONS == ("endpoints", "connections", "discovery", "members", "sampling")


def test_the_example_file_enables_nothing() -> None:
    assert operator.read_operator_config(str(EXAMPLE)) == operator.OperatorConfig()


def test_the_example_file_is_valid_with_everything_enabled(tmp_path: Path) -> None:
    lines = EXAMPLE.read_text().splitlines()[3:]
    path = tmp_path / "enabled.toml"
    path.write_text("\n".join(line.removeprefix("# ") for line in lines))
    config = operator.read_operator_config(str(path))
    assert config.control
    assert config.agent
    assert config.connections == operator.ConnectionOptions()


@pytest.mark.parametrize(("text", "status", "error_lines"), [(VALID_OPERATOR_FILE, 0, 0), ("[x]", 2, 1)])
def test_check_validates_the_file_and_writes_nothing(
    tmp_path: Path, text: str, status: int, error_lines: int
) -> None:
    path = tmp_path / "f.toml"
    path.write_text(text)
    command = [sys.executable, "-m", "anisespool", "check", str(path)]
    finished = subprocess.run(command, capture_output=True, text=True)
    assert (finished.returncode, finished.stderr.count("\n")) == (status, error_lines)
    assert [file.name for file in tmp_path.iterdir()] == ["f.toml"]
