"""The period of a link fault, and the combined impairment by link faults from one node to another."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from anisespool.lab.model.link_selector import Node, NodeSelector
from anisespool.lab.scenario import SECOND, Link


@dataclass(slots=True)
class LinkFault:
    """A link fault of the scenario, from `begin` to `end`, ns.

    Attributes:
        selectors: Selectors of the sending and the receiving nodes.
    """

    link: Link
    begin: int
    end: int
    selectors: tuple[NodeSelector, NodeSelector]

    def is_on(self, now: int) -> bool:
        """Whether the fault is in effect. A flapping fault is off in the second half of each flap period."""
        if not self.begin <= now < self.end:
            return False
        flap_s = self.link.flap_s
        return not flap_s or (now - self.begin) % int(flap_s * SECOND) < flap_s * SECOND / 2

    def affects(self, src: Node, dst: Node) -> bool:
        """Whether the fault affects messages from `src` to `dst`."""
        from_side, to_side = self.selectors
        if from_side(src) and to_side(dst):
            return True
        return self.link.both and from_side(dst) and to_side(src)

    def next_off_at(self, now: int) -> int:
        """When the fault, which is on at `now`, ends or flaps off, ns."""
        if not self.link.flap_s:
            return self.end
        period = int(self.link.flap_s * SECOND)
        return min(self.end, now - (now - self.begin) % period + period // 2)


class Impairment(NamedTuple):
    """The combined effect of all link faults from one node to another at one moment.

    Attributes:
        cut: One of CUTS_BY_STRENGTH; empty: no cut.
        loss: Share of messages lost.
        burst: Mean number of messages lost in a row.
        delay: Delay of each message, ns.
        spread: Upper bound of a further delay, drawn uniformly from 0, ns.
        duplicate: Share of datagrams duplicated.
        reorder: Share of datagrams reordered.
        corrupt: Share of datagrams corrupted.
        rate: Bytes per second; 0: unlimited.
        cut_until: When the last cut ends or flaps off, ns.
    """

    cut: str = ""
    loss: float = 0.0
    burst: float = 1.0
    delay: int = 0
    spread: int = 0
    duplicate: float = 0.0
    reorder: float = 0.0
    corrupt: float = 0.0
    rate: float = 0.0
    cut_until: int = 0


UNIMPAIRED = Impairment()
