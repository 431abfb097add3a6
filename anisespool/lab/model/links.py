"""What happens to a message on its way between two processes, by the scenario's links: no I/O, no clock.

Loss in bursts is Gilbert's two-state channel (E. N. Gilbert, "Capacity of a burst-noise channel", 1960): in
the bad state every message is lost; the mean stay there is `burst` messages, and the share of the bad state
is `loss`. On TCP a lost segment costs the wait until its retransmission, doubled each time (RFC 6298, 5.5),
from Linux's minimum of 200 ms. The simulation and runs with real processes use the same code.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from anisespool.lab.model.link_fault import UNIMPAIRED, Impairment, LinkFault
from anisespool.lab.model.link_selector import Node, parse_selector
from anisespool.lab.model.random_streams import RandomStream
from anisespool.lab.scenario import MS, SECOND, Link

MIN_RTO_NS = 200 * MS
MAX_DOUBLINGS = 6
MAX_STREAM_LOSS = 0.99  # some retransmission arrives
REORDER_NS = 30 * MS  # how long a reordered datagram is held back
MAX_LINKS = 4000  # also with those added while a run goes on
MAX_CHANNELS = 100_000  # ordered pairs whose state is stored; a further one starts anew each time
CUTS_BY_STRENGTH = ("", "silent", "refused", "reset")  # kinds of cut, the strongest last


class DatagramCopy(NamedTuple):
    """One datagram as it arrives."""

    at: int
    data: bytes


@dataclass
class LinkCounts:
    """What became of datagrams, by this code's own count.

    Attributes:
        overflowed: Dropped because a limited rate lets no more wait.
    """

    came: int = 0
    cut: int = 0
    lost: int = 0
    doubled: int = 0
    reordered: int = 0
    corrupted: int = 0
    overflowed: int = 0


@dataclass
class Links:
    """Every link of a run.

    Attributes:
        begin: When the scenario's own time starts, ns of the clock in use.
    """

    links: list[Link]
    random: RandomStream
    begin: int = 0
    counts: LinkCounts = field(default_factory=LinkCounts)
    _faults: list[LinkFault] = field(default_factory=list)
    _bad_channels: dict[tuple[Node, Node], bool] = field(default_factory=dict)  # whether in the bad state
    _free_at: dict[tuple[Node, Node], int] = field(default_factory=dict)  # of a limited rate
    _matches: dict[tuple[Node, Node, str], tuple[LinkFault, ...]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for link in self.links:
            self.add(link)

    def __bool__(self) -> bool:
        return bool(self._faults)

    def set_scenario_start(self, begin: int) -> None:
        """Moves all links to a scenario's own time that starts then."""
        for fault in self._faults:
            fault.begin += begin - self.begin
            fault.end += begin - self.begin
        self.begin = begin

    def add(self, link: Link) -> LinkFault:
        """Adds a link, whose `at_s` counts from `begin`.

        Raises:
            ValueError: A side selects no node, or there are MAX_LINKS already.
        """
        if len(self._faults) >= MAX_LINKS:
            raise ValueError(f"links: found over {MAX_LINKS}, wanted at most that")
        begin = self.begin + int(link.at_s * SECOND)
        end = begin + int(link.for_s * SECOND)
        fault = LinkFault(link, begin, end, (parse_selector(link.from_), parse_selector(link.to)))
        self._faults.append(fault)
        self._matches.clear()
        return fault

    def channel_state_size(self) -> int:
        """Returns the entries of the largest table of channels: `MAX_CHANNELS` at most."""
        return max(len(self._bad_channels), len(self._free_at), len(self._matches))

    def faults(self) -> Iterator[LinkFault]:
        """All links, in the order in which they were added."""
        yield from self._faults

    # What is wrong on a way -----------------------------------------------------------------------

    def faults_between(self, src: Node, dst: Node, carries: str) -> tuple[LinkFault, ...]:
        """Links that ever concern such messages from one node to the other."""
        key = (src, dst, carries)
        found = self._matches.get(key)
        if found is None:
            found = tuple(
                fault
                for fault in self._faults
                if fault.link.carries in ("all", carries) and fault.affects(src, dst)
            )
            if len(self._matches) < MAX_CHANNELS:
                self._matches[key] = found
        return found

    def impairment_between(self, now: int, src: Node, dst: Node, carries: str) -> Impairment:
        """What is wrong from one node to the other (not back), now."""
        return combine(self.faults_between(src, dst, carries), now) if self._faults else UNIMPAIRED

    def cut_between(self, now: int, first: Node, second: Node, carries: str) -> str:
        """The kind of cut, if there is one in either direction: no connection can be opened then."""
        if not self._faults:
            return ""
        there = self.impairment_between(now, first, second, carries).cut
        back = self.impairment_between(now, second, first, carries).cut
        return max(there, back, key=CUTS_BY_STRENGTH.index)

    def is_lost(self, src: Node, dst: Node, impairment: Impairment) -> bool:
        """Draws whether the next message is lost, by its channel's state."""
        if not impairment.loss:
            return False
        if impairment.loss >= 1:
            return True
        if impairment.burst <= 1:
            return self.random.uniform() < impairment.loss
        return self._next_state(src, dst, impairment)

    def _next_state(self, src: Node, dst: Node, impairment: Impairment) -> bool:
        """Moves Gilbert's channel on by a message; True if it is in the bad state then."""
        leave = 1 / impairment.burst
        enter = min(1.0, leave * impairment.loss / (1 - impairment.loss))
        key = (src, dst)
        bad = self._bad_channels.get(key)
        if bad is None:  # a new channel is in the bad state as often as it is in the mean
            bad = self.random.uniform() < impairment.loss
        elif bad:
            bad = self.random.uniform() >= leave
        else:
            bad = self.random.uniform() < enter
        if len(self._bad_channels) < MAX_CHANNELS or key in self._bad_channels:
            self._bad_channels[key] = bad
        return bad

    # Messages -------------------------------------------------------------------------------------

    def send_datagram(self, now: int, src: Node, dst: Node, data: bytes) -> list[DatagramCopy]:
        """Sends a datagram: the copies that arrive, none, one or two."""
        self.counts.came += 1
        impairment = self.impairment_between(now, src, dst, "talk")
        if impairment is UNIMPAIRED:
            return [DatagramCopy(now, data)]
        if impairment.cut:
            self.counts.cut += 1
            return []
        if self.is_lost(src, dst, impairment):
            self.counts.lost += 1
            return []
        passed_at = self._pace(now, src, dst, len(data), impairment)
        if passed_at is None:
            self.counts.overflowed += 1
            return []
        return self._deliver(passed_at, data, impairment)

    def _deliver(self, passed_at: int, data: bytes, impairment: Impairment) -> list[DatagramCopy]:
        """Delays, reorders, corrupts and duplicates a datagram that arrives, in this order of draws."""
        at = passed_at + impairment.delay + int(self.random.uniform() * impairment.spread)
        if impairment.reorder and self.random.uniform() < impairment.reorder:
            self.counts.reordered += 1
            at += REORDER_NS
        if impairment.corrupt and self.random.uniform() < impairment.corrupt:
            self.counts.corrupted += 1
            data = self._corrupt(data)
        copies = [DatagramCopy(at, data)]
        if impairment.duplicate and self.random.uniform() < impairment.duplicate:
            self.counts.doubled += 1
            later = impairment.delay // 2 + int(self.random.uniform() * impairment.spread)
            copies.append(DatagramCopy(at + later, data))
        return copies

    def _corrupt(self, data: bytes) -> bytes:
        """Flips a bit."""
        if not data:
            return data
        index = self.random.below(len(data))
        flipped = data[index] ^ (1 << self.random.below(8))
        return data[:index] + bytes([flipped]) + data[index + 1 :]

    def _pace(self, now: int, src: Node, dst: Node, size: int, impairment: Impairment) -> int | None:
        """When a limited rate has passed a message on; None: a second's worth is waiting already."""
        if not impairment.rate:
            return now
        key = (src, dst)
        begin = max(now, self._free_at.get(key, 0))
        if begin > now + SECOND:
            return None
        end = begin + int(size / impairment.rate * SECOND)
        if len(self._free_at) < MAX_CHANNELS or key in self._free_at:
            self._free_at[key] = end
        return end

    def stream_delay(self, now: int, src: Node, dst: Node, size: int, carries: str) -> int | str:
        """Sends bytes on an open TCP connection.

        A silent cut holds them until it is over: then they are sent again, after a wait that has grown with
        the cut.

        Returns:
            How much later they arrive, ns; or "reset", which ends the connection.
        """
        impairment = self.impairment_between(now, src, dst, carries)
        if impairment is UNIMPAIRED:
            return 0
        if impairment.cut in ("reset", "refused"):
            return "reset"
        late = 0
        if impairment.cut:
            waited = impairment.until - now
            late = waited + int(self.random.uniform() * min(waited, MIN_RTO_NS << MAX_DOUBLINGS))
        late += self._retransmissions(src, dst, impairment)
        passed_at = self._pace(now, src, dst, size, impairment)
        late += SECOND if passed_at is None else passed_at - now
        return late + impairment.delay + int(self.random.uniform() * impairment.spread)

    def _retransmissions(self, src: Node, dst: Node, impairment: Impairment) -> int:
        """Draws how long lost segments hold up a stream, ns; a checksum drops a corrupted one."""
        loss = min(MAX_STREAM_LOSS, impairment.loss + impairment.corrupt)
        segments = impairment._replace(loss=loss)
        late = 0
        timeout = MIN_RTO_NS
        for _ in range(MAX_DOUBLINGS):
            if not self.is_lost(src, dst, segments):
                break
            late += timeout
            timeout *= 2
        return late


def combine(faults: Iterable[LinkFault], now: int) -> Impairment:
    """Combines the links that are on.

    Delays add up, the highest loss and the lowest rate hold, a cut is as long as the longest.
    """
    active = [fault for fault in faults if fault.is_on(now)]
    if not active:
        return UNIMPAIRED
    links = [fault.link for fault in active]
    cuts = [fault for fault in active if fault.link.cut]
    rates = [link.rate_kb_s * 1000 for link in links if link.rate_kb_s]
    worst = max(links, key=lambda link: link.loss)
    return Impairment(
        cut=max((fault.link.cut for fault in cuts), key=CUTS_BY_STRENGTH.index, default=""),
        loss=worst.loss,
        burst=worst.burst,
        delay=int(sum(link.delay_ms for link in links) * MS),
        spread=int(sum(link.spread_ms for link in links) * MS),
        duplicate=max(link.duplicate for link in links),
        reorder=max(link.reorder for link in links),
        corrupt=max(link.corrupt for link in links),
        rate=min(rates, default=0.0),
        until=max((fault.next_off_at(now) for fault in cuts), default=0),
    )


def for_each_switch(links: Links, call: Callable[[int, LinkFault, bool], None]) -> None:
    """Calls `call(when, fault, begins)` for each moment at which a link is switched, by flapping too."""
    for fault in links.faults():
        period = int(fault.link.flap_s * SECOND) if fault.link.flap_s else fault.end - fault.begin
        for at in range(fault.begin, fault.end, max(period, MS)):
            call(at, fault, True)
            call(fault.next_off_at(at), fault, False)
