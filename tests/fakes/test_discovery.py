"""The fake discovery service streams the endpoint list and its changes, and has outages."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from anisespool.config.platform import Address
from anisespool.fakes.discovery import DiscoveryService, Outage
from anisespool.fakes.platform import member, member_list
from anisespool.fakes.server import Connection
from tests.harness.waiting import wait_until

WATCH = b"GET /v1/servers?stream=1&index=1 HTTP/1.1\r\nHost: a\r\n\r\n"
OLD = member("s-0", Address("127.0.0.1", 1))
NEW = member("s-1", Address("127.0.0.1", 2))


async def open_watch(service: DiscoveryService) -> Connection:
    connection = Connection(*await asyncio.open_connection(*service.address))
    connection.writer.write(WATCH)
    return connection


async def read_head(connection: Connection) -> None:
    await connection.reader.readuntil(b"\r\n\r\n")


async def read_update(connection: Connection) -> Any:
    """Return the decoded line of the next chunk."""
    size = int(await connection.reader.readuntil(b"\r\n"), 16)
    chunk = await connection.reader.readexactly(size + 2)
    return json.loads(chunk)


async def test_a_watch_receives_the_list_and_then_each_change() -> None:
    async with DiscoveryService([OLD]).serve() as service:
        watch = await open_watch(service)
        await read_head(watch)
        assert await read_update(watch) == member_list(1, [OLD])
        service.publish(NEW)
        assert await read_update(watch) == member_list(2, [NEW], complete=False)
        service.publish_all([NEW])
        assert await read_update(watch) == member_list(3, [NEW])
        later = await open_watch(service)
        await read_head(later)
        assert await read_update(later) == member_list(3, [NEW])
        assert service.watch_requests == 2
        for connection in (watch, later):
            connection.writer.close()


async def test_a_silent_service_responds_when_the_outage_ends() -> None:
    async with DiscoveryService([OLD]).serve() as service:
        service.set_outage(Outage.SILENT)
        assert service.has_outage
        watch = await open_watch(service)
        await wait_until(lambda: service.watch_requests == 1)
        assert not service.connections
        service.set_outage(Outage.NONE)
        assert not service.has_outage
        await read_head(watch)
        assert await read_update(watch) == member_list(1, [OLD])
        watch.writer.close()


@pytest.mark.parametrize("outage", [Outage.RESET, "refused"])  # the lab's name for a link fault
async def test_any_other_outage_resets_open_and_new_watches(outage: str) -> None:
    async with DiscoveryService([OLD]).serve() as service:
        watch = await open_watch(service)
        await read_head(watch)
        await read_update(watch)
        service.set_outage(outage)
        for connection in (watch, await open_watch(service)):
            with pytest.raises(ConnectionResetError):
                await connection.reader.read()
            connection.writer.close()
        assert service.has_outage
