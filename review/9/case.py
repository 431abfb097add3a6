"""A drained replacement is sent requests under the id of the dead endpoint whose address it has."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from kit import BROKEN, COULD_NOT_RUN, HELD, Endpoint, Fleet, Record, entry, exit_with, has_trouble, main

REQUESTS_PER_S = 180.0  # the site: about 220
DEATH_AT_S = 3.0
REPLACED_AFTER_S = 0.5
ADD_S = 0.6  # the site: a start is listed after 0.6 to 2.4 s
DRAIN_AFTER_S = 2.0
NOTICE_S = 0.9  # the site: a drain is noticed after 0.85 to 4.6 s
SILENT_NOTICE_S = 10.0  # the site: a death without a word is noticed after 7.7 to 14 s
END_S = 15.0


async def play(record: Record, folder: Path) -> int:
    """Replace s-1 by a machine at its address, drain that one, and end the watches instead of telling."""
    fleet = Fleet(record, folder, REQUESTS_PER_S)
    dead = fleet.endpoints[1]
    new = Endpoint("s-9", record, dead.flavor, dead.cores, dead.speed)
    try:
        await fleet.start()
        clients = [asyncio.create_task(client.run(END_S)) for client in fleet.clients]
        await asyncio.sleep(DEATH_AT_S)
        dead.die()
        record.add("death", endpoint=dead.name)
        dead_entry = entry(dead)
        await asyncio.sleep(REPLACED_AFTER_S)
        new.port = dead.port
        await new.start_cold()
        fleet.tell(fleet.old, ADD_S, 2, entry(new))
        await asyncio.sleep(DRAIN_AFTER_S)
        new.phase = "draining"
        record.add("drain", endpoint=new.name)
        await asyncio.sleep(NOTICE_S)
        if has_trouble():
            whole = [entry(one) for one in fleet.endpoints]  # leaves out s-9, and still has s-1 as up
            for agent in fleet.old:
                agent.replace_list(3, whole)
                agent.end_watches()
        else:
            fleet.tell(fleet.old, 0.0, 3, entry(new, "draining"))
        fleet.tell(
            fleet.old, SILENT_NOTICE_S - record.now() + DEATH_AT_S, 4, dead_entry | {"phase": "removed"}
        )
        await asyncio.gather(*clients)
        if any(sidecar.has_crashed() for sidecar in fleet.sidecars):
            return COULD_NOT_RUN
        while_up = new.arrived_between(0.0, DEATH_AT_S + REPLACED_AFTER_S + DRAIN_AFTER_S)
        late = fleet.drain_sends(new, 3, END_S + 4)
        record.say(f"{new.name}: {while_up} requests before its drain, {late} too late")
        record.say(f"answers: {fleet.answers()}")
        return BROKEN if late else HELD
    finally:
        new.stop()
        await fleet.stop()


exit_with(main(Path(__file__).resolve().parent, play))
