"""The table of upstream/attempt_outcome.py: what the status of an attempt proves."""

from __future__ import annotations

import pytest

from anisespool.balancer.interface import NOT_EXECUTED, AttemptStatus
from anisespool.upstream.attempt_outcome import status_of_loss, status_of_response, status_of_timeout

NEVER_RAN = {b"x-never-ran": b" 1"}


@pytest.mark.parametrize(
    ("http_status", "headers", "status"),
    [
        (200, {}, AttemptStatus.OK),
        (200, NEVER_RAN, AttemptStatus.OK),
        (503, NEVER_RAN, AttemptStatus.FULL),
        (504, NEVER_RAN, AttemptStatus.FULL),
        (503, {b"x-never-ran": b"0"}, AttemptStatus.ERROR),
        (503, {}, AttemptStatus.ERROR),
        (500, NEVER_RAN, AttemptStatus.ERROR),
    ],
)
def test_only_503_and_504_with_x_never_ran_prove_that_nothing_was_executed(
    http_status: int, headers: dict[bytes, bytes], status: AttemptStatus
) -> None:
    assert status_of_response(http_status, headers) is status
    assert (status in NOT_EXECUTED) is (status is AttemptStatus.FULL)


def test_without_a_response_only_unsent_bytes_prove_that_nothing_was_executed() -> None:
    assert status_of_loss(has_unsent_bytes=True) is AttemptStatus.CONNECT_FAILED
    assert status_of_timeout(has_unsent_bytes=True) is AttemptStatus.CONNECT_FAILED
    assert status_of_loss(has_unsent_bytes=False) is AttemptStatus.RESET
    assert status_of_timeout(has_unsent_bytes=False) is AttemptStatus.TIMEOUT
    assert AttemptStatus.CONNECT_FAILED in NOT_EXECUTED
    assert not {AttemptStatus.RESET, AttemptStatus.TIMEOUT} & NOT_EXECUTED
