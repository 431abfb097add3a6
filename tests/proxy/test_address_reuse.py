"""A new process at the address of one that has gone is not taken for the old one."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from anisespool.discovery import address_owners
from anisespool.fakes.discovery import ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member, member_list
from anisespool.fakes.server import reset
from tests.harness.client import new_trace_id, request_bytes, send_request
from tests.harness.running_sidecar import RunningSidecar, running_sidecar
from tests.harness.waiting import wait_until
from tests.sidecar.test_reload import move_watch
from tests.support import SECOND

NOW_MS = int(time.time() * 1000)
SETTLE_S = 0.1
# A busy machine must not make the sidecar open a second connection in place of a slow first one.
PATIENT: dict[str, Any] = {"allowed__connect_timeout_ns": 60 * SECOND}


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


class Replacement:
    """An endpoint whose address is listed for `s-0`, which has ended, and for `s-new`, which runs there.

    `move_watch` gives the sidecar another discovery service, and sends the list that this one has.
    """

    def __init__(
        self, folder: Path, sidecar: RunningSidecar, endpoint: Endpoint, other_discovery: ScriptedDiscovery
    ) -> None:
        self.sidecar = sidecar
        self.other_discovery = other_discovery
        self._folder = folder
        self.old = member("s-0", endpoint.address)
        self.new = member("s-new", endpoint.address, up_since_ms=NOW_MS - 60_000)
        self.draining = self.new | {"phase": "draining"}
        self.removed = self.new | {"phase": "removed"}
        self._endpoint = endpoint

    async def publish(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        await publish(self.sidecar, revision, *members, complete=complete)

    async def move_watch(self, revision: int, *members: dict[str, Any]) -> None:
        await move_watch(self.sidecar, self._folder, self.other_discovery)
        await self.publish_by_other(revision, *members, complete=True)

    async def publish_by_other(self, revision: int, *members: dict[str, Any], complete: bool = False) -> None:
        self.other_discovery.send(member_list(revision, list(members), complete))
        await asyncio.sleep(SETTLE_S)

    async def reopen_watch(self, *, by_reset: bool) -> None:
        """End the open watch, and wait for the next one."""
        connections = self.sidecar.discovery.connections
        watch_count = len(connections)
        if by_reset:
            reset(connections[-1].writer)
        else:
            connections[-1].writer.close()
        await wait_until(lambda: len(connections) > watch_count)

    @property
    def connection_count(self) -> int:
        return len(self._endpoint.connections)

    async def is_used(self) -> bool:
        """Send a request, and return whether it was served; the process gets none that is not served."""
        count = len(self._endpoint.requests)
        response = await send_request(self.sidecar.address, request_bytes("look", new_trace_id()))
        assert len(self._endpoint.requests) - count == (response.status == 200)
        return response.status == 200


@asynccontextmanager
async def replacement(folder: Path, **changes: Any) -> AsyncIterator[Replacement]:
    """Run a sidecar that lists `s-0`, and a second discovery service, which it does not watch yet."""
    async with (
        Endpoint().serve() as endpoint,
        ScriptedDiscovery().serve() as other_discovery,
        running_sidecar(folder, endpoint, **changes) as sidecar,
    ):
        yield Replacement(folder, sidecar, endpoint, other_discovery)


@pytest.mark.parametrize(
    "path",
    [
        "change",
        "id_alone",
        "no_address",
        "never_listed",
        "whole_list",
        "drain_then_whole_list",
        "watch_ended",
        "watch_reset",
        "sighup",
        "sighup_to_an_older_list",
        "removed_twice",
    ],
)
async def test_nothing_is_sent_to_a_withdrawn_process_by_the_id_of_its_predecessor(
    tmp_path: Path, path: str
) -> None:
    """review/9: the newer process was forgotten with its entry, and the dead endpoint's id was used again."""
    async with replacement(tmp_path) as case:
        if path != "never_listed":
            await case.publish(2, case.new)
            assert await case.is_used()
        match path:
            case "change" | "never_listed":
                await case.publish(3, case.removed)
            case "id_alone":
                await case.publish(3, {"id": "s-new", "phase": "removed"})
            case "no_address":
                await case.publish(3, case.removed | {"host_port": None})
            case "whole_list":
                await case.publish(3, case.old, complete=True)
            case "drain_then_whole_list":
                await case.publish(3, case.draining)
                await case.publish(4, case.old, complete=True)
            case "watch_ended" | "watch_reset":
                await case.reopen_watch(by_reset=path == "watch_reset")
                await case.publish(3, case.old, complete=True)
            case "sighup" | "sighup_to_an_older_list":
                await case.move_watch(1 if path == "sighup_to_an_older_list" else 3, case.old)
            case "removed_twice":
                await case.publish(3, case.removed, case.old | {"phase": "removed"})
                await case.publish(4, case.old)
        assert not await case.is_used()


@pytest.mark.parametrize("complete", [True, False], ids=["whole list", "change"])
@pytest.mark.parametrize("returning", ["same process", "restarted", "old id, newer", "other id, newer"])
async def test_what_comes_back_newer_is_used_again(tmp_path: Path, complete: bool, returning: str) -> None:
    """A withdrawn process must not make its address useless for those that come after it."""
    async with replacement(tmp_path) as case:
        await case.publish(2, case.new)
        await case.publish(3, case.old, complete=True)
        assert not await case.is_used()
        returned = {
            "same process": case.new,
            "restarted": case.new | {"up_since_ms": NOW_MS - 30_000},
            "old id, newer": case.old | {"up_since_ms": NOW_MS - 30_000},
            "other id, newer": case.new | {"id": "s-next", "up_since_ms": NOW_MS - 30_000},
        }[returning]
        await case.publish(4, returned, complete=complete)
        assert await case.is_used()


async def test_an_entry_is_used_again_once_the_withdrawn_process_is_forgotten(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The clock of a newer process's machine may be behind; its entry must not wait for another update."""
    monkeypatch.setattr(address_owners, "WITHDRAWN_PROCESS_LIFETIME_NS", 300_000_000)
    async with replacement(tmp_path) as case:
        await case.publish(2, case.new)
        await case.publish(3, case.removed)
        withdrawn_s = time.monotonic() - SETTLE_S
        while not await case.is_used():
            await asyncio.sleep(0.01)
        assert time.monotonic() - withdrawn_s >= 0.3


async def test_the_start_of_an_older_list_does_not_replace_a_newer_one(tmp_path: Path) -> None:
    """A list that is behind would make a warming endpoint count as warm, and close its connections."""
    async with replacement(tmp_path, **PATIENT) as case:
        await case.publish(5, case.old | {"up_since_ms": NOW_MS - 60_000})
        assert await case.is_used()
        await case.move_watch(4, case.old)
        assert await case.is_used()
        assert case.connection_count == 1


async def test_a_drain_outlasts_a_list_from_before_the_last_start(tmp_path: Path) -> None:
    """review/8: the earlier start of a list that was behind was taken for a restart and ended the drain."""
    async with replacement(tmp_path) as case:
        restarted = case.old | {"up_since_ms": NOW_MS - 60_000}
        await case.publish(5, restarted)
        await case.publish(6, restarted | {"phase": "draining"})
        await case.move_watch(4, case.old)
        assert not await case.is_used()
        await case.publish_by_other(6, restarted)
        assert await case.is_used()


async def test_connections_to_the_old_process_are_not_used_for_the_new_one(tmp_path: Path) -> None:
    """A request on a connection of the old process would end as a reset, which may have been executed."""
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint, **PATIENT) as sidecar:
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
