"""Judges a scenario's statements about a fleet from outside, over the whole history of a run.

Each verdict contains the figure that decided it.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.history import DELIVERY_SLOT_S, History, MemberEvent
from anisespool.lab.live.process_account import EventKind, OutageCause
from anisespool.lab.scenario import SECOND, Statement

RECOVERY_S = 1.0  # time after an outage in which a member's view may differ
LAST_DELIVERY_S = 1.0  # a delivery within this time before a declared death proves the member alive
MIN_ARRIVALS = 20  # a share of fewer arrivals proves nothing
MAX_LISTED = 3  # members or views that a verdict's figure lists
ROUNDING_FACTOR = 1 + 1e-9  # tolerance for rounding in sums of reservations


class Verdict(NamedTuple):
    """Whether a statement holds, with the figure that decided it."""

    statement: str
    holds: bool
    figure: str

    def to_json(self) -> dict[str, Any]:
        """Return the object of `lab fleet --json`."""
        return {"says": self.statement, "kept": self.holds, "figure": self.figure}


def judge(history: History) -> list[Verdict]:
    """Judge all statements of the scenario, in their order."""
    return [JUDGES[statement.kind](history, statement) for statement in history.scenario.statements]


def _verdict(history: History, statement: Statement, holds: bool, figure: str) -> Verdict:
    begin, end = history.span(statement)
    zone = f" in zone {statement.zone}" if statement.zone is not None else ""
    return Verdict(f"{statement.kind}{zone} from {begin:g} to {end:g} s", holds, figure)


class _ZoneShare(NamedTuple):
    """The share of requests from other zones' sidecars that reached a zone."""

    share: float
    total: int  # all requests of those sidecars

    @property
    def is_significant(self) -> bool:
        """Whether the share is based on enough arrivals."""
        return self.total >= MIN_ARRIVALS


def _zone_share(history: History, statement: Statement) -> _ZoneShare:
    begin, end = history.span(statement)
    places = history.scenario.sidecar_zones()
    from_elsewhere = [
        arrival
        for arrival in history.arrivals
        if begin <= history.second(arrival.delivered_at) < end and places[arrival.sidecar] != statement.zone
    ]
    count = len(from_elsewhere)
    in_zone = sum(arrival.zone == statement.zone for arrival in from_elsewhere)
    return _ZoneShare(in_zone / count if count else 0.0, count)


def _judge_share_below(history: History, statement: Statement) -> Verdict:
    zone_share = _zone_share(history, statement)
    holds = zone_share.is_significant and zone_share.share <= statement.share
    figure = f"{zone_share.share:.3f} of {zone_share.total}, at most {statement.share:g} wanted"
    return _verdict(history, statement, holds, figure)


def _judge_share_above(history: History, statement: Statement) -> Verdict:
    zone_share = _zone_share(history, statement)
    holds = zone_share.is_significant and zone_share.share >= statement.share
    figure = f"{zone_share.share:.3f} of {zone_share.total}, at least {statement.share:g} wanted"
    return _verdict(history, statement, holds, figure)


def _judge_served(history: History, statement: Statement) -> Verdict:
    begin, end = history.span(statement)
    seconds = [sums for second, sums in enumerate(history.served) if begin <= second < end]
    requested = sum(sums.requested for sums in seconds)
    share = sum(sums.in_time for sums in seconds) / requested if requested else 0.0
    figure = f"{share:.3f} in time, at least {statement.share:g} wanted"
    return _verdict(history, statement, share >= statement.share, figure)


def _judge_limit(history: History, statement: Statement) -> Verdict:
    """Judge a limit, whose meaning depends on the kind of process.

    It limits the units of the budget that gossip processes reserve at any moment, timed by the budget server,
    and the requests of sidecars that reach any one endpoint within any one second, timed by the endpoint.
    """
    if history.scenario.plays == "talkers":
        peaks = _budget_peaks(history, statement)
    else:
        peaks = _endpoint_peaks(history, statement)
    highest = max(peaks, default=0.0)
    holds = bool(peaks) and highest <= statement.limit * ROUNDING_FACTOR
    figure = f"{highest:g} at the most, {statement.limit:g} allowed"
    return _verdict(history, statement, holds, figure)


def _budget_peaks(history: History, statement: Statement) -> list[float]:
    begin, end = history.span(statement)
    return [use.units for use in history.budget_use if begin <= use.at_s < end]


def _endpoint_peaks(history: History, statement: Statement) -> list[float]:
    """Return each endpoint's highest number of requests within one second."""
    begin, end = history.span(statement)
    arrivals_at: dict[int, list[Arrival]] = defaultdict(list)
    for arrival in history.arrivals:
        is_in_zone = statement.zone in (None, arrival.zone)
        if is_in_zone and begin <= history.second(arrival.delivered_at) < end:
            arrivals_at[arrival.endpoint].append(arrival)
    return [_peak_per_second(arrivals) for arrivals in arrivals_at.values()]


def _peak_per_second(arrivals: Sequence[Arrival]) -> float:
    window: deque[int] = deque()
    highest = 0
    for delivered_at in sorted(arrival.delivered_at for arrival in arrivals):
        window.append(delivered_at)
        while window[0] <= delivered_at - SECOND:
            window.popleft()
        highest = max(highest, len(window))
    return float(highest)


def _judge_views_agree(history: History, statement: Statement) -> Verdict:
    """Check that the latest views of all running members are equal at every moment of the span."""
    reports = _views_by_member(history, statement)
    moments = _moments_of_change(history, statement, reports)
    for at_s in moments:
        views = _views_at(history, reports, at_s)
        if len(views) != 1:
            listed = "; ".join(f"{view} ({count})" for view, count in views.most_common(MAX_LISTED))
            figure = f"{len(views)} views at {at_s:.2f} s: {listed}"
            return _verdict(history, statement, False, figure)
    members = views.total()  # members at the last moment
    figure = f"one view, of {members} members, at {len(moments)} moments"
    return _verdict(history, statement, members > 1, figure)


def _views_by_member(history: History, statement: Statement) -> list[list[MemberEvent]]:
    is_of_members = statement.of == "members" or history.scenario.plays == "talkers"
    kind = EventKind.VIEW if is_of_members else EventKind.LIST
    reports: list[list[MemberEvent]] = [[] for _ in range(history.scenario.sidecars)]
    for event in history.events:
        if event.kind == kind:
            reports[event.member].append(event)
    return reports


def _moments_of_change(
    history: History, statement: Statement, reports: list[list[MemberEvent]]
) -> list[float]:
    """Return the moments of a span at which agreement may change, including its begin and end."""
    begin, end = history.span(statement)
    changes = {event.at_s for events in reports for event in events}
    changes |= {history.second(outage.end) + RECOVERY_S for outages in history.outages for outage in outages}
    return sorted({begin, end} | {at_s for at_s in changes if begin < at_s < end})


def _views_at(history: History, reports: list[list[MemberEvent]], at_s: float) -> Counter[str]:
    """Count the members that had each view, without members that had an outage then or just before."""
    views: Counter[str] = Counter()
    for member, events in enumerate(reports):
        if history.had_outage(member, at_s - RECOVERY_S, at_s):
            continue
        index = bisect_right(events, at_s, key=lambda event: event.at_s)
        if index:
            views[str(events[index - 1].fields["view"])] += 1
    return views


def _judge_killed_removed(history: History, statement: Statement) -> Verdict:
    """Check that no view in the span contains a member that was killed before it and stays down."""
    begin, end = history.span(statement)
    killed = _killed_members(history, begin, end)
    last_views: dict[int, str] = {}
    wrong = []
    for event in history.events:
        if event.kind != EventKind.VIEW or event.at_s >= end:
            continue
        view = str(event.fields["view"])
        last_views[event.member] = view
        if event.at_s >= begin and killed & _parse_members(view):
            wrong.append(f"{event.member} at {event.at_s:.2f} s")
    for member, view in sorted(last_views.items()):
        if member not in killed and killed & _parse_members(view):
            wrong.append(f"{member} to the end")
    figure = f"{len(killed)} gone; still in the view of " + (", ".join(wrong[:MAX_LISTED]) or "nobody")
    return _verdict(history, statement, bool(killed) and not wrong, figure)


def _killed_members(history: History, begin: float, end: float) -> set[int]:
    """Return the members that were killed before a span and are down until its end."""
    return {
        member
        for member, outages in enumerate(history.outages)
        for outage in outages
        if outage.cause is OutageCause.KILLED
        and history.second(outage.begin) < begin
        and history.second(outage.end) > end
    }


def _parse_members(view: str) -> set[int]:
    """Return the numbers of the members in a view such as `0-4,6`."""
    members: set[int] = set()
    for word in view.split(","):
        first, _, last = word.partition("-")
        if first.isdigit():
            members |= set(range(int(first), int(last or first) + 1))
    return members


def _judge_none_dead(history: History, statement: Statement) -> Verdict:
    """Check that no member is declared dead if the network delivered a datagram of it in the last second."""
    begin, end = history.span(statement)
    deaths = [event for event in history.events if event.kind == EventKind.DEAD and begin <= event.at_s < end]
    wrong = []
    for death in deaths:
        member = int(death.fields["member"])
        if history.had_delivery(member, death.at_s - LAST_DELIVERY_S, death.at_s - DELIVERY_SLOT_S):
            wrong.append(f"{member} by {death.member} at {death.at_s:.2f} s")
    listed = f": {', '.join(wrong[:MAX_LISTED])}" if wrong else ""
    figure = f"{len(wrong)} of {len(deaths)} accusations wrong{listed}"
    return _verdict(history, statement, not wrong, figure)


JUDGES: dict[str, Callable[[History, Statement], Verdict]] = {
    "share-below": _judge_share_below,
    "share-above": _judge_share_above,
    "served": _judge_served,
    "at-most": _judge_limit,
    "views-agree": _judge_views_agree,
    "gone-known": _judge_killed_removed,
    "none-dead-that-answers": _judge_none_dead,
}
