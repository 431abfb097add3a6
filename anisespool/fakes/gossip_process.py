"""A process that detects dead members by gossip, and reserves its share of a common budget.

`python -m anisespool.fakes.gossip_process FILE` runs one member. The lab tests its faulty network with such
members, and its checks with mutations: versions that are broken on purpose.

The protocol is that of "A gossip-style failure detection service" (van Renesse, Minsky, Hayden, 1998). Each
member increments its own heartbeat counter, and sends it, with the counters of members that it considers
alive, to a few random members. A member whose counter has not grown for a while is considered dead. The boot
number is compared before the counter, so that a restarted member supersedes its earlier run. A member that
was paused itself restarts the timeouts of all others. The share of the budget does not depend on the view:
it is the whole divided by the number of all members.

It prints a line of JSON for each change of the view (`view`) and each member declared dead (`dead`).
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
"""Delay of its own heartbeat from which a member concludes that it was paused."""
BUDGET_HOLD_S = 0.2
"""Duration of a reservation."""
HEARTBEAT_FORMAT = struct.Struct("!BHI")
"""The encoding of a heartbeat in a datagram: member, boot, counter."""
MAX_DATAGRAM_HEARTBEATS = 36
"""Maximum for a datagram; these fit into 256 bytes."""


class Mutation(StrEnum):
    """A deliberate defect, by its name in scenarios and stored finds."""

    NONE = ""
    HEARS_ONLY_ITSELF = "hears-only-itself"
    """Accepts the heartbeat of a member only from that member itself."""
    KEEPS_THE_DEAD = "keeps-the-dead"
    """Never declares a member dead."""
    SPLITS_BY_VIEW = "splits-by-view"
    """Divides the budget by the number of members that it considers alive."""
    TRUSTS_ITS_CLOCK = "trusts-its-clock"
    """Counts its own pauses as silence of the others."""


MUTATIONS = tuple(mutation.value for mutation in Mutation)


class Heartbeat(NamedTuple):
    """A heartbeat counter of a member, as datagrams carry it."""

    member: int
    boot: int
    counter: int


@dataclass(slots=True)
class MemberState:
    """State of another member, according to its heartbeats."""

    last_seen_s: float
    boot: int = 0
    counter: int = 0
    is_alive: bool = False


@dataclass(frozen=True, slots=True)
class GossipConfig:
    """The configuration of one process.

    Attributes:
        number: Number of this member.
        listen: Address on which it listens; those in `peers` may belong to proxies.
        peers: Addresses of all members, itself included, by number. They also identify senders.
        budget_server: Address at which a share is reserved.
        budget: Budget of all members together.
        mutation: Deliberate defect of this member.
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
            SystemExit: The mutation is unknown.
        """
        raw = json.loads(text)
        if raw["spoilt"] not in MUTATIONS:
            raise SystemExit(f"unknown mutation {raw['spoilt']!r}, wanted one of {', '.join(MUTATIONS[1:])}")
        return cls(
            number=int(raw["number"]),
            listen=Address(*raw["listen"]),
            peers=[Address(*peer) for peer in raw["peers"]],
            budget_server=Address(*raw["till"]),
            budget=float(raw["budget"]),
            mutation=Mutation(raw["spoilt"]),
        )


class GossipNode(asyncio.DatagramProtocol):
    """One member, which gossips over UDP."""

    def __init__(self, config: GossipConfig, boot: int) -> None:
        now_s = time.monotonic()
        self._config = config
        self._mutation = config.mutation
        self._boot = boot
        self._counter = 0
        self._members = {
            number: MemberState(now_s) for number in range(len(config.peers)) if number != config.number
        }
        self._last_check_s = now_s
        self._printed_view: list[int] | None = None
        self._random = random.Random(boot * 1000 + config.number)
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = transport  # type: ignore[assignment]  # asyncio's is not a DatagramTransport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Merge the heartbeats in a valid datagram of a known member."""
        sender = next((n for n, peer in enumerate(self._config.peers) if peer == tuple(addr)), None)
        if sender is None or len(data) % HEARTBEAT_FORMAT.size:
            return
        for heartbeat in map(Heartbeat._make, HEARTBEAT_FORMAT.iter_unpack(data)):
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
            await asyncio.sleep(0)  # lets queued datagrams be read before a member is declared dead
            self.send_heartbeats()
            self.detect_failures(time.monotonic())
            self._last_check_s = time.monotonic()
            self.reserve_budget_share()
            due_s = time.monotonic() + HEARTBEAT_INTERVAL_S
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _merge(self, heartbeat: Heartbeat) -> None:
        state = self._members.get(heartbeat.member)
        if state is None or (heartbeat.boot, heartbeat.counter) <= (state.boot, state.counter):
            return
        trusts_clock = self._mutation is Mutation.TRUSTS_ITS_CLOCK
        state.last_seen_s = self._last_check_s if trusts_clock else time.monotonic()
        state.boot = heartbeat.boot
        state.counter = heartbeat.counter
        state.is_alive = True

    def send_heartbeats(self) -> None:
        """Send its own heartbeat, and some of living members, to a few random members."""
        self._counter += 1
        own = Heartbeat(self._config.number, self._boot, self._counter)
        others = [
            Heartbeat(number, state.boot, state.counter)
            for number, state in self._members.items()
            if state.is_alive
        ]
        chosen = self._random.sample(others, min(len(others), MAX_DATAGRAM_HEARTBEATS - 1))
        data = b"".join(HEARTBEAT_FORMAT.pack(*heartbeat) for heartbeat in [own, *chosen])
        for number in self._random.sample(sorted(self._members), min(FANOUT, len(self._members))):
            self._transport.sendto(data, self._config.peers[number])

    def detect_failures(self, now_s: float) -> None:
        """Declare members without a new heartbeat for `DEAD_AFTER_S` dead, and print a changed view."""
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

    def reserve_budget_share(self) -> None:
        """Reserve this member's share of the budget."""
        shares = len(self._config.peers)
        if self._mutation is Mutation.SPLITS_BY_VIEW:
            shares = 1 + len(self.alive_members())
        reservation = {
            "member": self._config.number,
            "units": self._config.budget / shares,
            "hold_s": BUDGET_HOLD_S,
        }
        self._transport.sendto(json.dumps(reservation).encode(), self._config.budget_server)


def print_event(kind: str, **fields: Any) -> None:
    """Print an event as a line of JSON."""
    print(json.dumps({"what": kind, "at_ns": time.monotonic_ns(), **fields}), flush=True)


def next_boot(path: Path) -> int:
    """Increment the boot number in a file beside the configuration, and return it."""
    boots = path.with_suffix(".boots")
    boot = int(boots.read_text()) + 1 if boots.exists() else 1
    boots.write_text(str(boot))
    return boot


async def main(path: Path) -> None:
    """Gossip with the configuration from a file until the process ends."""
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
