"""Listeners in front of endpoints, on real sockets: open, refusing or silent, always on the same port."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

import pytest

from anisespool.lab.live.connection_proxy import (
    HOST,
    ConnectionProxy,
    InFlightAttempt,
    ListenerState,
    SidecarConnection,
)
from anisespool.lab.live.proxy_table import proxy_groups
from anisespool.lab.model.endpoint import Endpoint
from anisespool.lab.scenario import Endpoints, Rules, from_raw

CONNECT_TIMEOUT_S = 0.3


class UnusedHandler:
    """Fails if it is called: these tests send no complete request."""

    def request_received(
        self, proxy: ConnectionProxy, connection: SidecarConnection, path: bytes, trace: bytes, is_first: bool
    ) -> InFlightAttempt | None:
        raise AssertionError(f"the request for {path!r} was not expected")

    def connection_closed(self, attempt: InFlightAttempt) -> None:
        raise AssertionError("the end of an attempt was not expected")


def closed_proxy() -> ConnectionProxy:
    endpoint = Endpoint(1, 0, Endpoints(), Rules(), 1.0)
    return ConnectionProxy(UnusedHandler(), endpoint, 0)


def put_into(proxy: ConnectionProxy, state: ListenerState) -> None:
    if state is ListenerState.OPEN:
        proxy.open()
    else:
        proxy.shut(state)


async def connection_outcome(port: int) -> str:
    """The outcome of a new connection."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(HOST, port)
    except TimeoutError:
        return "hangs"
    except ConnectionRefusedError:
        return "refused"
    writer.close()
    return "up"


async def test_a_listener_accepts_refuses_or_hangs_and_keeps_its_port() -> None:
    expected = {
        ListenerState.OPEN: "up",
        ListenerState.SILENT: "hangs",
        ListenerState.REFUSED: "refused",
    }
    proxy = closed_proxy()
    port = proxy.port
    for name in ("open", "silent", "open", "refused", "silent", "refused", "open"):
        state = ListenerState(name)
        put_into(proxy, state)
        assert await connection_outcome(port) == expected[state], name
    assert proxy.port == port
    proxy.close()


async def test_a_connection_that_was_unaccepted_at_a_cut_is_reset_when_the_listener_reopens() -> None:
    """Data that was written to it during the cut would otherwise look new after it."""
    proxy = closed_proxy()
    proxy.open()
    sock = socket.create_connection((HOST, proxy.port))  # established, but not accepted by the listener
    proxy.shut(ListenerState.SILENT)
    sock.sendall(b"GET /late HTTP/1.1\r\n\r\n")
    proxy.open()
    with pytest.raises(ConnectionResetError):
        sock.recv(1)
    sock.close()
    proxy.close()


FIVE_ZONES: dict[str, Any] = {"endpoints": [{"count": 12, "zone": zone} for zone in range(5)]}


def test_each_sidecar_has_its_own_listeners() -> None:
    scenario = from_raw(FIVE_ZONES | {"sidecars": 60}, "x")
    assert proxy_groups(scenario) == list(range(60))


def test_the_sidecars_of_a_large_fleet_share_listeners_by_zone() -> None:
    scenario = from_raw(FIVE_ZONES | {"sidecars": 200}, "x")
    assert set(proxy_groups(scenario)) == set(range(5))
