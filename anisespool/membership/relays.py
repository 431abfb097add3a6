"""Pings that this member sends as a helper for others (SWIM's ping-req), until their ACK or expiry."""

from __future__ import annotations

from dataclasses import dataclass

from anisespool.membership.config import MembershipConfig


@dataclass(frozen=True, slots=True)
class Relay:
    """A ping on behalf of another member.

    Attributes:
        requester: Member that sent the ping-req.
        requester_sequence: The requester's sequence number, under which the ACK is relayed.
        target: The member pinged.
        expires_at_ns: From this instant the relay is removed once another is requested; monotonic.
    """

    requester: int
    requester_sequence: int
    target: int
    expires_at_ns: int


class RelayTable:
    """Relays by the sequence number of their own ping; bounded, as any member may send ping-reqs."""

    def __init__(self, config: MembershipConfig) -> None:
        self._config = config
        self._relays: dict[int, Relay] = {}

    def __len__(self) -> int:
        return len(self._relays)

    def has_capacity(self, now_ns: int) -> bool:
        """Return whether one more relay is allowed, after those that have expired were removed.

        Args:
            now_ns: Monotonic time.
        """
        expired = [sequence for sequence, relay in self._relays.items() if relay.expires_at_ns <= now_ns]
        for sequence in expired:
            del self._relays[sequence]
        return len(self._relays) < self._config.max_relays

    def add(self, sequence: int, relay: Relay) -> None:
        """Add the relay whose ping has this sequence number."""
        self._relays[sequence] = relay

    def complete(self, sequence: int, sender: int) -> Relay | None:
        """Remove the relay that an ACK is for; return it, or None where the sender is not its target."""
        relay = self._relays.pop(sequence, None)
        return relay if relay is not None and relay.target == sender else None

    def clear(self) -> None:
        """Drop all relays, as after a pause their requesters no longer wait."""
        self._relays.clear()
