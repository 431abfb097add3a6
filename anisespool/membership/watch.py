"""The watch on discovery's list: one long answer, a JSON object a line, for as long as it lasts."""

from __future__ import annotations

import asyncio
import json
import random
import sys
import traceback
from collections.abc import Callable

from anisespool.config.platform import Address, MemberList, Names
from anisespool.wire import http1

SILENCE_S = 5.0  # an empty line is due every 2 s: a cut-off peer says nothing, TCP does not notice
FIRST_WAIT_S, LONGEST_WAIT_S = 0.05, 2.0  # news counts as told after 6 s
MAX_LINE = 4 * 1024 * 1024


class Watch:
    """Keeps the list up to date and hands each change on, in order."""

    def __init__(
        self, address: Address, names: Names, revision: int, on_list: Callable[[MemberList], None]
    ) -> None:
        self._address, self._names, self._on_list = address, names, on_list
        self._revision = revision
        self._buffer = b""
        self._wait_s = FIRST_WAIT_S
        self._turn: asyncio.Task[None] | None = None

    def move(self, address: Address) -> None:
        """Watch at another address from now on, without waiting for the old one to end, nor for the time
        that its failures would have cost."""
        if address == self._address:
            return
        print("discovery: now at {}:{}".format(*address), file=sys.stderr)
        self._address, self._wait_s = address, FIRST_WAIT_S
        if self._turn:
            self._turn.cancel()

    async def run(self) -> None:
        while True:
            self._turn = asyncio.create_task(self._watch_and_wait())
            try:
                await asyncio.wait([self._turn])  # a turn may be cancelled, and that does not end the watch
            finally:
                self._turn.cancel()

    async def _watch_and_wait(self) -> None:
        try:
            await self._watch_once()
        except (OSError, TimeoutError) as error:
            print(f"discovery: {type(error).__name__}: {error}", file=sys.stderr)
        except Exception:  # Danger: whatever it was, without a watch drains are missed for good
            traceback.print_exc()
        # Jittered: all sidecars lose discovery at the same moment.
        wait_s, self._wait_s = self._wait_s, min(2 * self._wait_s, LONGEST_WAIT_S)
        await asyncio.sleep(wait_s * random.uniform(0.5, 1.0))

    async def _watch_once(self) -> None:
        self._buffer = b""
        async with asyncio.timeout(SILENCE_S):
            reader, writer = await asyncio.open_connection(*self._address)
        parser = http1.ResponseParser(self._on_body)
        try:
            target = b"/v1/servers?stream=1&index=%d" % self._revision
            request = http1.Request(b"GET", target, {}, b"", True)
            writer.write(http1.encode_request(request, "{}:{}".format(*self._address).encode(), {}))
            while True:
                async with asyncio.timeout(SILENCE_S):
                    data = await reader.read(65536)
                if not data:
                    return
                parser.feed(data)
                if parser.broken or parser.response or parser.status not in (0, 200):
                    return
                if len(self._buffer) > MAX_LINE:
                    raise OSError("a line without end")
        finally:
            parser.close()
            writer.transport.abort()

    def _on_body(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        if lines:
            self._wait_s = FIRST_WAIT_S
        for line in lines:
            if line.strip():
                self._on_line(line)

    def _on_line(self, line: bytes) -> None:
        try:
            update = self._names.member_list(json.loads(line))
        except (ValueError, RecursionError) as error:
            # Danger: one line that nobody can read must not end the watch, nor hide those behind it.
            print(f"discovery: a line was skipped: {error}"[:300], file=sys.stderr)
            return
        self._revision = update.revision
        self._on_list(update)
