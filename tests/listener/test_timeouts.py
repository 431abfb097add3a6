"""The rules of client timeouts."""

from __future__ import annotations

import pytest

from anisespool.listener.timeouts import (
    LINGER_TIMEOUT_S,
    PARTIAL_REQUEST_TIMEOUT_S,
    WRITE_TIMEOUT_S,
    TimeoutAction,
    read_action,
    write_action,
)


@pytest.mark.parametrize(
    ("has_unsent_output", "timeout_s"), [(True, WRITE_TIMEOUT_S), (False, LINGER_TIMEOUT_S)]
)
def test_a_connection_whose_client_does_not_read_or_close_in_time_is_aborted(
    has_unsent_output: bool, timeout_s: float
) -> None:
    assert write_action(timeout_s, has_unsent_output) is None
    assert write_action(timeout_s + 0.1, has_unsent_output) is TimeoutAction.ABORT


@pytest.mark.parametrize(
    ("is_partial", "timeout_s", "action"),
    [
        (True, PARTIAL_REQUEST_TIMEOUT_S, TimeoutAction.REJECT),
        (False, 7.0, TimeoutAction.CLOSE_IF_IDLE),
    ],
)
def test_a_partial_request_is_rejected_and_an_idle_connection_is_closed(
    is_partial: bool, timeout_s: float, action: TimeoutAction
) -> None:
    assert read_action(timeout_s, is_partial, idle_timeout_s=7.0) is None
    assert read_action(timeout_s + 0.1, is_partial, idle_timeout_s=7.0) is action
