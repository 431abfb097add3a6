"""Client of one instance: sends requests to its control socket, and holds its state as last reported."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from pathlib import Path

from anisespool.agent.control_connection import ControlConnection
from anisespool.agent.control_protocol import (
    ControlClientError,
    InvalidStateError,
    RequestBody,
    RequestRejectedError,
    parse_state,
)
from anisespool.agent.instance_state import InstanceState
from anisespool.control import routes
from anisespool.control.responses import JsonObject
from anisespool.control.routes import Route

MAX_DETAIL_CHARACTERS = 200


class Reachability(Enum):
    """Whether an instance answers. The values appear in the events of agent.proto."""

    UNKNOWN = "unknown"  # not polled yet
    REACHABLE = "answers"
    UNRESPONSIVE = "silent"  # its socket exists, no answer within the time limit
    NOT_LISTENING = "gone"
    PROTOCOL_ERROR = "strange"  # its answer is not of the control protocol


@dataclass(eq=False)
class UnreachableError(ControlClientError):
    """The instance gave no answer that can be used.

    Attributes:
        reachability: What that shows.
        text: Why, for people.
    """

    reachability: Reachability
    text: str

    def __str__(self) -> str:
        return self.text


class ControlClient:
    """One instance, from the scan that finds its socket until the socket is removed.

    Attributes:
        path: Of the control socket.
        name: Of the instance.
        reachability: Whether it answered the last request with its state.
        detail: Why it is not reachable; empty if it is.
        state: As last reported; None before its first report.
        last_answer_at: time.monotonic() of that report, or of the client's creation.
    """

    def __init__(self, path: Path, timeout_s: float) -> None:
        """Nothing is sent before the first request; `timeout_s` is the time limit of each."""
        self.path = path
        self.name = path.stem
        self.reachability = Reachability.UNKNOWN
        self.detail = ""
        self.state: InstanceState | None = None
        self.last_answer_at = time.monotonic()
        self._timeout_s = timeout_s
        self._connection = ControlConnection(path)
        self._lock = asyncio.Lock()  # one request at a time

    @property
    def is_reachable(self) -> bool:
        """Whether the instance answered the last request with its state."""
        return self.reachability is Reachability.REACHABLE

    async def request(self, route: Route, body: RequestBody | None = None) -> JsonObject:
        """Send a request and return the answer's object.

        Raises:
            UnreachableError: no answer within the time limit, or none that can be used.
            RequestRejectedError: the instance answered with an error.
        """
        async with self._lock:
            try:
                async with asyncio.timeout(self._timeout_s):
                    answer = await self._connection.exchange(route, body)
            except (
                BaseException
            ) as error:  # also when cancelled: the connection may hold a part of the answer
                self.close()
                unreachable = self._unreachable_error(error)
                if unreachable is None:
                    raise
                raise unreachable from None
        if answer.status != HTTPStatus.OK:
            raise answer.rejection()
        return answer.body

    async def request_change(self, route: Route, body: RequestBody | None = None) -> None:
        """Send a request that is answered with the instance's state, and record that.

        Raises:
            UnreachableError: see `request`.
            RequestRejectedError: see `request`.
        """
        self._record_state(await self.request(route, body))

    def _unreachable_error(self, error: BaseException) -> UnreachableError | None:
        """Return the reachability that a failed exchange shows; None if the error is not the instance's."""
        if isinstance(error, TimeoutError):
            return UnreachableError(Reachability.UNRESPONSIVE, f"no answer within {self._timeout_s:g} s")
        if isinstance(error, ConnectionRefusedError | FileNotFoundError):
            return UnreachableError(Reachability.NOT_LISTENING, "nobody listens on its socket")
        if isinstance(error, OSError | EOFError):
            return UnreachableError(Reachability.UNRESPONSIVE, f"{type(error).__name__}: {error}")
        if isinstance(error, ValueError):
            text = f"no answer of an instance: {error}"[:MAX_DETAIL_CHARACTERS]
            return UnreachableError(Reachability.PROTOCOL_ERROR, text)
        return None

    async def poll(self) -> None:
        """Request the instance's state and record it, or why there is none. Raises only when cancelled."""
        try:
            await self.request_change(routes.GET_STATE)
        except UnreachableError as error:
            self.record_unreachable(error)
        except RequestRejectedError as error:
            self._record_protocol_error(error.text[:MAX_DETAIL_CHARACTERS])

    def record_unreachable(self, error: UnreachableError) -> None:
        """Record that a request got no answer; the state stays as last reported."""
        self.reachability = error.reachability
        self.detail = str(error)

    def _record_state(self, answer: JsonObject) -> None:
        try:
            self.state = parse_state(answer)
        except InvalidStateError as error:
            self._record_protocol_error(str(error))
            return
        self.reachability = Reachability.REACHABLE
        self.detail = ""
        self.last_answer_at = time.monotonic()

    def _record_protocol_error(self, detail: str) -> None:
        self.reachability = Reachability.PROTOCOL_ERROR
        self.detail = detail

    def close(self) -> None:
        """Close the connection, if there is one; the next request opens another."""
        self._connection.close()
