"""Drains of endpoints by the agent or by hand, and the graceful shutdown of the instance."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from anisespool.fakes import platform
from tests.control.conftest import StartSidecar
from tests.harness.client import request_bytes
from tests.harness.waiting import wait_until

HEALTH_CHECK = b"GET /healthz HTTP/1.1\r\n\r\n"
FLEET_DRAINS = {"revision": 7, "ids": ["s-0"]}


async def test_an_endpoint_drained_by_the_operator_gets_no_request_in_any_listed_state(
    start_sidecar: StartSidecar,
) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        first, second = instance.endpoints
        await wait_until(lambda: bool(instance.sidecar.discovery.connections))
        await instance.post("endpoints/drained", FLEET_DRAINS)
        for phase in ("up", "draining", "up"):
            member = platform.member("s-0", first.address, phase)
            instance.sidecar.discovery.send(platform.member_list(2, [member], complete=False))
        members = [platform.member("s-0", first.address), platform.member("s-1", second.address)]
        instance.sidecar.discovery.send(platform.member_list(3, members))
        for number in range(40):
            assert await instance.request(request_bytes(trace_id=f"t{number}")) == 200
        assert not first.requests
        # On an overloaded machine, a response may exceed its usual 1 ms and cause a second attempt.
        assert len(second.requests) >= 40
        await instance.post("endpoints/drained", {"revision": 8, "ids": []})
        for number in range(40):
            assert await instance.request(request_bytes(trace_id=f"u{number}")) == 200
        assert first.requests
        assert len(second.requests) > 40


async def test_the_last_endpoint_is_drained_only_with_force(start_sidecar: StartSidecar) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        await instance.post("endpoints/drained", FLEET_DRAINS)
        assert await instance.post_rejected("endpoints/drain", {"id": "s-1"}) == "last-endpoint"
        await instance.post("endpoints/drain", {"id": "s-1", "force": True})
        assert await instance.request(HEALTH_CHECK) == 503
        await instance.post("endpoints/undrain", {"id": "s-1"})
        assert await instance.request(HEALTH_CHECK) == 200


@pytest.mark.parametrize(
    ("operation", "body", "code"),
    [
        ("drained", {"revision": 6, "ids": []}, "older"),
        ("drained", {"revision": 7, "ids": []}, "older"),
        ("undrain", {"id": "s-0"}, "not-here"),
        ("drain", {"id": "s-1"}, "last-endpoint"),
        ("drain", {"id": 5}, "invalid"),
    ],
)
async def test_a_rejected_drain_returns_its_error_code_and_changes_nothing(
    start_sidecar: StartSidecar, operation: str, body: dict[str, Any], code: str
) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        await instance.post("endpoints/drained", FLEET_DRAINS)
        assert await instance.post_rejected(f"endpoints/{operation}", body) == code
        state = await instance.get("state")
        assert (state["drained"], state["drains_revision"]) == (["s-0"], 7)


async def test_a_dry_run_of_fleet_drains_changes_nothing(start_sidecar: StartSidecar) -> None:
    async with start_sidecar(endpoint_count=2) as instance:
        state = await instance.post("endpoints/drained", FLEET_DRAINS | {"check": True})
        assert (state["drained"], state["drains_revision"]) == ([], 0)
        every_endpoint = {"revision": 7, "ids": ["s-0", "s-1"], "check": True}
        assert await instance.post_rejected("endpoints/drained", every_endpoint) == "last-endpoint"


async def test_a_graceful_shutdown_completes_open_requests_and_removes_the_socket(
    start_sidecar: StartSidecar,
) -> None:
    release = asyncio.Event()

    async def respond_on_release(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await release.wait()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    async with start_sidecar(response=respond_on_release) as instance:
        open_request = asyncio.create_task(instance.request(request_bytes("once")))
        await wait_until(lambda: len(instance.endpoints[0].requests) == 1)
        assert (await instance.call("drain", {}))[1]["phase"] == "draining"
        assert (await instance.get("state"))["phase"] == "draining"  # The socket is still served.
        release.set()
        assert await open_request == 200
        await instance.sidecar.task
        await asyncio.sleep(0)
        assert not instance.socket.exists()
