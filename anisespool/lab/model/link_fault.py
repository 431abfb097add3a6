"""One fault of a link on a clock, and all that is wrong from one node to another at a moment."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from anisespool.lab.model.link_selector import Node, NodeSelector
from anisespool.lab.scenario import SECOND, Link


@dataclass(slots=True)
class LinkFault:
    """A link of the scenario, on a clock.

    Attributes:
        begin: ns.
        end: ns.
        sides: The nodes that it is from, and to.
    """

    link: Link
    begin: int
    end: int
    sides: tuple[NodeSelector, NodeSelector]

    def is_on(self, now: int) -> bool:
        """Whether it is on, flapping considered."""
        if not self.begin <= now < self.end:
            return False
        flap_s = self.link.flap_s
        return not flap_s or (now - self.begin) % int(flap_s * SECOND) < flap_s * SECOND / 2

    def affects(self, src: Node, dst: Node) -> bool:
        """Whether it concerns messages from one node to the other."""
        first, second = self.sides
        if first(src) and second(dst):
            return True
        return self.link.both and first(dst) and second(src)

    def next_off_at(self, now: int) -> int:
        """The next moment at which it is off."""
        if not self.link.flap_s:
            return self.end
        period = int(self.link.flap_s * SECOND)
        return min(self.end, now - (now - self.begin) % period + period // 2)


class Impairment(NamedTuple):
    """All that is wrong from one node to another at a moment, combined.

    Attributes:
        cut: One of CUTS_BY_STRENGTH; empty: none.
        loss: Share of messages.
        burst: Messages lost in a row, in the mean.
        delay: ns.
        spread: Beside the delay, drawn evenly from none to this, ns.
        duplicate: Share of datagrams.
        reorder: Share of datagrams.
        corrupt: Share of datagrams.
        rate: Bytes per second; 0: unlimited.
        until: When the cut is off next, ns.
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
    until: int = 0


UNIMPAIRED = Impairment()
