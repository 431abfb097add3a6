"""A process that gossips which members are alive, and takes its share of a budget that all members share.

`python -m anisespool.fakes.gossip_process FILE`. The lab tests its faulty network with it, and its checks
with the mutations: versions that are broken on purpose.

The protocol is that of "A gossip-style failure detection service" (van Renesse, Minsky, Hayden, 1998): each
member increments a heartbeat counter of its own, and sends all counters that it knows to a few others,
chosen at random; a member whose counter has not grown for a while is considered dead. A boot number is
compared before the counter, so that a member that restarts supersedes its earlier run. A member that did not
get to run itself gives all others their time again. Whatever its view, it takes the same share of the
budget: the whole divided by the number of all members.

It prints a line of JSON for each change of its view (`view`, `dead`).
"""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import sys
import time
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any, NamedTuple, Self

from anisespool.config.platform import Address

HEARTBEAT_INTERVAL_S = 0.1
FANOUT = 3
DEAD_AFTER_S = 1.5
PAUSE_THRESHOLD_S = 0.4
"""How late its own heartbeat has to be for the process to conclude that it did not get to run."""
BUDGET_HOLD_S = 0.2
"""For how long it takes its share of the budget."""
ROW = struct.Struct("!BHI")
"""Member, boot, counter."""
MAX_ROWS = 36
"""These fit into 256 bytes."""


class Mutation(StrEnum):
    """What is broken on purpose; the names are those of scenarios and stored finds."""

    NONE = ""
    HEARS_ONLY_ITSELF = "hears-only-itself"
    """Believes of each member only what that member itself sent."""
    KEEPS_THE_DEAD = "keeps-the-dead"
    """Considers no member dead."""
    SPLITS_BY_VIEW = "splits-by-view"
    """Divides the budget by the members that it considers alive."""
    TRUSTS_ITS_CLOCK = "trusts-its-clock"
    """Counts the time in which it did not get to run itself as the others' silence."""


MUTATIONS = tuple(mutation.value for mutation in Mutation)


class Heartbeat(NamedTuple):
    """One row of a datagram."""

    member: int
    boot: int
    counter: int


@dataclass(slots=True)
class MemberState:
    """What is known of another member."""

    last_seen_s: float
    boot: int = 0
    counter: int = 0
    is_alive: bool = False


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """The configuration of one process.

    Attributes:
        number: This member's.
        listen: Where it listens; `peers` may name proxies.
        peers: Under which address it knows each member, itself too, by number.
        budget_server: Where it takes its share.
        budget: Of all members.
        mutation: What is broken on purpose.
    """

    number: int
    listen: Address
    peers: list[Address]
    budget_server: Address
    budget: float
    mutation: Mutation

    @classmethod
    def from_json(cls, text: str) -> Self:
        """Parse the file that the lab writes.

        Raises:
            SystemExit: There is no such mutation.
        """
        raw = json.loads(text)
        if raw["spoilt"] not in MUTATIONS:
            raise SystemExit(f"no mutation {raw['spoilt']!r}, there are {', '.join(MUTATIONS[1:])}")
        return cls(
            number=int(raw["number"]),
            listen=Address(*raw["listen"]),
            peers=[Address(*peer) for peer in raw["peers"]],
            budget_server=Address(*raw["till"]),
            budget=float(raw["budget"]),
            mutation=Mutation(raw["spoilt"]),
        )


class GossipNode(asyncio.DatagramProtocol):
    """One member."""

    def __init__(self, config: GossipConfig, boot: int) -> None:
        now_s = time.monotonic()
        self._config = config
        self._mutation = config.mutation
        self._boot = boot
        self._counter = 0
        self._members = {
            number: MemberState(now_s) for number in range(len(config.peers)) if number != config.number
        }
        self._checked_s = now_s
        self._printed_view: list[int] | None = None
        self._random = random.Random(boot * 1000 + config.number)
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]  # asyncio's own is no subclass of it

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Merge the heartbeats of a datagram from a known member."""
        sender = next((n for n, peer in enumerate(self._config.peers) if peer == tuple(addr)), None)
        if sender is None or len(data) % ROW.size:
            return
        for heartbeat in map(Heartbeat._make, ROW.iter_unpack(data)):
            if self._mutation is Mutation.HEARS_ONLY_ITSELF and heartbeat.member != sender:
                continue
            self._merge(heartbeat)

    async def run(self) -> None:
        """Gossip until the task is cancelled."""
        due_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s - due_s > PAUSE_THRESHOLD_S and self._mutation is not Mutation.TRUSTS_ITS_CLOCK:
                for state in self._members.values():
                    state.last_seen_s = max(state.last_seen_s, now_s)
            await asyncio.sleep(0)  # read what waits in the socket before any member is considered dead
            self.send_heartbeats()
            self.detect_failures(time.monotonic())
            self._checked_s = time.monotonic()
            self.take_budget()
            due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _merge(self, heartbeat: Heartbeat) -> None:
        state = self._members.get(heartbeat.member)
        if state is None or (heartbeat.boot, heartbeat.counter) <= (state.boot, state.counter):
            return
        trusts_clock = self._mutation is Mutation.TRUSTS_ITS_CLOCK
        state.last_seen_s = self._checked_s if trusts_clock else time.monotonic()
        state.boot = heartbeat.boot
        state.counter = heartbeat.counter
        state.is_alive = True

    def send_heartbeats(self) -> None:
        """Send the own heartbeat counter, and some of other members, to a few random members."""
        self._counter += 1
        own = Heartbeat(self._config.number, self._boot, self._counter)
        others = [
            Heartbeat(number, state.boot, state.counter)
            for number, state in self._members.items()
            if state.is_alive
        ]
        chosen = self._random.sample(others, min(len(others), MAX_ROWS - 1))
        data = b"".join(ROW.pack(*row) for row in [own, *chosen])
        for number in self._random.sample(sorted(self._members), min(FANOUT, len(self._members))):
            self._transport.sendto(data, self._config.peers[number])

    def detect_failures(self, now_s: float) -> None:
        """Declare members dead that no heartbeat came from for `DEAD_AFTER_S`; print a changed view."""
        for number, state in self._members.items():
            is_overdue = state.is_alive and now_s - state.last_seen_s > DEAD_AFTER_S
            if is_overdue and self._mutation is not Mutation.KEEPS_THE_DEAD:
                state.is_alive = False
                print_event("dead", member=number)
        view = sorted([self._config.number, *self.alive_members()])
        if view != self._printed_view:
            self._printed_view = view
            print_event("view", view=",".join(map(str, view)))

    def alive_members(self) -> list[int]:
        """Return the numbers of the other members that are alive."""
        return [number for number, state in self._members.items() if state.is_alive]

    def take_budget(self) -> None:
        """Reserve this member's share of the budget."""
        shares = len(self._config.peers)
        if self._mutation is Mutation.SPLITS_BY_VIEW:
            shares = 1 + len(self.alive_members())
        order = {
            "member": self._config.number,
            "units": self._config.budget / shares,
            "hold_s": BUDGET_HOLD_S,
        }
        self._transport.sendto(json.dumps(order).encode(), self._config.budget_server)


def print_event(kind: str, **fields: Any) -> None:
    """Print an event as a line of JSON."""
    print(json.dumps({"what": kind, "at_ns": time.monotonic_ns(), **fields}), flush=True)


def next_boot(path: Path) -> int:
    """Count this start in a file beside the configuration."""
    boots = path.with_suffix(".boots")
    boot = int(boots.read_text()) + 1 if boots.exists() else 1
    boots.write_text(str(boot))
    return boot


async def main(path: Path) -> None:
    """Gossip as the file says, until the process ends."""
    config = GossipConfig.from_json(path.read_text())
    boot = next_boot(path)
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.bind(config.listen)
    loop = asyncio.get_running_loop()
    _, node = await loop.create_datagram_endpoint(lambda: GossipNode(config, boot), sock=sock)
    await node.run()


if __name__ == "__main__":
    asyncio.run(main(Path(sys.argv[1])))
