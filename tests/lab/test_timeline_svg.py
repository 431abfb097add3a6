"""The picture of a run, which is compared as text."""

from __future__ import annotations

import math
from typing import Any

import pytest
from matplotlib.layout_engine import ConstrainedLayoutEngine

from anisespool.lab.live import timeline_svg
from anisespool.lab.live.history import History, MemberEvent, ServedSecond
from anisespool.lab.live.process_account import Outage, OutageCause
from anisespool.lab.scenario import SECOND, from_raw


def history() -> History:
    raw = {
        "seconds": 3,
        "sidecars": 2,
        "traffic": {"per_s": 1},
        "endpoints": [{"count": 1}],
        "troubles": [{"kind": "starve", "sidecars": [1], "at_s": 0.5, "for_s": 1.5}],
    }
    return History(
        from_raw(raw, "x"),
        events=[MemberEvent(0.7, 1, "stalled", {})],
        outages=[[], [Outage(SECOND // 2, 2 * SECOND, OutageCause.STARVED)]],
        served=[ServedSecond(1.0, 1.0), ServedSecond(0.5, 1.0), ServedSecond(1.0, 1.0)],
    )


def test_a_position_that_differs_in_its_last_bit_draws_the_same_picture(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The layout's last bits vary within one process, and once changed the ids of clip paths."""
    picture = timeline_svg.render(history())
    execute = ConstrainedLayoutEngine.execute

    def execute_inexactly(engine: ConstrainedLayoutEngine, figure: Any) -> None:
        execute(engine, figure)
        for axes in figure.axes:
            bounds = axes.get_position().bounds
            axes._set_position([math.nextafter(bound, math.inf) for bound in bounds])

    monkeypatch.setattr(ConstrainedLayoutEngine, "execute", execute_inexactly)
    assert timeline_svg.render(history()) == picture
