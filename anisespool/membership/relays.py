"""Pings that this member sends as a helper for others (SWIM's ping-req), until their ACK or expiry."""

from __future__ import annotations

from dataclasses import dataclass

from anisespool.membership.config import MembershipConfig


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping on behalf of another member.

    Attributes:
        requester: Member that sent the ping-req.
        requester_sequence: Sequence number of the ping-req, which the relayed ACK repeats.
        target: The pinged member.
        expires_at_ns: Monotonic time of expiry; expired relays are removed when a ping-req arrives.
    """

    requester: int
    requester_sequence: int
    target: int
    expires_at_ns: int


class RelayTable:
    """Relays by the sequence number of their ping; bounded, because any member may send ping-reqs."""

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self._relays: dict[int, Relay] = {}

    def __len__(self) -> int:
        return len(self._relays)

    def ensure_capacity(self, now_ns: int) -> bool:
        """Remove expired relays, and return whether one more relay is allowed."""
        expired = [sequence for sequence, relay in self._relays.items() if relay.expires_at_ns <= now_ns]
        for sequence in expired:
            del self._relays[sequence]
        return len(self._relays) < self._config.max_relays

    def add(self, sequence: int, relay: Relay) -> None:
        """Add the relay whose ping has this sequence number."""
        self._relays[sequence] = relay

    def complete(self, sequence: int, sender: int) -> Relay | None:
        """Remove the relay that an ACK completes; return it if the ACK is from its target, otherwise None."""
        relay = self._relays.pop(sequence, None)
        return relay if relay is not None and relay.target == sender else None

    def clear(self) -> None:
        """Drop all relays after a pause of this process, because their requesters have stopped waiting."""
        self._relays.clear()
