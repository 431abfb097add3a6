"""The effect of a scenario's link faults on messages between two nodes, without I/O and without a clock.

Loss in bursts is Gilbert's two-state channel (E. N. Gilbert, "Capacity of a burst-noise channel", 1960). In
the bad state every message is lost. That state lasts for `burst` messages on average, and applies to a share
`loss` of all messages. A lost TCP segment arrives after its retransmission time-out, which starts at Linux's
minimum of 200 ms and doubles each time (RFC 6298, 5.5). The simulation and runs with real processes share
this code.
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
MAX_STREAM_LOSS = 0.99  # below 1, so that a retransmission can arrive
REORDER_NS = 30 * MS  # delay of a reordered datagram
MAX_LINKS = 4000  # in the scenario and added during a run
MAX_CHANNELS = 100_000  # ordered pairs of nodes whose state is stored; others keep no state between messages
CUTS_BY_STRENGTH = ("", "silent", "refused", "reset")  # kinds of cut, from none to the strongest


class DatagramCopy(NamedTuple):
    """A copy of a datagram, and its time of arrival `at`, ns."""

    at: int
    data: bytes


@dataclass
class LinkCounts:
    """Numbers of datagrams by what links did to them. The names are keys of `lab fleet --json`.

    Attributes:
        came: Datagrams sent.
        cut: Datagrams dropped by a cut.
        lost: Datagrams lost at random.
        doubled: Datagrams duplicated.
        overflowed: Datagrams dropped because the queue of a link with a limited rate was full.
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
    """All link faults of a run, and the state of the channels between nodes.

    Attributes:
        scenario_start: Start of the scenario time on the clock in use, ns.
    """

    links: list[Link]
    random: RandomStream
    scenario_start: int = 0
    counts: LinkCounts = field(default_factory=LinkCounts)
    _faults: list[LinkFault] = field(default_factory=list)
    _bad_channels: dict[tuple[Node, Node], bool] = field(default_factory=dict)  # whether in the bad state
    _free_at: dict[tuple[Node, Node], int] = field(default_factory=dict)  # when a limited rate is free, ns
    _matches: dict[tuple[Node, Node, str], tuple[LinkFault, ...]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for link in self.links:
            self.add(link)

    def __bool__(self) -> bool:
        return bool(self._faults)

    def set_scenario_start(self, start: int) -> None:
        """Moves the periods of all links to a scenario time that starts at `start`, ns."""
        for fault in self._faults:
            fault.begin += start - self.scenario_start
            fault.end += start - self.scenario_start
        self.scenario_start = start

    def add(self, link: Link) -> LinkFault:
        """Adds a link. Its `at_s` counts from the start of the scenario time.

        Raises:
            ValueError: A side is not a selector, or there are MAX_LINKS links already.
        """
        if len(self._faults) >= MAX_LINKS:
            raise ValueError(f"links: found over {MAX_LINKS}, wanted at most that")
        begin = self.scenario_start + int(link.at_s * SECOND)
        end = begin + int(link.for_s * SECOND)
        fault = LinkFault(link, begin, end, (parse_selector(link.from_), parse_selector(link.to)))
        self._faults.append(fault)
        self._matches.clear()
        return fault

    def channel_state_size(self) -> int:
        """Number of entries in the largest table of the channels' state, at most MAX_CHANNELS."""
        return max(len(self._bad_channels), len(self._free_at), len(self._matches))

    def faults(self) -> Iterator[LinkFault]:
        """All link faults in the order in which they were added."""
        yield from self._faults

    def faults_between(self, src: Node, dst: Node, carries: str) -> tuple[LinkFault, ...]:
        """Link faults that at any time affect messages of the kind `carries` from `src` to `dst`."""
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
        """The impairment at `now` from `src` to `dst`, in this direction only."""
        return combine(self.faults_between(src, dst, carries), now) if self._faults else UNIMPAIRED

    def cut_between(self, now: int, first: Node, second: Node, carries: str) -> str:
        """The strongest cut at `now` in either direction, or "". It prevents the opening of connections."""
        if not self._faults:
            return ""
        there = self.impairment_between(now, first, second, carries).cut
        back = self.impairment_between(now, second, first, carries).cut
        return max(there, back, key=CUTS_BY_STRENGTH.index)

    def is_lost(self, src: Node, dst: Node, impairment: Impairment) -> bool:
        """Draws whether the next message is lost. With bursts, this depends on the channel's state."""
        if not impairment.loss:
            return False
        if impairment.loss >= 1:
            return True
        if impairment.burst <= 1:
            return self.random.uniform() < impairment.loss
        return self._next_state(src, dst, impairment)

    def _next_state(self, src: Node, dst: Node, impairment: Impairment) -> bool:
        """Advances Gilbert's channel by one message; returns True if it is then in the bad state."""
        leave = 1 / impairment.burst
        enter = min(1.0, leave * impairment.loss / (1 - impairment.loss))
        key = (src, dst)
        bad = self._bad_channels.get(key)
        if bad is None:  # a new channel starts in the bad state with its long-term probability
            bad = self.random.uniform() < impairment.loss
        elif bad:
            bad = self.random.uniform() >= leave
        else:
            bad = self.random.uniform() < enter
        if len(self._bad_channels) < MAX_CHANNELS or key in self._bad_channels:
            self._bad_channels[key] = bad
        return bad

    def send_datagram(self, now: int, src: Node, dst: Node, data: bytes) -> list[DatagramCopy]:
        """Sends a datagram; returns the copies that arrive: none, one or two."""
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
        """Draws delay, reordering, corruption and duplication, in this order, for a datagram that arrives."""
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
        """Flips one random bit."""
        if not data:
            return data
        index = self.random.below(len(data))
        flipped = data[index] ^ (1 << self.random.below(8))
        return data[:index] + bytes([flipped]) + data[index + 1 :]

    def _pace(self, now: int, src: Node, dst: Node, size: int, impairment: Impairment) -> int | None:
        """When a message has been sent at a limited rate, ns; None if the queue before it exceeds 1 s."""
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

        A silent cut delays the bytes until it ends, and then until the next retransmission: the time-out has
        grown during the cut.

        Returns:
            Delay of the bytes, ns, or "reset" if the connection is reset.
        """
        impairment = self.impairment_between(now, src, dst, carries)
        if impairment is UNIMPAIRED:
            return 0
        if impairment.cut in ("reset", "refused"):
            return "reset"
        delay = 0
        if impairment.cut:
            until_end = impairment.cut_until - now
            delay = until_end + int(self.random.uniform() * min(until_end, MIN_RTO_NS << MAX_DOUBLINGS))
        delay += self._retransmissions(src, dst, impairment)
        passed_at = self._pace(now, src, dst, size, impairment)
        delay += SECOND if passed_at is None else passed_at - now
        return delay + impairment.delay + int(self.random.uniform() * impairment.spread)

    def _retransmissions(self, src: Node, dst: Node, impairment: Impairment) -> int:
        """Draws the delay by lost segments, ns. Corrupted segments count as lost: a checksum drops them."""
        loss = min(MAX_STREAM_LOSS, impairment.loss + impairment.corrupt)
        segments = impairment._replace(loss=loss)
        delay = 0
        timeout = MIN_RTO_NS
        for _ in range(MAX_DOUBLINGS):
            if not self.is_lost(src, dst, segments):
                break
            delay += timeout
            timeout *= 2
        return delay


def combine(faults: Iterable[LinkFault], now: int) -> Impairment:
    """Combines the link faults that are in effect at `now`.

    Delays add up. The highest shares, the lowest rate, the strongest cut and the latest end of a cut apply.
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
        cut_until=max((fault.next_off_at(now) for fault in cuts), default=0),
    )


def for_each_switch(links: Links, call: Callable[[int, LinkFault, bool], None]) -> None:
    """Calls `call(when, fault, begins)` for each time, ns, at which a link fault starts, ends or flaps."""
    for fault in links.faults():
        period = int(fault.link.flap_s * SECOND) if fault.link.flap_s else fault.end - fault.begin
        for at in range(fault.begin, fault.end, max(period, MS)):
            call(at, fault, True)
            call(fault.next_off_at(at), fault, False)
