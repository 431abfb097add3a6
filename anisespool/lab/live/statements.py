"""Statements about a fleet, judged from outside over the whole history of a run.

Each can fail, and says by how much.
"""

from __future__ import annotations

from bisect import bisect_right
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from anisespool.lab.live.arrival_log import Arrival
from anisespool.lab.live.history import HEARD_SLOT_S, History, MemberEvent
from anisespool.lab.live.process_account import EventKind, OutageCause
from anisespool.lab.scenario import SECOND, Statement

RECOVERY_S = 1.0  # how long a member that had an outage has to see what the others see
HEARD_S = 1.0  # whoever was heard within that span before it was declared dead was not dead
MIN_ARRIVALS = 20  # a share of fewer is no proof
MAX_LISTED = 3  # of what is wrong, in a verdict's figure
ROUNDING = 1 + 1e-9  # of sums of parts of a budget


class Verdict(NamedTuple):
    """Whether a statement holds, with the figure that decided it."""

    statement: str
    holds: bool
    figure: str

    def to_json(self) -> dict[str, Any]:
        """Return the object of `lab fleet --json`."""
        return {"says": self.statement, "kept": self.holds, "figure": self.figure}


def judge(history: History) -> list[Verdict]:
    """Judge all statements of the scenario, in order."""
    return [JUDGES[statement.kind](history, statement) for statement in history.scenario.statements]


def _verdict(history: History, statement: Statement, holds: bool, figure: str) -> Verdict:
    begin, end = history.span(statement)
    zone = f" in zone {statement.zone}" if statement.zone is not None else ""
    return Verdict(f"{statement.kind}{zone} from {begin:g} to {end:g} s", holds, figure)


# Requests ------------------------------------------------------------------------------------------


class _ZoneShare(NamedTuple):
    """Of what sidecars of other zones sent: the part that reached a zone."""

    share: float
    total: int  # of all that they sent

    @property
    def is_proof(self) -> bool:
        """Whether they were enough to say anything."""
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
    found = _zone_share(history, statement)
    holds = found.is_proof and found.share <= statement.share
    figure = f"{found.share:.3f} of {found.total}, at most {statement.share:g} wanted"
    return _verdict(history, statement, holds, figure)


def _judge_share_above(history: History, statement: Statement) -> Verdict:
    found = _zone_share(history, statement)
    holds = found.is_proof and found.share >= statement.share
    figure = f"{found.share:.3f} of {found.total}, at least {statement.share:g} wanted"
    return _verdict(history, statement, holds, figure)


def _judge_served(history: History, statement: Statement) -> Verdict:
    begin, end = history.span(statement)
    seconds = [sums for second, sums in enumerate(history.served) if begin <= second < end]
    requested = sum(sums.requested for sums in seconds)
    share = sum(sums.in_time for sums in seconds) / requested if requested else 0.0
    figure = f"{share:.3f} in time, at least {statement.share:g} wanted"
    return _verdict(history, statement, share >= statement.share, figure)


def _judge_limit(history: History, statement: Statement) -> Verdict:
    """Judge a limit, which is on another thing for each kind of process.

    Gossip processes: what they reserve of their budget at one moment, by the budget server's clock.
    Sidecars: requests that reached any one endpoint within any one second, by its own clock.
    """
    if history.scenario.plays == "talkers":
        peaks = _budget_peaks(history, statement)
    else:
        peaks = _endpoint_peaks(history, statement)
    highest = max(peaks, default=0.0)
    holds = bool(peaks) and highest <= statement.limit * ROUNDING
    figure = f"{highest:g} at the most, {statement.limit:g} allowed"
    return _verdict(history, statement, holds, figure)


def _budget_peaks(history: History, statement: Statement) -> list[float]:
    begin, end = history.span(statement)
    return [use.units for use in history.budget_use if begin <= use.at_s < end]


def _endpoint_peaks(history: History, statement: Statement) -> list[float]:
    """Return for each endpoint the most requests that reached it within one second."""
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


# Views ---------------------------------------------------------------------------------------------


def _judge_views_agree(history: History, statement: Statement) -> Verdict:
    """At every moment of the span all members that run have reported the same view last."""
    reports = _views_by_member(history, statement)
    moments = _moments_of_change(history, statement, reports)
    for at_s in moments:
        views = _views_at(history, reports, at_s)
        if len(views) != 1:
            listed = "; ".join(f"{view} ({count})" for view, count in views.most_common(MAX_LISTED))
            figure = f"{len(views)} views at {at_s:.2f} s: {listed}"
            return _verdict(history, statement, False, figure)
    members = views.total()  # at the last moment
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
    """Return the moments of a span at which agreement may change, begin and end among them."""
    begin, end = history.span(statement)
    changes = {event.at_s for events in reports for event in events}
    changes |= {history.second(outage.end) + RECOVERY_S for outages in history.outages for outage in outages}
    return sorted({begin, end} | {at_s for at_s in changes if begin < at_s < end})


def _views_at(history: History, reports: list[list[MemberEvent]], at_s: float) -> Counter[str]:
    """Return how many members had which view, but those with an outage then or a moment before."""
    views: Counter[str] = Counter()
    for member, events in enumerate(reports):
        if history.had_outage(member, at_s - RECOVERY_S, at_s):
            continue
        place = bisect_right(events, at_s, key=lambda event: event.at_s)
        if place:
            views[str(events[place - 1].fields["view"])] += 1
    return views


def _judge_removal_known(history: History, statement: Statement) -> Verdict:
    """Over the span nobody's view contains a member that was killed before it and is not back in it."""
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
    """Return the members that were killed before a span and are not back in it."""
    return {
        member
        for member, outages in enumerate(history.outages)
        for outage in outages
        if outage.cause is OutageCause.KILLED
        and history.second(outage.begin) < begin
        and history.second(outage.end) > end
    }


def _parse_members(view: str) -> set[int]:
    """Return the members of a view such as `0-4,6`."""
    members: set[int] = set()
    for word in view.split(","):
        first, _, last = word.partition("-")
        if first.isdigit():
            members |= set(range(int(first), int(last or first) + 1))
    return members


def _judge_none_dead(history: History, statement: Statement) -> Verdict:
    """Nobody is declared dead of whom the network delivered something within the last second."""
    begin, end = history.span(statement)
    deaths = [event for event in history.events if event.kind == EventKind.DEAD and begin <= event.at_s < end]
    wrong = []
    for death in deaths:
        member = int(death.fields["member"])
        if history.was_heard(member, death.at_s - HEARD_S, death.at_s - HEARD_SLOT_S):
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
    "gone-known": _judge_removal_known,
    "none-dead-that-answers": _judge_none_dead,
}
