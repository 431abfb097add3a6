"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import Any

import pytest

from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member, member_list
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import RunningSidecar, running_sidecar
from tests.harness.waiting import wait_until

NOW_MS = int(time.time() * 1000)
SETTLE_S = 0.1


async def publish(sidecar: RunningSidecar, revision: int, *members: dict[str, Any], complete: bool) -> None:
    """Send an update, and wait until it has been applied."""
    await wait_until(lambda: bool(sidecar.discovery.connections))
    sidecar.discovery.send(member_list(revision, list(members), complete))
    await asyncio.sleep(SETTLE_S)


@pytest.mark.parametrize("complete", [True, False], ids=["whole list", "change"])
async def test_nothing_is_sent_to_a_draining_process_by_the_id_of_its_predecessor(
    tmp_path: Path, complete: bool
) -> None:
    """Report 9c876c: the old id stayed ready at the address that the new, draining process has."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        old = member("s-0", endpoint.address)
        new = member("s-new", endpoint.address, phase="draining", up_since_ms=NOW_MS)
        members = (old, new) if complete else (new,)
        await publish(sidecar, 2, *members, complete=complete)
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 503
        assert not endpoint.requests


async def test_the_old_process_is_not_listed_again_by_an_update_of_its_entry(tmp_path: Path) -> None:
    """An update of the old entry, such as a new weight, made the old id ready at the address again."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        new = member("s-new", endpoint.address, phase="draining", up_since_ms=NOW_MS)
        await publish(sidecar, 2, new, complete=False)
        await publish(sidecar, 3, member("s-0", endpoint.address, size=2.0), complete=False)
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 503
        assert not endpoint.requests


async def test_the_old_id_is_used_again_once_the_new_process_has_gone(tmp_path: Path) -> None:
    """The entry of an endpoint whose address was free again is valid: it may have been moved back there."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        new = member("s-new", endpoint.address, phase="draining", up_since_ms=NOW_MS - 120_000)
        await publish(sidecar, 2, new, complete=False)
        gone = member("s-new", endpoint.address, phase="removed")
        restarted = member("s-0", endpoint.address, up_since_ms=NOW_MS - 60_000)
        await publish(sidecar, 3, gone, restarted, complete=False)
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 200


async def test_connections_to_the_old_process_are_not_used_for_the_new_one(tmp_path: Path) -> None:
    """A request on a connection of the old process would end as a reset, which may have been executed."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 200
        await publish(
            sidecar, 2, member("s-new", endpoint.address, up_since_ms=NOW_MS - 60_000), complete=False
        )
        assert endpoint.closed_by_peer == 1
        assert (await send_request(sidecar.address, request_bytes("look", "t2"))).status == 200
        assert len(endpoint.connections) == 2


async def test_a_removed_successor_does_not_end_a_drain_of_an_older_list(tmp_path: Path) -> None:
    """The entries that an update affects by their address alone keep what an earlier list said of them."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        new = member("s-new", endpoint.address, up_since_ms=NOW_MS - 60_000)
        await publish(sidecar, 5, member("s-0", endpoint.address, phase="draining"), new, complete=False)
        await publish(sidecar, 4, member("s-0", endpoint.address), complete=False)  # behind
        await publish(sidecar, 6, member("s-new", endpoint.address, phase="removed"), complete=False)
        assert (await send_request(sidecar.address, request_bytes("look", "t1"))).status == 503
        assert not endpoint.requests
