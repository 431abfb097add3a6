"""Persistent HTTP/1.1 connection to an instance's control socket, with JSON bodies."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import msgspec

from anisespool.agent.control_protocol import PROTOCOL_VERSION, ControlResponse, RequestBody
from anisespool.codec import http1
from anisespool.control.routes import Route

READ_BYTES = 65536
HOST = b"instance"  # HTTP/1.1 requires the header; an instance ignores it


class ControlConnection:
    """Sends one request at a time. The caller closes the connection after a failed or cancelled exchange."""

    def __init__(self, path: Path) -> None:
        """Create a connection that the first request opens."""
        self._path = path
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def exchange(self, route: Route, body: RequestBody | None) -> ControlResponse:
        """Send a request and return the response.

        An instance closes idle connections. A request that fails on a connection that was already open is
        therefore sent again on a new one, as every request of the control protocol is idempotent.

        Raises:
            OSError: the socket can't be opened, or the connection was lost.
            EOFError: the instance closed the connection without a response.
            ValueError: the response does not conform to the control protocol.
        """
        was_open = self._writer is not None
        try:
            return await self._exchange_once(route, body)
        except (ConnectionError, EOFError):
            if not was_open:
                raise
        self.close()
        return await self._exchange_once(route, body)

    async def _exchange_once(self, route: Route, body: RequestBody | None) -> ControlResponse:
        if self._reader is None or self._writer is None:
            self._reader, self._writer = await asyncio.open_unix_connection(str(self._path))
        self._writer.write(_encode_request(route, body))
        response = await _read_response(self._reader)
        if not response.keep_alive:
            self.close()
        return _decode_response(response)

    def close(self) -> None:
        """Close the connection if it is open. The next request opens a new one."""
        if self._writer:
            self._writer.transport.abort()
        self._reader = None
        self._writer = None


def _encode_request(route: Route, body: RequestBody | None) -> bytes:
    data = json.dumps(msgspec.to_builtins(body)).encode() if body is not None else b""
    request = http1.Request(
        method=route.method.encode(), target=route.path.encode(), headers={}, body=data, keep_alive=True
    )
    return http1.encode_request(request, HOST, {})


def _decode_response(response: http1.Response) -> ControlResponse:
    """Decode an HTTP response. Raises ValueError if it does not conform to the control protocol."""
    try:
        body = json.loads(response.body)
    except RecursionError:
        raise ValueError("its JSON is nested too deeply") from None
    if not isinstance(body, dict) or body.get("version") != PROTOCOL_VERSION:
        raise ValueError("another version of the protocol")
    return ControlResponse(response.status, body)


async def _read_response(reader: asyncio.StreamReader) -> http1.Response:
    """Read one response. Raises EOFError if the connection ends, ValueError if it is not HTTP/1.1."""
    parser = http1.ResponseParser()
    try:
        while True:
            data = await reader.read(READ_BYTES)
            if not data:
                raise EOFError("it ended the connection")
            response = parser.feed(data)
            if parser.failed:
                raise ValueError("not HTTP/1.1")
            if response:
                return response
    finally:
        parser.close()
