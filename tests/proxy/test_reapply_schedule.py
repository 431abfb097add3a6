"""When entries of the endpoint list are applied again."""

from __future__ import annotations

import asyncio

from anisespool.proxy.reapply_schedule import ReapplySchedule
from tests.support import MS, SECOND

HOUR_NS = 3600 * SECOND


async def test_the_earliest_delay_counts_and_a_removed_endpoint_is_forgotten() -> None:
    """Ids of removed endpoints were kept for up to an hour, however many followed."""
    applied: list[list[str]] = []
    schedule = ReapplySchedule(applied.append)
    schedule.schedule(["late", "early", "gone"], HOUR_NS)
    schedule.schedule(["early", "gone"], 10 * MS)
    schedule.schedule(["early"], HOUR_NS)
    schedule.cancel("gone")
    schedule.cancel("unknown")
    while not applied:
        await asyncio.sleep(0.001)
    schedule.schedule(["next"], 0)
    while len(applied) < 2:
        await asyncio.sleep(0.001)
    assert applied == [["early"], ["next"]]
