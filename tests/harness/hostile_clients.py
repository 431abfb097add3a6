"""Clients that send what costs a sidecar memory or processor time: many at once, or one at full speed.

They run in a process of their own (`python -m tests.harness.hostile_clients`), so that their work does not
delay what a test measures.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import StrEnum

from anisespool.codec.http1 import MAX_REQUEST_BODY_BYTES
from anisespool.config.platform import Address
from tests.harness.process_resources import allow_descriptors

LARGE_BODY_BYTES = MAX_REQUEST_BODY_BYTES - 1000
SHORT_FIELDS = 2200  # as many as the limit on the size of a head allows
FLOOD_REQUESTS = 1000  # in each write of a flood
SLOW_WRITE_BYTES = 200
SLOW_WRITE_PAUSE_S = 0.05
RECONNECT_PAUSE_S = 0.02
READ_BYTES = 65536
OTHER_DESCRIPTORS = 64

_numbers = itertools.count(1)


def _head(request_class: str, fields: str = "") -> bytes:
    """Return the start of a request with an id of its own; the empty line that ends a head is missing."""
    method = "GET" if request_class == "look" else "POST"
    return (
        f"{method} /{request_class}/k{next(_numbers)} HTTP/1.1\r\n"
        f"X-Trace-Id: hostile-{next(_numbers)}\r\nX-Customer: c{next(_numbers)}\r\n{fields}"
    ).encode()


def _short_fields(count: int) -> bytes:
    return b"".join(b"%x:\r\n" % number for number in range(count))


def half_of_a_large_body() -> bytes:
    """Return all but the last bytes of a large request."""
    return _head("once", f"Content-Length: {LARGE_BODY_BYTES}\r\n\r\n") + b"x" * (LARGE_BODY_BYTES - 100)


def body_in_tiny_chunks() -> bytes:
    """Return an unfinished body whose chunks have two bytes each."""
    return _head("once", "Transfer-Encoding: chunked\r\n\r\n") + b"2\r\nab\r\n" * (LARGE_BODY_BYTES // 2)


def head_of_short_fields() -> bytes:
    """Return an unfinished head of very many short fields."""
    return _head("look") + _short_fields(SHORT_FIELDS)


def oversized_head_of_short_fields() -> bytes:
    """Return a head of short fields that is many times larger than allowed."""
    return _head("look") + _short_fields(16 * SHORT_FIELDS)


def whole_large_request() -> bytes:
    """Return a complete large request."""
    return _head("once", f"Content-Length: {LARGE_BODY_BYTES}\r\n\r\n") + b"x" * LARGE_BODY_BYTES


def health_checks() -> bytes:
    """Return requests that the sidecar answers by itself."""
    return b"GET /healthz HTTP/1.1\r\n\r\n" * FLOOD_REQUESTS


def small_requests() -> bytes:
    """Return valid requests, each with an id, a customer and a key that never came before."""
    return b"".join(_head("look") + b"\r\n" for _ in range(FLOOD_REQUESTS))


def requests_with_many_fields() -> bytes:
    """Return health checks with as many header fields as fit."""
    return (b"GET /healthz HTTP/1.1\r\n" + _short_fields(SHORT_FIELDS) + b"\r\n") * 8


def unknown_classes() -> bytes:
    """Return requests of classes that don't exist, each with a name of its own."""
    return b"".join(b"GET /%d HTTP/1.1\r\nX%d: 1\r\n\r\n" % (n, n) for n in range(FLOOD_REQUESTS))


_CROWD_INPUTS = (
    half_of_a_large_body,
    body_in_tiny_chunks,
    head_of_short_fields,
    oversized_head_of_short_fields,
    whole_large_request,
)
_FLOOD_INPUTS = (health_checks, small_requests, requests_with_many_fields, unknown_classes)
INPUTS = {make_input.__name__: make_input for make_input in _CROWD_INPUTS + _FLOOD_INPUTS}
CROWD_INPUTS = tuple(make_input.__name__ for make_input in _CROWD_INPUTS)
"""What each client of a crowd sends once."""
FLOOD_INPUTS = tuple(make_input.__name__ for make_input in _FLOOD_INPUTS)
"""What a client sends again and again."""


class Manner(StrEnum):
    """How a client sends its input."""

    ONCE = "once"
    """At once; then it waits, and comes again when it is cut off."""
    SLOWLY = "slowly"
    """Some bytes at a time."""
    AT_FULL_SPEED = "at_full_speed"
    """Again and again, and reads the responses."""
    WITHOUT_READING = "without_reading"
    """Again and again, and reads nothing."""


@dataclass(frozen=True, slots=True)
class Attack:
    """What hostile clients do, and how many there are."""

    input_name: str
    """A key of `INPUTS`."""
    manner: Manner
    clients: int

    def __str__(self) -> str:
        return f"{self.clients}-{self.input_name}-{self.manner}"


@asynccontextmanager
async def hostile_clients(address: Address, attack: Attack) -> AsyncIterator[None]:
    """Run the clients in a process of their own until the block ends.

    Raises:
        RuntimeError: The process ended before.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tests.harness.hostile_clients",
        f"{address.host}:{address.port}",
        attack.input_name,
        attack.manner,
        str(attack.clients),
    )
    try:
        yield
        if process.returncode is not None:
            raise RuntimeError(f"the hostile clients ended with status {process.returncode}")
    finally:
        with suppress(ProcessLookupError):
            process.kill()
        await process.wait()


async def run_clients(address: Address, attack: Attack) -> None:
    """Run the clients in this process. They connect again whenever they are cut off."""
    send = {
        Manner.ONCE: _send_once,
        Manner.SLOWLY: _send_slowly,
        Manner.AT_FULL_SPEED: _send_and_read,
        Manner.WITHOUT_READING: _send_without_end,
    }[attack.manner]
    make_input = INPUTS[attack.input_name]
    await asyncio.gather(*(_repeat(address, send, make_input) for _ in range(attack.clients)))


MakeInput = Callable[[], bytes]
Send = Callable[[asyncio.StreamReader, asyncio.StreamWriter, MakeInput], Awaitable[None]]


async def _repeat(address: Address, send: Send, make_input: MakeInput) -> None:
    while True:
        with suppress(OSError):
            reader, writer = await asyncio.open_connection(*address)
            try:
                await send(reader, writer, make_input)
            finally:
                writer.transport.abort()
        await asyncio.sleep(RECONNECT_PAUSE_S)


async def _send_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_input: MakeInput
) -> None:
    writer.write(make_input())
    await _read_to_end(reader)


async def _send_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_input: MakeInput
) -> None:
    data = make_input()
    for start in range(0, len(data), SLOW_WRITE_BYTES):
        writer.write(data[start : start + SLOW_WRITE_BYTES])
        await asyncio.sleep(SLOW_WRITE_PAUSE_S)
        if reader.at_eof() or writer.is_closing():
            return


async def _send_and_read(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_input: MakeInput
) -> None:
    sending = asyncio.create_task(_send_without_end(reader, writer, make_input))
    try:
        await _read_to_end(reader)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)


async def _send_without_end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, make_input: MakeInput
) -> None:
    while True:
        writer.write(make_input())
        await writer.drain()
        await asyncio.sleep(0)


async def _read_to_end(reader: asyncio.StreamReader) -> None:
    with suppress(OSError):
        while await reader.read(READ_BYTES):
            pass


def main() -> None:
    """Run the clients that the arguments name until the process is ended."""
    address, input_name, manner, clients = sys.argv[1:]
    attack = Attack(input_name, Manner(manner), int(clients))
    allow_descriptors(attack.clients + OTHER_DESCRIPTORS)
    asyncio.run(run_clients(Address.parse(address), attack))


if __name__ == "__main__":
    main()
