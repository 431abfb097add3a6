"""Each statement about a fleet can hold and can fail, and does not hold without evidence."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.datagram_network import SLOT_NS, DeliverySlot
from anisespool.lab.live.history import BudgetUse, History, MemberEvent, ServedSecond
from anisespool.lab.live.process_account import UNTIL_READY, Outage, OutageCause
from anisespool.lab.live.statements import judge
from anisespool.lab.scenario import SECOND, from_raw

BEGIN = 1000 * SECOND
MEMBERS = 4


def at(second: float) -> int:
    return BEGIN + int(second * SECOND)


def history(statement: dict[str, Any], plays: str = "sidecars", **contents: Any) -> History:
    """A history of ten seconds and four members in two zones."""
    raw = {
        "seconds": 10,
        "sidecars": MEMBERS,
        "plays": plays,
        "endpoints": [{"zone": 0}, {"zone": 1}],
        "statements": [statement],
    }
    built = History(from_raw(raw, "x"), begin=BEGIN, outages=[[] for _ in range(MEMBERS)])
    for key, value in contents.items():
        setattr(built, key, value)
    return built


def arrival(second: float, sidecar: int, zone: int) -> Arrival:
    return Arrival(
        received_at=at(second),
        sidecar=sidecar,
        endpoint=zone,
        zone=zone,
        client_request=1,
        attempt=1,
        started_at=at(second),
        deadline=at(second + 1),
        delivered_at=at(second),
        drain_deadline=0,
    )


def views(*rows: tuple[float, int, str]) -> list[MemberEvent]:
    """Events of both kinds, `list` and `view`; a statement uses one of them."""
    kinds = ("list", "view")
    return [
        MemberEvent(second, member, kind, {"view": view}) for second, member, view in rows for kind in kinds
    ]


def delivery(second: float, member: int) -> DeliverySlot:
    return DeliverySlot(at(second) // SLOT_NS, member)


ALL_SEE_ALL = views(*((0.5, member, "0,1,2,3") for member in range(4)))
THREE_SEE_THREE = views((4.2, 0, "0,1,2"), (4.3, 1, "0,1,2"), (4.4, 2, "0,1,2"))
FROM_ZONE_0_TO_EITHER = [arrival(1 + number / 100, 0, number % 2) for number in range(100)]
IN_ZONE_1 = {"zone": 1, "from_s": 1, "to_s": 3}
LAST_IS_FROZEN = [[], [], [], [Outage(at(4), at(6), OutageCause.FROZEN)]]
LAST_IS_KILLED = [[], [], [], [Outage(at(2), UNTIL_READY, OutageCause.KILLED)]]
LAST_DECLARED_DEAD = [MemberEvent(5.0, 0, "dead", {"member": 3})]
SERVED = [ServedSecond(9, 9), ServedSecond(1, 2), ServedSecond(2, 4)]


@dataclass(frozen=True)
class Case:
    """A statement, a history, and whether the statement holds there."""

    name: str
    statement: dict[str, Any]
    holds: bool
    history: dict[str, Any] = field(default_factory=dict)


CASES = [
    Case(
        "share at the upper limit",
        {"says": "share-below", "share": 0.5} | IN_ZONE_1,
        True,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case(
        "share above the upper limit",
        {"says": "share-below", "share": 0.4} | IN_ZONE_1,
        False,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case(
        "share at the lower limit",
        {"says": "share-above", "share": 0.5} | IN_ZONE_1,
        True,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case(
        "share below the lower limit",
        {"says": "share-above", "share": 0.6} | IN_ZONE_1,
        False,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case(
        "too few arrivals prove nothing",
        {"says": "share-below", "share": 1.0} | IN_ZONE_1,
        False,
        {"arrivals": FROM_ZONE_0_TO_EITHER[:19]},
    ),
    Case(
        "requests within the zone do not count",
        {"says": "share-below", "share": 1.0} | IN_ZONE_1,
        False,
        {"arrivals": [arrival(1.5, 1, 1)] * 50},
    ),
    Case(
        "enough is served in time",
        {"says": "served", "share": 0.5, "from_s": 1, "to_s": 3},
        True,
        {"served": SERVED},
    ),
    Case(
        "too little is served in time",
        {"says": "served", "share": 0.6, "from_s": 1, "to_s": 3},
        False,
        {"served": SERVED},
    ),
    Case("no requests prove nothing", {"says": "served", "share": 0.1}, False, {"served": []}),
    Case(
        "as many requests in a second as allowed",
        {"says": "at-most", "limit": 50},
        True,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case(
        "more requests in a second than allowed",
        {"says": "at-most", "limit": 49},
        False,
        {"arrivals": FROM_ZONE_0_TO_EITHER},
    ),
    Case("no arrivals prove nothing", {"says": "at-most", "limit": 49}, False),
    Case("views agree", {"says": "views-agree", "from_s": 1}, True, {"events": ALL_SEE_ALL}),
    Case(
        "views agree except for a frozen member",
        {"says": "views-agree", "from_s": 4.5, "to_s": 6.5},
        True,
        {"events": [*ALL_SEE_ALL, *THREE_SEE_THREE], "outages": LAST_IS_FROZEN},
    ),
    Case(
        "a member that was frozen keeps its old view",
        {"says": "views-agree", "from_s": 4.5},
        False,
        {"events": [*ALL_SEE_ALL, *THREE_SEE_THREE], "outages": LAST_IS_FROZEN},
    ),
    Case(
        "one view differs for a moment",
        {"says": "views-agree", "from_s": 1},
        False,
        {"events": [*ALL_SEE_ALL, *views((5.0, 2, "0,1"), (5.1, 2, "0,1,2,3"))]},
    ),
    Case("no views prove nothing", {"says": "views-agree", "from_s": 1}, False),
    Case(
        "all views lack the killed member",
        {"says": "gone-known", "from_s": 5},
        True,
        {
            "events": [*ALL_SEE_ALL, *views(*((4.0, member, "0,1,2") for member in range(3)))],
            "outages": LAST_IS_KILLED,
        },
    ),
    Case(
        "one view keeps the killed member",
        {"says": "gone-known", "from_s": 5},
        False,
        {
            "events": [*ALL_SEE_ALL, *views(*((4.0, member, "0,1,2") for member in range(2)))],
            "outages": LAST_IS_KILLED,
        },
    ),
    Case(
        "the killed member returns to one view",
        {"says": "gone-known", "from_s": 5},
        False,
        {
            "events": [
                *ALL_SEE_ALL,
                *views(*((4.0, member, "0,1,2") for member in range(3))),
                *views((7.0, 1, "0,1,2,3"), (7.2, 1, "0,1,2")),
            ],
            "outages": LAST_IS_KILLED,
        },
    ),
    Case(
        "no killed member proves nothing", {"says": "gone-known", "from_s": 5}, False, {"events": ALL_SEE_ALL}
    ),
    Case(
        "a member with a recent delivery is declared dead",
        {"says": "none-dead-that-answers"},
        False,
        {"events": LAST_DECLARED_DEAD, "delivery_slots": {delivery(4.5, 3)}},
    ),
    Case(
        "a member without a recent delivery is declared dead",
        {"says": "none-dead-that-answers"},
        True,
        {"events": LAST_DECLARED_DEAD, "delivery_slots": {delivery(3.0, 3)}},
    ),
    Case(
        "a declaration outside the span does not count",
        {"says": "none-dead-that-answers", "from_s": 6},
        True,
        {"events": LAST_DECLARED_DEAD, "delivery_slots": {delivery(4.5, 3)}},
    ),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_a_statement_holds_or_fails(case: Case) -> None:
    (verdict,) = judge(history(case.statement, **case.history))
    assert verdict.holds is case.holds, verdict.figure
    assert verdict.statement.startswith(case.statement["says"])


@pytest.mark.parametrize(("limit", "holds"), [(90.0, True), (89.9, False)])
def test_gossip_processes_are_judged_by_the_budget_servers_count(limit: float, holds: bool) -> None:
    budget_use = [BudgetUse(0.5, 200), BudgetUse(2.0, 90), BudgetUse(3.0, 10)]
    statement = {"says": "at-most", "limit": limit, "from_s": 1}
    (verdict,) = judge(history(statement, "talkers", budget_use=budget_use))
    assert verdict.holds is holds
