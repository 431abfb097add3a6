"""Imports follow docs/architecture.md, and a sidecar without arguments loads no optional module."""

from __future__ import annotations

import ast
import os
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
COMMON_PACKAGES = {"balancer", "buffer_budget", "codec", "config", "log"}
"""Packages that most others may import."""
ALLOWED_IMPORTS: dict[str, set[str]] = {
    "log": set(),
    "backoff": set(),
    "buffer_budget": set(),
    "input_scheduler": set(),
    "loop_delay": set(),
    "tcp": set(),
    "balancer": {"log"},
    "config": {"balancer", "log"},
    "codec": set(),
    "discovery": COMMON_PACKAGES | {"backoff", "loop_delay"},
    "upstream": COMMON_PACKAGES | {"input_scheduler", "tcp"},
    "proxy": COMMON_PACKAGES | {"upstream", "discovery"},
    "listener": COMMON_PACKAGES | {"input_scheduler", "loop_delay", "proxy", "tcp"},
    "records": COMMON_PACKAGES | {"backoff", "proxy", "tcp", "upstream"},
    "control": COMMON_PACKAGES | {"proxy", "discovery"},
    "membership": COMMON_PACKAGES,
    "agent": COMMON_PACKAGES | {"control"},
    "lab": {
        "balancer",
        "config",
        "control",
        "agent",
        "fakes",
        "sidecar",
        "proxy",
        "upstream",
        "discovery",
    },
    "cli": COMMON_PACKAGES | {"agent", "fakes", "sidecar", "lab", "records"},
    "fakes": COMMON_PACKAGES | {"agent", "backoff", "records"},
    "sidecar": COMMON_PACKAGES
    | {
        "input_scheduler",
        "loop_delay",
        "proxy",
        "listener",
        "upstream",
        "discovery",
        "control",
        "records",
        "membership",
    },
    "__main__": {"sidecar", "cli"},
}
# Modules that decide, without I/O, clock or asyncio: time and randomness are passed in.
PURE_MODULES = (
    "agent/desired_state.py",
    "agent/errors.py",
    "agent/instance_state.py",
    "agent/rollout/desired_generation.py",
    "agent/rollout/errors.py",
    "agent/rollout/planner.py",
    "agent/rollout/policy.py",
    "agent/rollout/state.py",
    "agent/rollout/status.py",
    "agent/rollout/status_by_report.py",
    "backoff.py",
    "balancer/admission/burst_capacity.py",
    "balancer/admission/controller.py",
    "balancer/admission/fleet_capacity.py",
    "balancer/admission/latency_limit.py",
    "balancer/admission/load_snapshot.py",
    "balancer/admission/offered_capacity.py",
    "balancer/admission/peak_rate.py",
    "balancer/admission/queueing_ratio.py",
    "balancer/admission/retry_after.py",
    "balancer/admission/service_rate.py",
    "balancer/admission/tenant_quota.py",
    "balancer/attempt.py",
    "balancer/balancer.py",
    "balancer/deadlines.py",
    "balancer/endpoint.py",
    "balancer/endpoint_table.py",
    "balancer/estimates/class_latency.py",
    "balancer/estimates/concurrency.py",
    "balancer/estimates/decaying_value.py",
    "balancer/estimates/estimates.py",
    "balancer/estimates/load.py",
    "balancer/estimates/slowdown.py",
    "balancer/event_log.py",
    "balancer/gossip.py",
    "balancer/hashing.py",
    "balancer/health_checks.py",
    "balancer/key_ordering.py",
    "balancer/outcomes.py",
    "balancer/request.py",
    "balancer/resubscribe.py",
    "balancer/retry/budget.py",
    "balancer/retry/client_retries.py",
    "balancer/retry/idempotency.py",
    "balancer/retry/policy.py",
    "balancer/selection/eligibility.py",
    "balancer/selection/key_affinity.py",
    "balancer/selection/slow_start.py",
    "balancer/selection/subsetting.py",
    "balancer/selection/warmup_limiter.py",
    "balancer/selection/weights.py",
    "balancer/timers.py",
    "buffer_budget.py",
    "codec/http1/encoding.py",
    "codec/http1/limits.py",
    "codec/http1/message.py",
    "codec/http1/message_buffer.py",
    "codec/http1/request_parser.py",
    "codec/http1/response_parser.py",
    "codec/json_stream.py",
    "codec/load_report.py",
    "control/generations.py",
    "discovery/address_owners.py",
    "discovery/contact.py",
    "discovery/drains.py",
    "discovery/repeat_limit.py",
    "discovery/timeouts.py",
    "discovery/update_progress.py",
    "listener/close_reason.py",
    "listener/input_arrival.py",
    "listener/keepalive.py",
    "listener/pipeline.py",
    "listener/timeouts.py",
    "loop_delay.py",
    "membership/anti_entropy.py",
    "membership/codec.py",
    "membership/config.py",
    "membership/dissemination.py",
    "membership/events.py",
    "membership/gossip.py",
    "membership/local_health.py",
    "membership/member_state.py",
    "membership/messages.py",
    "membership/probe_order.py",
    "membership/probing.py",
    "membership/protocol.py",
    "membership/rate_limiter.py",
    "membership/relays.py",
    "membership/schedule.py",
    "membership/state.py",
    "membership/suspicion.py",
    "membership/updates.py",
    "membership/view.py",
    "proxy/deadlines.py",
    "proxy/executed_ids.py",
    "records/accounting.py",
    "records/buffer.py",
    "records/outcome.py",
    "records/request_record.py",
    "records/sampling.py",
    "upstream/attempt_outcome.py",
)
IMPURE_MODULES = {
    "asyncio",
    "datetime",
    "io",
    "os",
    "pathlib",
    "selectors",
    "signal",
    "socket",
    "sqlite3",
    "ssl",
}
IMPURE_MODULES |= {"subprocess", "sys", "threading", "time"}


def imported(path: Path) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            names |= {node.module} | {f"{node.module}.{alias.name}" for alias in node.names}
        elif isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
    return names


@pytest.mark.parametrize("package", sorted(ALLOWED_IMPORTS))
def test_a_package_imports_only_allowed_packages(package: str) -> None:
    location = ROOT / "anisespool" / package
    for path in sorted(location.rglob("*.py")) if location.is_dir() else [location.with_suffix(".py")]:
        for name in imported(path):
            assert name.partition(".")[0] not in ("tests", "benchmarks"), f"{path}: {name}"
            parts = name.split(".")
            if parts[0] == "anisespool" and len(parts) > 1 and not parts[1].startswith("__"):
                assert parts[1] in ALLOWED_IMPORTS[package] | {package}, f"{path}: {name}"


@pytest.mark.parametrize("module", PURE_MODULES)
def test_a_pure_module_imports_no_io_clock_or_asyncio(module: str) -> None:
    """A pure module may use format_event, which only formats a text, but not log_event, which writes it."""
    pure_names = {f"anisespool.{path.removesuffix('.py').replace('/', '.')}" for path in PURE_MODULES}
    for name in imported(ROOT / "anisespool" / module):
        assert name.partition(".")[0] not in IMPURE_MODULES, f"{module}: {name}"
        if name.startswith("anisespool.") and name not in ("anisespool.log", "anisespool.log.format_event"):
            allowed = pure_names | {"anisespool.balancer.interface"}
            package = name.removeprefix("anisespool.") == module.partition("/")[0]
            assert package or any(name.startswith(prefix) for prefix in allowed), f"{module}: {name}"


def test_every_package_is_listed() -> None:
    present = {p.stem for p in (ROOT / "anisespool").iterdir() if not p.name.startswith(".")}
    assert present - {"__init__", "__pycache__"} <= set(ALLOWED_IMPORTS)


NOT_LOADED_WITHOUT_A_FILE = (
    "anisespool.agent",
    "anisespool.cli",
    "anisespool.config.operator",
    "anisespool.control",
    "anisespool.fakes",
    "anisespool.membership",
    "anisespool.membership.codec",
    "anisespool.membership.protocol",
    "anisespool.proxy.event_log",
    "anisespool.proxy.observed",
    "anisespool.records",
    "anisespool.records.buffer",
    "anisespool.records.rfc5424",
    "anisespool.sidecar.optional_features",
    "click",
    "grpc",
    "ipaddress",
    "msgspec",
    "numpy",
    "rich",
    "sqlite3",
    "structlog",
    "tomllib",
    "typer",
    "urllib.parse",
)


def test_a_sidecar_without_arguments_loads_nothing_that_a_file_enables() -> None:
    code = "import sys, anisespool.sidecar; print(*sys.modules)"
    # -S disables `site`, in which the import hook of an editable installation loads urllib.parse.
    folders = [str(ROOT), sysconfig.get_path("purelib"), sysconfig.get_path("platlib")]
    finished = subprocess.run(
        [sys.executable, "-S", "-c", code],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(folders)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = set(finished.stdout.split())
    assert "anisespool.listener.server" in loaded
    for name in NOT_LOADED_WITHOUT_A_FILE:
        assert name not in loaded, name
