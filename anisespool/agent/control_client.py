"""Client for the control socket of one instance. It holds the state that the instance last reported."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
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
    """Whether an instance responds to requests. The values appear in the events of agent.proto."""

    UNKNOWN = "unknown"  # it has not been polled yet
    REACHABLE = "answers"
    UNRESPONSIVE = "silent"  # no response arrived within the time limit, or the connection failed
    NOT_LISTENING = "gone"  # no process listens on its socket
    PROTOCOL_ERROR = "strange"  # it rejected a poll, or its response violates the control protocol


@dataclass(eq=False)
class UnreachableError(ControlClientError):
    """The instance gave no usable response.

    Attributes:
        reachability: Reachability of the instance after this failure.
    """

    reachability: Reachability
    text: str

    def __str__(self) -> str:
        return self.text


class RequestWithdrawnError(ControlClientError):
    """The request was no longer desired when its turn came, and was not sent."""


def always_desired() -> bool:
    """Return True: the request is sent however long it has waited for its turn."""
    return True


class ControlClient:
    """Client of one instance. It is kept from the scan that finds the socket until the socket is removed.

    Attributes:
        name: Name of the instance, taken from the file name of the socket.
        reachability: Reachability according to the last poll or change.
        detail: Why the instance is not reachable; empty if it is.
        state: State that the instance last reported; None before the first report.
        last_report_at: time.monotonic() of the last report; before the first, of the client's creation.
    """

    def __init__(self, path: Path, timeout_s: float) -> None:
        """Create a client that is not connected yet; `timeout_s` is the time limit of each request."""
        self.path = path
        self.name = path.stem
        self.reachability = Reachability.UNKNOWN
        self.detail = ""
        self.state: InstanceState | None = None
        self.last_report_at = time.monotonic()
        self._timeout_s = timeout_s
        self._connection = ControlConnection(path)
        self._lock = asyncio.Lock()  # serializes the requests

    @property
    def is_reachable(self) -> bool:
        """Whether the last poll or change was answered with the instance's state."""
        return self.reachability is Reachability.REACHABLE

    async def request(
        self,
        route: Route,
        body: RequestBody | None = None,
        is_desired: Callable[[], bool] = always_desired,
    ) -> JsonObject:
        """Send a request and return the JSON object of the response.

        Args:
            is_desired: Whether to send the request after all, called when its turn comes.

        Raises:
            UnreachableError: no usable response arrived within the time limit.
            RequestRejectedError: the response reports an error.
            RequestWithdrawnError: `is_desired` returned False.
        """
        async with self._lock:
            if not is_desired():
                raise RequestWithdrawnError
            try:
                async with asyncio.timeout(self._timeout_s):
                    response = await self._connection.exchange(route, body)
            except BaseException as error:
                # Part of the response may still be unread, also after a cancellation: drop the connection.
                self.close()
                unreachable = self._unreachable_error(error)
                if unreachable is None:
                    raise
                raise unreachable from None
        if response.status != HTTPStatus.OK:
            raise response.rejection()
        return response.body

    async def request_change(
        self,
        route: Route,
        body: RequestBody | None = None,
        is_desired: Callable[[], bool] = always_desired,
    ) -> None:
        """Send a request whose response is the instance's state, and record that state.

        Raises:
            UnreachableError: see `request`.
            RequestRejectedError: see `request`.
            RequestWithdrawnError: see `request`.
        """
        self._record_state(await self.request(route, body, is_desired))

    def _unreachable_error(self, error: BaseException) -> UnreachableError | None:
        """Convert the error of a failed exchange; None if the instance did not cause it."""
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
        """Request the instance's state, and record the state or the failure. Raises only when cancelled."""
        try:
            await self.request_change(routes.GET_STATE)
        except UnreachableError as error:
            self.record_unreachable(error)
        except RequestRejectedError as error:
            self._record_protocol_error(error.text[:MAX_DETAIL_CHARACTERS])

    def record_unreachable(self, error: UnreachableError) -> None:
        """Record the failure of a request; `state` remains the one last reported."""
        self.reachability = error.reachability
        self.detail = str(error)

    def _record_state(self, report: JsonObject) -> None:
        """Record the state that a report holds, or a protocol error if the report is invalid."""
        try:
            self.state = parse_state(report)
        except InvalidStateError as error:
            self._record_protocol_error(str(error))
            return
        self.reachability = Reachability.REACHABLE
        self.detail = ""
        self.last_report_at = time.monotonic()

    def _record_protocol_error(self, detail: str) -> None:
        self.reachability = Reachability.PROTOCOL_ERROR
        self.detail = detail

    def close(self) -> None:
        """Close the connection if it is open. The next request opens a new one."""
        self._connection.close()
