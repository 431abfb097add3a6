"""The order in which members are probed: round-robin, shuffled anew each round (SWIM, section 4.3).

It bounds the time until a fault is detected: a member is probed at the latest after two rounds.
"""

from __future__ import annotations

from collections.abc import Callable


class ProbeOrder:
    """The members that are still to be probed in this round."""

    def __init__(
        self,
        fleet_size: int,
        local_member: int,
        random_below: Callable[[int], int],
        is_candidate: Callable[[int], bool],
        is_skipped: Callable[[int], bool],
    ) -> None:
        """Create an empty round; the first `next` fills it.

        Args:
            fleet_size: Members by the settings; their numbers run from 0.
            local_member: This member's number, which is never probed.
            random_below: Takes n, returns a random integer from 0 to n - 1.
            is_candidate: Whether a member is alive or suspect; checked when a round begins and at its turn.
            is_skipped: Whether a member's turn is skipped, as this member suspects it already.
        """
        self._fleet_size = fleet_size
        self._local_member = local_member
        self._random_below = random_below
        self._is_candidate = is_candidate
        self._is_skipped = is_skipped
        self._round: list[int] = []  # the last is probed next

    def put_first(self, member: int) -> None:
        """Probe a member next, in addition to its turn in the round."""
        self._round.append(member)

    def next(self) -> int | None:
        """Return the next member to probe, or None if there is no candidate."""
        for _ in range(2):
            while self._round:
                member = self._round.pop()
                if self._is_candidate(member) and not self._is_skipped(member):
                    return member
            self._round = [
                member
                for member in range(self._fleet_size)
                if member != self._local_member and self._is_candidate(member)
            ]
            self._shuffle()
        return None

    def _shuffle(self) -> None:
        for place in range(len(self._round) - 1, 0, -1):
            other = self._random_below(place + 1)
            self._round[place], self._round[other] = self._round[other], self._round[place]
