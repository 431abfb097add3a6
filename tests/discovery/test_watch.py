"""The endpoint list watch: updates are applied, or requested again, within the time the protocol allows."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from time import monotonic
from typing import Any

import pytest

from anisespool.config.platform import Address, EndpointList
from anisespool.config.platform_loader import load_platform_config
from anisespool.discovery import timeouts
from anisespool.discovery.watch import EndpointWatch
from anisespool.fakes import http1
from anisespool.fakes.discovery import ScriptedDiscovery
from anisespool.fakes.endpoint import Endpoint
from anisespool.fakes.platform import member, member_list
from anisespool.fakes.server import Connection, FakeServer
from tests.codec.test_json_stream import INVALID_JSON
from tests.harness.client import request_bytes, send_request, wait_until_health
from tests.harness.platform_config import write_config
from tests.harness.running_sidecar import running_sidecar
from tests.harness.waiting import wait_until
from tests.support import SECOND, settings

PUSHED = timeouts.watch_timing(settings())
ROW = member("s-0", Address("127.0.0.1", 7001))


async def wait_until_watched(discovery: ScriptedDiscovery, count: int) -> None:
    """Wait until exactly `count` watches have been opened."""
    await wait_until(lambda: len(discovery.connections) == count)


INVALID_UPDATES: list[Any] = [
    {"revision": 3},
    [],
    {"revision": "x", "members": []},
    {"revision": 3, "members": [7]},
    *(
        member_list(3, [bad])
        for bad in ({"id": "s-0"}, ROW | {"phase": "odd"}, ROW | {"host_port": "here"}, ROW | {"size": []})
    ),
]


async def test_an_update_that_was_not_applied_is_requested_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A valid update with a later revision follows each invalid one at once, on the same connection."""
    monkeypatch.setattr(timeouts, "MAX_FAULT_BACKOFF_S", 0.02)
    bad = [*INVALID_JSON, *(json.dumps(raw).encode() for raw in INVALID_UPDATES)]
    async with Endpoint().serve() as old, running_sidecar(tmp_path, old) as sidecar:
        discovery = sidecar.discovery
        for index, text in enumerate(bad):
            await wait_until_watched(discovery, index + 1)
            discovery.send(text)
            discovery.send(member_list(9, [], complete=False))
        await wait_until_watched(discovery, len(bad) + 1)
        # No request skips the update that was not applied.
        assert set(discovery.targets) == {b"/v1/servers?stream=1&index=1"}
        discovery.send(
            json.dumps(member_list(7, [member("s-0", old.address, "draining")], False), indent=1).encode()
        )
        await wait_until_watched(discovery, len(bad) + 1)
        await wait_until_health(sidecar.address, 503)
        discovery.connections[-1].writer.transport.abort()
        await wait_until_watched(discovery, len(bad) + 2)
        assert discovery.targets[-1] == b"/v1/servers?stream=1&index=7"
        discovery.send({"revision": 8, "complete": False, "members": [{"id": "s-0", "phase": "removed"}]})
        discovery.send(member_list(9, [member("s-9", old.address)]))
        await wait_until_health(sidecar.address, 200)
    log = capfd.readouterr().err
    assert "\nendpoint_list_update_not_applied error=" in log
    assert "Traceback" not in log
    assert "members[0] ('s-0'): ValueError: 'here' is no host:port" in log


async def test_only_the_invalid_entry_is_skipped_and_its_update_is_requested_again(tmp_path: Path) -> None:
    good = Endpoint()
    bad = {"id": "s-7", "phase": "up", "host_port": 7}
    async with good.serve(), running_sidecar(tmp_path) as sidecar:
        discovery = sidecar.discovery
        for index in range(2):
            await wait_until_watched(discovery, index + 1)
            discovery.send(member_list(5, [bad, member("s-1", good.address)]))
            while (await send_request(sidecar.address, request_bytes("once", f"t{index}"))).status != 200:
                pass
        # Revision 5 is skipped the second time, so the next update is applied.
        discovery.send(member_list(6, [], complete=False))
        await wait_until(lambda: bool(discovery.connections))
        discovery.connections[-1].writer.transport.abort()
        await wait_until_watched(discovery, 3)
        assert [target.rpartition(b"=")[2] for target in discovery.targets] == [b"1", b"1", b"6"]


@asynccontextmanager
async def watching(
    folder: Path, address: Address, on_update: Callable[[EndpointList], None], timing: timeouts.WatchTiming
) -> AsyncIterator[EndpointWatch]:
    names = load_platform_config(write_config(folder, address, [])).names
    watch = EndpointWatch(address, names, 1, on_update, timing)
    task = asyncio.create_task(watch.run())
    try:
        yield watch
    finally:
        task.cancel()


async def test_an_update_whose_application_fails_is_requested_again(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    seen: list[int] = []

    def on_update(update: EndpointList) -> None:
        seen.append(update.revision)
        if seen == [2]:
            raise RuntimeError("once")

    async with ScriptedDiscovery().serve() as service, watching(tmp_path, service.address, on_update, PUSHED):
        for index in range(2):
            await wait_until_watched(service, index + 1)
            service.send(member_list(2, []))
        await wait_until(lambda: seen == [2, 2])
        service.connections[-1].writer.transport.abort()
        await wait_until_watched(service, 3)
        assert [target.rpartition(b"=")[2] for target in service.targets] == [b"1", b"1", b"2"]
    assert capfd.readouterr().err.count("RuntimeError: once") >= 1


@pytest.mark.parametrize("grace_s", [0.1, 0.25, 0.5, 1.0])
def test_the_watch_reconnects_to_an_agent_within_the_drain_grace_period(grace_s: float) -> None:
    timing = timeouts.watch_timing(settings(guarantees__drain_grace_ns=int(grace_s * SECOND)))
    assert timing.connect_timeout_s + timing.max_backoff_s <= max(grace_s, 2 * timeouts.MIN_TIMEOUT_S)
    assert timeouts.watch_timing(settings(discovery="ask")) is timeouts.POLL_TIMING


async def test_connecting_has_a_shorter_timeout_than_waiting_for_a_response(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> None:
    """A restarted agent answers new connections, but none that were opened before."""
    connect = asyncio.open_connection
    attempts = 0

    async def hang_until_sixth_attempt(*address: Any) -> Any:
        nonlocal attempts
        attempts += 1
        return await (asyncio.Event().wait() if attempts <= 5 else connect(*address))

    seen: list[int] = []
    monkeypatch.setattr(asyncio, "open_connection", hang_until_sixth_attempt)
    timing = timeouts.WatchTiming(0.01, 3600.0, 0.01)
    async with (
        ScriptedDiscovery().serve() as service,
        watching(tmp_path, service.address, lambda update: seen.append(1), timing),
    ):
        await wait_until(lambda: bool(service.connections))
        service.send(member_list(2, []))
        await wait_until(lambda: bool(seen))
    assert attempts == 6
    # Identical failures are logged once.
    assert capfd.readouterr().err.count("TimeoutError") == 1


class SilentDiscovery(FakeServer):
    """A discovery service that stays silent for the first two watches and sends an update to the third.

    Attributes:
        mode: `head`: silent after the head and an empty line; `nothing`: no response to the second watch;
            `drips`: bytes that never complete a document.
    """

    def __init__(self, mode: str) -> None:
        super().__init__()
        self.mode = mode
        self.connection_count = 0
        self.silent_since = 0.0

    async def handle_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        number = self.connection_count
        self.connections.append(Connection(reader, writer))
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        if number == 2 and self.mode == "nothing":
            await reader.read()
            return
        await http1.read_request(reader)
        writer.write(head)
        if number >= 3:
            writer.write(b"%x\r\n%s\r\n" % (len(UPDATE), UPDATE))
            return
        writer.write(b"1\r\n\n\r\n")
        self.silent_since = self.silent_since or monotonic()
        while self.mode == "drips" and not writer.is_closing():
            writer.write(b"1\r\n{\r\n" if number else b"")
            await asyncio.sleep(0.01)


UPDATE = json.dumps(member_list(2, [])).encode() + b"\n"
# Reserve for late scheduling, as a share of the time after which an update counts as delivered. The timeouts
# may use up to half of it.
SPARE_FRACTION = 0.2


@pytest.mark.parametrize("mode", ["head", "nothing", "drips"])
@pytest.mark.parametrize("timing", [PUSHED, timeouts.POLL_TIMING])
async def test_an_update_arrives_in_time_although_the_second_watch_is_silent_too(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, mode: str, timing: timeouts.WatchTiming
) -> None:
    """The time is calculated; the watch then runs with a twentieth of the silence and response timeouts."""
    delivered_s = 6.0
    # The second watch receives either only the head of a response or nothing.
    second_s = max(timeouts.SILENCE_TIMEOUT_S, timing.connect_timeout_s + timing.response_timeout_s)
    worst_s = timeouts.SILENCE_TIMEOUT_S + second_s + 3 * timeouts.INITIAL_BACKOFF_S
    assert worst_s <= (1 - SPARE_FRACTION / 2) * delivered_s
    assert timeouts.SILENCE_TIMEOUT_S > 2.0
    monkeypatch.setattr(timeouts, "SILENCE_TIMEOUT_S", timeouts.SILENCE_TIMEOUT_S / 20)
    seen: list[int] = []
    fast = timing._replace(response_timeout_s=timing.response_timeout_s / 20)
    silent = SilentDiscovery(mode)
    async with silent.serve(), watching(tmp_path, silent.address, lambda u: seen.append(u.revision), fast):
        await wait_until(lambda: bool(seen))
        assert silent.connection_count == 3


async def test_a_silent_watch_is_reopened(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """If discovery is cut off, its connection stays open, and only the silence reveals the fault."""
    monkeypatch.setattr(timeouts, "SILENCE_TIMEOUT_S", 0.1)
    async with Endpoint().serve() as endpoint, running_sidecar(tmp_path, endpoint) as sidecar:
        await wait_until(lambda: len(sidecar.discovery.connections) >= 2)
        assert (await sidecar.discovery.connections[0].reader.read()) == b""  # The old watch was closed.
        # The sidecar still serves requests with the list that it received before.
        assert (await send_request(sidecar.address, request_bytes())).status == 200
