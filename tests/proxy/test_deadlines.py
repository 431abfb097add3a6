"""The points in time at the end of a request have the order given in proxy/deadlines.py."""

from __future__ import annotations

import pytest

from anisespool.listener.shutdown import FLUSH_RESERVE_S
from anisespool.proxy.deadlines import attempts_end_at, backstop_at
from anisespool.sidecar.shutdown import EXIT_RESERVE_S, SIGKILL_MARGIN_S
from tests.support import MS, SECOND


@pytest.mark.parametrize("client_gives_up_at", [0, 5 * MS, 3 * SECOND])
def test_attempts_end_before_the_backstop_which_is_before_the_client_gives_up(
    client_gives_up_at: int,
) -> None:
    times = [attempts_end_at(client_gives_up_at), backstop_at(client_gives_up_at), client_gives_up_at]
    assert times == [client_gives_up_at - 10 * MS, client_gives_up_at - 4 * MS, client_gives_up_at]


def test_the_flush_and_exit_reserves_fit_in_the_margin_before_sigkill() -> None:
    assert 0 < FLUSH_RESERVE_S < SIGKILL_MARGIN_S - EXIT_RESERVE_S
