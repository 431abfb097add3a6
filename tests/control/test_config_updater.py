"""Configuration updates of a running instance are applied completely, once and in order."""

from __future__ import annotations

from typing import Any

import pytest

from anisespool.fakes.control_client import apply_request
from tests.control.conftest import ControlledSidecar, StartSidecar

CONNECTIONS = {"idle_per_endpoint": 1, "rest_ms": 5.0, "connect_timeout_ms": 50.0, "client_kept_s": 1.0}
CONTENT: dict[str, Any] = {"endpoints": {"drained": ["s-0"]}, "connections": CONNECTIONS}


async def assert_content_applied(instance: ControlledSidecar, digest: str) -> None:
    """Check that the instance has applied all of CONTENT as generation 4."""
    description = await instance.get("describe")
    assert (description["generation"], description["drained"]) == (4, ["s-0"])
    assert description["digest"] == digest
    assert description["file"]["connections"] == CONNECTIONS


async def test_an_update_is_applied_completely_and_once(start_sidecar: StartSidecar) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        base = (await instance.get("state"))["digest"]
        update = apply_request(4, base, CONTENT)
        validated = await instance.post("validate", {"content": CONTENT})
        assert validated == {"version": 1, "digest": update["digest"]}
        for changed in (True, False):
            status, response = await instance.call("apply", update)
            assert (status, response["generation"], response["changed"]) == (200, 4, changed)
        await assert_content_applied(instance, update["digest"])


@pytest.mark.parametrize(
    ("generation", "has_applied_base", "content", "header_changes", "code"),
    [
        (3, True, {}, {}, "older"),
        (4, True, {}, {}, "conflict"),
        (5, False, {}, {}, "base"),
        (5, True, {}, {"digest": "of another content"}, "damaged"),
        (5, True, {"control": {}}, {}, "invalid"),
        (5, True, {"members": {"nobody": {"share": 0.1}}}, {}, "invalid"),
        (5, True, {"connections": {"rest_ms": -1}}, {}, "invalid"),
        (True, True, {}, {}, "invalid"),
        (5, True, {"endpoints": {"drained": ["s-0", "s-1"]}}, {}, "last-endpoint"),
    ],
)
async def test_a_rejected_update_returns_its_error_code_and_changes_nothing(
    start_sidecar: StartSidecar,
    generation: int,
    has_applied_base: bool,
    content: dict[str, Any],
    header_changes: dict[str, Any],
    code: str,
) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        start_digest = (await instance.get("state"))["digest"]
        applied = await instance.post("apply", apply_request(4, start_digest, CONTENT))
        base = applied["digest"] if has_applied_base else start_digest
        rejected = apply_request(generation, base, content) | header_changes
        assert await instance.post_rejected("apply", rejected) == code
        await assert_content_applied(instance, applied["digest"])
