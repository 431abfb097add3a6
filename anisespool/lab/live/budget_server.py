"""A server at which members report the units of a shared budget that they reserve. It enforces no limit.

It measures by its own clock how many units are reserved at a time, whatever else members report.
"""

from __future__ import annotations

import asyncio
import heapq
import json
from typing import Any, NamedTuple

from anisespool.config.platform import Address
from anisespool.lab.live.datagram_network import HOST, Clock
from anisespool.lab.scenario import MS, SECOND

MAX_PEAKS = 100_000
MAX_RESERVATIONS = 10_000
SLOT_NS = 100 * MS


class BudgetPeak(NamedTuple):
    """The most units that were reserved at any one moment of a 100 ms slot."""

    slot: int
    units: float


class _Reservation(NamedTuple):
    expires_at: int
    units: float


class _Expiry(NamedTuple):
    expires_at: int
    member: int


class BudgetServer(asyncio.DatagramProtocol):
    """Accepts datagrams `{"member", "units", "hold_s"}`. A new reservation replaces the member's last one."""

    def __init__(self, clock: Clock) -> None:
        self.peaks: list[BudgetPeak] = []
        self.address = Address("", 0)
        self._clock = clock
        self._reservations: dict[int, _Reservation] = {}  # keyed by member
        self._expiries: list[_Expiry] = []  # heap, earliest first
        self._transport: asyncio.BaseTransport | None = None

    async def open(self) -> None:
        """Bind a free port on loopback."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(HOST, 0))
        self._transport = transport
        self.address = Address(*transport.get_extra_info("sockname"))

    def close(self) -> None:
        """Close the socket."""
        if self._transport:
            self._transport.close()

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Record a reservation; ignore datagrams of another form."""
        try:
            request = json.loads(data)
            member = int(request["member"])
            units = float(request["units"])
            hold_ns = int(float(request["hold_s"]) * SECOND)
        except (ValueError, KeyError, TypeError):
            return
        now = self._clock.now
        self._drop_expired(now)
        if len(self._reservations) >= MAX_RESERVATIONS and member not in self._reservations:
            return
        self._reservations[member] = _Reservation(now + hold_ns, units)
        heapq.heappush(self._expiries, _Expiry(now + hold_ns, member))
        self._record_peak(now)

    def _drop_expired(self, now: int) -> None:
        while self._expiries and self._expiries[0].expires_at <= now:
            member = heapq.heappop(self._expiries).member
            reservation = self._reservations.get(member)
            if reservation and reservation.expires_at <= now:
                del self._reservations[member]

    def _record_peak(self, now: int) -> None:
        slot = now // SLOT_NS
        total = sum(reservation.units for reservation in self._reservations.values())
        if self.peaks and self.peaks[-1].slot == slot:
            self.peaks[-1] = BudgetPeak(slot, max(total, self.peaks[-1].units))
        elif len(self.peaks) < MAX_PEAKS:
            self.peaks.append(BudgetPeak(slot, total))
