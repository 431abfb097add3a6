"""Closing a connection to an endpoint: what its socket has not delivered by then is never delivered."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from anisespool.balancer.interface import AttemptStatus
from anisespool.fakes.endpoint import OK
from anisespool.upstream.attempt import Attempt
from tests.harness.stalled_endpoint import LONG_BODY, LONG_POST, read_to_end, stalled_endpoint, unread_bytes
from tests.harness.waiting import wait_until
from tests.support import MS, SECOND
from tests.upstream.harness import GET, ClusterHarness


async def _time_out(attempt: Attempt, connection: socket.socket) -> None:
    await wait_until(lambda: attempt.status is AttemptStatus.TIMEOUT)


async def _cancel(attempt: Attempt, connection: socket.socket) -> None:
    attempt.abort(AttemptStatus.CANCELLED)


async def _spoil_response(attempt: Attempt, connection: socket.socket) -> None:
    connection.send(b"no HTTP\r\n")
    await wait_until(lambda: attempt.status is AttemptStatus.RESET)


async def _respond_and_close(attempt: Attempt, connection: socket.socket) -> None:
    connection.send(b"HTTP/1.1 500 Oops\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
    await wait_until(lambda: attempt.status is AttemptStatus.ERROR)


@pytest.mark.parametrize("end_attempt", [_time_out, _cancel, _spoil_response, _respond_and_close])
async def test_the_undelivered_part_of_an_ended_attempts_request_is_never_sent(
    end_attempt: Callable[[Attempt, socket.socket], Awaitable[None]],
) -> None:
    """A rejected request stayed in the socket's buffer, was delivered later and ran beside its retry.

    The endpoint reads before the event loop's next turn, because the response to the client is written in
    this turn: nothing may be sent after it.
    """
    async with stalled_endpoint() as (address, accepted):
        attempt = ClusterHarness(address).send(LONG_POST, timeout_ns=100 * MS)
        connection = await accepted
        await wait_until(lambda: attempt.may_have_executed)  # the kernel has the whole request
        await end_attempt(attempt, connection)
        received = read_to_end(connection)
        assert received.was_reset
        assert len(received.data) < len(LONG_BODY)


async def test_an_idle_connection_is_closed_in_order() -> None:
    """A reset of each idle connection would fill the endpoints' logs."""
    async with stalled_endpoint() as (address, accepted):
        harness = ClusterHarness(address)
        attempt = harness.send()
        connection = await accepted
        await wait_until(lambda: unread_bytes(connection) > 0)
        connection.send(OK)
        await wait_until(lambda: attempt.status is AttemptStatus.OK)
        harness.cluster.close_idle(1)
        received = await asyncio.to_thread(read_to_end, connection)
        assert not received.was_reset


async def test_a_connection_that_has_delivered_its_request_is_closed_in_order() -> None:
    """A reset is sent once; an orderly close is repeated until an endpoint behind a partition has it."""
    async with stalled_endpoint() as (address, accepted):
        attempt = ClusterHarness(address).send(GET, timeout_ns=2 * SECOND)
        connection = await accepted
        await wait_until(lambda: unread_bytes(connection) > 0)
        attempt.abort(AttemptStatus.CANCELLED)
        received = await asyncio.to_thread(read_to_end, connection)
        assert received.data.startswith(b"GET /look/1?q=2")
        assert received.data.endswith(b"\r\n\r\n")
        assert not received.was_reset
