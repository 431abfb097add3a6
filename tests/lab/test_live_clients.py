"""Clients of runs with real processes: attempts, retries, and the violations that they record."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass

import pytest

from anisespool.lab.live.clients import Clients
from anisespool.lab.live.process_account import ProcessAccount
from anisespool.lab.live.sidecar_client import ClientResponse
from anisespool.lab.model.metrics import ClientRequest
from tests.lab.live_results import empty_result, one_class_scenario


class ScriptedSidecar:
    """Returns the next response of a list for each request, and repeats the last one."""

    def __init__(self, *responses: ClientResponse) -> None:
        self.up = True
        self.account = ProcessAccount()
        self.received: list[bytes] = []
        self._responses = responses

    async def request(self, data: bytes, trace: bytes) -> ClientResponse | None:
        self.received.append(data)
        return self._responses[min(len(self.received), len(self._responses)) - 1]


def client_request() -> ClientRequest:
    return ClientRequest(
        number=1,
        class_index=0,
        arrived_at=0,
        work_ns=5,
        sidecar=0,
        patience=1.0,
        honors_retry_after=True,
    )


OWN_BODY = ClientResponse(200, is_own=True)
OTHER_BODY = ClientResponse(200, is_own=False)
FAILED = ClientResponse(502)
REJECTED = ClientResponse(503)
REJECTED_WITH_RETRY_AFTER = ClientResponse(503, retry_after_s=0.01)


@dataclass(frozen=True)
class ClientCase:
    """Responses of a sidecar, and the expected behavior of its client."""

    name: str
    effect: str
    responses: Sequence[ClientResponse]
    attempts: int
    outcome: str
    broken: str = ""


@pytest.mark.parametrize(
    "case",
    [
        ClientCase("success", "once", [OWN_BODY], 1, "in_time"),
        ClientCase(
            "body of another request",
            "once",
            [OTHER_BODY],
            1,
            "in_time",
            "rule 1: wish 1 was answered with another's body",
        ),
        ClientCase("rejection is retried", "once", [REJECTED_WITH_RETRY_AFTER, OWN_BODY], 2, "in_time"),
        ClientCase("possibly executed request is not retried", "once", [FAILED], 1, "failed"),
        ClientCase("idempotent request is retried", "repeatable", [FAILED, OWN_BODY], 2, "in_time"),
        ClientCase("rejection of the last attempt", "once", [REJECTED] * 3, 3, "refused"),
    ],
    ids=lambda case: case.name,
)
def test_clients_retry_safe_attempts_and_judge_responses(case: ClientCase) -> None:
    scenario = one_class_scenario(effect=case.effect)
    sidecar = ScriptedSidecar(*case.responses)
    result = empty_result(scenario)
    request = client_request()
    clients = Clients(scenario, [sidecar], result)
    asyncio.run(clients.run([request], time.monotonic_ns()))
    assert request.attempts_made == case.attempts
    assert request.outcome == case.outcome
    assert result.broken == case.broken
    is_retry = [b"X-Second-Try" in data for data in sidecar.received]
    assert is_retry == [attempt > 0 for attempt in range(case.attempts)]


def block_event_loop(seconds: float) -> None:
    time.sleep(seconds)


class SilentSidecar(ScriptedSidecar):
    """Sends no response before the deadline. With `blocks_loop` it also blocks the event loop past it."""

    def __init__(self, blocks_loop: bool) -> None:
        super().__init__()
        self._blocks_loop = blocks_loop

    async def request(self, data: bytes, trace: bytes) -> ClientResponse | None:
        await asyncio.sleep(0.05)
        if self._blocks_loop:
            block_event_loop(0.3)  # a real response would wait unread in the socket
        await asyncio.sleep(10)
        return OWN_BODY


@pytest.mark.parametrize(
    ("blocks_loop", "broken"), [(True, ""), (False, "rule 1: wish 1 was not answered in time")]
)
def test_a_missing_response_is_excused_if_the_clients_event_loop_stalled(
    blocks_loop: bool, broken: str
) -> None:
    """Observed once in rolling restarts of some three hundred sidecars, with six runs in one process."""
    scenario = one_class_scenario(deadline_ms=100, target_ms=100)
    result = empty_result(scenario)
    clients = Clients(scenario, [SilentSidecar(blocks_loop)], result)
    asyncio.run(clients.run([client_request()], time.monotonic_ns()))
    assert (result.broken, result.excused) == (broken, int(blocks_loop))
