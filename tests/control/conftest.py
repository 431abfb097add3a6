"""Fixtures for tests of the control socket: a sidecar in the test process, and a client of its socket."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AbstractAsyncContextManager, AsyncExitStack, asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest

from anisespool.config import operator
from anisespool.fakes import control_client
from anisespool.fakes.endpoint import OK, Endpoint
from tests.harness.client import request_bytes, send_request
from tests.harness.running_sidecar import RunningSidecar, running_sidecar
from tests.harness.waiting import wait_until


@dataclass(frozen=True, slots=True)
class ControlledSidecar:
    """A sidecar with its control socket, and its endpoints `s-0`, `s-1` and so on."""

    sidecar: RunningSidecar
    endpoints: list[Endpoint]
    socket: Path

    async def call(self, operation: str, body: dict[str, Any] | None = None) -> tuple[int, dict[str, Any]]:
        """Send POST with a body, GET without; return status and response body."""
        return await control_client.call(self.socket, f"/v1/{operation}", body)

    async def get(self, operation: str) -> dict[str, Any]:
        """Send GET, check that it succeeds, and return the response body."""
        status, response = await self.call(operation)
        assert status == 200
        return response

    async def post(self, operation: str, body: dict[str, Any]) -> dict[str, Any]:
        """Send POST, check that it succeeds, and return the response body."""
        status, response = await self.call(operation, body)
        assert status == 200
        return response

    async def post_rejected(self, operation: str, body: dict[str, Any]) -> str:
        """Send POST, check that it fails, and return the error code."""
        status, response = await self.call(operation, body)
        assert status >= 400
        return str(response["error"]["code"])

    async def request(self, data: bytes | None = None) -> int:
        """Send an application request, by default `request_bytes()`, and return the status."""
        return (await send_request(self.sidecar.address, data or request_bytes())).status


StartSidecar = Callable[..., AbstractAsyncContextManager[ControlledSidecar]]


@pytest.fixture
def start_sidecar(tmp_path: Path) -> StartSidecar:
    """Return a function whose context manager runs a sidecar with a control socket.

    Every endpoint sends `response`. `wait_for_socket` delays the block until the control socket exists. Other
    arguments are keys of the section [control].
    """

    @asynccontextmanager
    async def start(
        endpoint_count: int = 1,
        response: bytes | Callable[..., Awaitable[None]] = OK,
        wait_for_socket: bool = True,
        **control: Any,
    ) -> AsyncIterator[ControlledSidecar]:
        async with AsyncExitStack() as stack:
            endpoints = [
                await stack.enter_async_context(Endpoint(response).serve()) for _ in range(endpoint_count)
            ]
            tables = {"control": {"folder": str(tmp_path / "ctl")} | control}
            file = operator.parse_operator_config(tables, "file")
            sidecar = await stack.enter_async_context(
                running_sidecar(tmp_path, *endpoints, operator_config=file)
            )
            socket = tmp_path / "ctl" / "n0.sock"
            if wait_for_socket:
                await wait_until(socket.exists)
            yield ControlledSidecar(sidecar, endpoints, socket)

    return start
