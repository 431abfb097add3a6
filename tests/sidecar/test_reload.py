"""Reload on SIGHUP: the watch moves to the address in the replaced file, and nothing else changes."""

from __future__ import annotations

import asyncio
import json
import os
import signal
from contextlib import suppress
from functools import partial
from pathlib import Path

import pytest

from anisespool.config.platform import Address
from anisespool.discovery import timeouts
from anisespool.discovery.drains import DrainTracker
from anisespool.fakes.discovery import ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member, member_list
from anisespool.proxy import endpoint_registry
from anisespool.sidecar import composition
from tests.harness.client import new_trace_id, request_bytes, send_request, wait_until_health
from tests.harness.platform_config import NO_LISTENER, write_config
from tests.harness.running_sidecar import RunningSidecar, running_sidecar
from tests.harness.waiting import wait_until
from tests.sidecar.test_program import start_program
from tests.upstream.harness import never_respond


def set_discovery_address(file: Path, address: Address) -> None:
    """Atomically replace the configuration file by one with this address."""
    raw = json.loads(file.read_text()) | {"discovery": f"{address.host}:{address.port}"}
    replacement = file.with_suffix(".new")
    replacement.write_text(json.dumps(raw))
    replacement.replace(file)


async def move_watch(sidecar: RunningSidecar, folder: Path, service: ScriptedDiscovery) -> None:
    """Reload a configuration with this discovery service and wait until the sidecar watches it."""
    set_discovery_address(folder / "config.json", service.address)
    sidecar.signals.reload.set()
    await wait_until(lambda: bool(service.connections))


async def reload_invalid_files(process: asyncio.subprocess.Process, file: Path) -> None:
    """Reload a missing and several invalid files, wait for the log line of each, and restore the file."""
    assert process.stderr
    valid = file.read_text()
    for invalid in (None, "{", "[]", "{}", json.dumps({"discovery": "nowhere"})):
        file.unlink() if invalid is None else file.write_text(invalid)
        process.send_signal(signal.SIGHUP)
        while b"config_reload_failed" not in await process.stderr.readline():
            pass
    file.write_text(valid)


async def test_sighup_moves_the_watch_and_an_invalid_file_is_logged(tmp_path: Path, listen: str) -> None:
    old_discovery = ScriptedDiscovery()
    new_discovery = ScriptedDiscovery()
    endpoint = Endpoint()
    async with old_discovery.serve(), new_discovery.serve(), endpoint.serve():
        env = write_config(tmp_path, old_discovery.address, [], listen)
        starting = asyncio.create_task(start_program(env))
        await wait_until(lambda: len(old_discovery.connections) == 1)
        config_file = Path(env["LB_CONFIG"])
        old_discovery.send(member_list(5, [member("s-0", endpoint.address)]))
        process = await starting
        set_discovery_address(config_file, new_discovery.address)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGHUP)
        assert await old_discovery.connections[0].reader.read() == b""  # The old watch is closed.
        await wait_until(lambda: len(new_discovery.connections) == 1)
        assert new_discovery.targets == [b"/v1/servers?stream=1&index=0"]  # Its revisions may differ.
        await reload_invalid_files(process, config_file)
        process.send_signal(signal.SIGHUP)  # The address is the same, so the watch stays open.
        new_discovery.send(member_list(6, [member("s-0", endpoint.address, "draining")], complete=False))
        await wait_until_health(Address.parse(env["LB_LISTEN"]), 503)
        assert (len(old_discovery.connections), len(new_discovery.connections)) == (1, 1)
        process.send_signal(signal.SIGTERM)
        await process.communicate()
        assert process.returncode == 0


async def test_sighup_during_shutdown_does_not_kill_the_process(tmp_path: Path, listen: str) -> None:
    """SIGHUP is sent repeatedly from SIGTERM until the process has ended."""
    async with Endpoint(never_respond).serve() as endpoint:
        env = write_config(tmp_path, NO_LISTENER, [member("s-0", endpoint.address)], listen)
        process = await start_program(env)
        response = asyncio.create_task(
            send_request(Address.parse(env["LB_LISTEN"]), request_bytes("once", left_ms=300))
        )
        await wait_until(lambda: len(endpoint.requests) == 1)
        process.send_signal(signal.SIGTERM)
        ending = asyncio.create_task(process.wait())
        while not ending.done():
            with suppress(ProcessLookupError):  # process.send_signal would reap the process.
                os.kill(process.pid, signal.SIGHUP)
            await asyncio.sleep(0.001)
        assert (await response).status == 502
        assert process.returncode == 0


async def test_a_new_address_does_not_wait_for_the_backoff_of_the_old_one(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection to the old address has failed, and a backoff of up to 60 s delays its next attempt."""
    monkeypatch.setattr(timeouts, "INITIAL_BACKOFF_S", 60.0)
    monkeypatch.setattr(composition, "watch_timing", lambda settings: timeouts.WatchTiming(60.0, 60.0, 60.0))
    new_discovery = ScriptedDiscovery()
    async with (
        Endpoint().serve() as endpoint,
        new_discovery.serve(),
        running_sidecar(tmp_path, endpoint) as sidecar,
    ):
        await wait_until(lambda: bool(sidecar.discovery.connections))
        sidecar.discovery.connections[0].writer.transport.abort()
        await move_watch(sidecar, tmp_path, new_discovery)


@pytest.mark.parametrize("catch_up_s", [3600.0, 0.05])
async def test_a_discovery_service_that_is_behind_does_not_end_a_drain(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, catch_up_s: float
) -> None:
    """The old service reported a drain, which the new one contradicts until it has caught up.

    A service with other revision numbers is trusted after it was heard for `catch_up_s`, without another
    update. While it is silent it learns nothing, so its list has no effect (review/7).
    """
    monkeypatch.setattr(
        endpoint_registry, "DrainTracker", partial(DrainTracker, catch_up_ns=int(catch_up_s * 10**9))
    )
    new_discovery = ScriptedDiscovery()
    drained = Endpoint()
    removed = Endpoint()
    ready = Endpoint()
    async with drained.serve(), removed.serve(), ready.serve(), new_discovery.serve():
        listed = enumerate((drained, removed, ready))
        rows = [member(f"s-{number}", endpoint.address, up_since_ms=0) for number, endpoint in listed]
        async with running_sidecar(tmp_path, drained, removed, ready) as sidecar:
            await wait_until(lambda: bool(sidecar.discovery.connections))
            sidecar.discovery.send(member_list(50, [rows[0] | {"phase": "draining"}, rows[2]]))
            await wait_until_served_by(sidecar.address, ready)
            await move_watch(sidecar, tmp_path, new_discovery)
            new_discovery.send(member_list(48, [*rows, member("s-3", ready.address)]))
            if catch_up_s < 1:
                await asyncio.sleep(10 * catch_up_s)
                await wait_until_served_by(sidecar.address, ready)
                assert not drained.requests
                heartbeats = asyncio.create_task(send_heartbeats(new_discovery, catch_up_s / 2))
                await wait_until_served_by(sidecar.address, drained)
                heartbeats.cancel()
                return
            await wait_until_served_by(sidecar.address, ready)
            assert not drained.requests
            assert not removed.requests
            new_discovery.send(member_list(50, [rows[1]], complete=False))  # The new service has caught up.
            await wait_until_served_by(sidecar.address, removed)
            assert not drained.requests


async def send_heartbeats(service: ScriptedDiscovery, interval_s: float) -> None:
    """Send empty lines until cancelled."""
    while True:
        service.send(b"")
        await asyncio.sleep(interval_s)


async def wait_until_served_by(address: Address, endpoint: Endpoint) -> None:
    """Send more than 30 requests, and further ones until the endpoint has served one; none may fail."""
    count = len(endpoint.requests)
    for number in range(10_000):
        assert (await send_request(address, request_bytes("once", new_trace_id()))).status == 200
        if len(endpoint.requests) > count and number >= 30:
            return
    raise AssertionError("the endpoint served none of 10,000 requests")
