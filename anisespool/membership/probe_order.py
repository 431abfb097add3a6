"""The order in which members are probed: round-robin, reshuffled each round (SWIM, section 4.3).

This bounds the time until a fault is detected: each member is probed within two rounds.
"""

from __future__ import annotations

from collections.abc import Callable


class ProbeOrder:
    """Chooses the next member to probe, from a shuffled round of all candidates."""

    def __init__(
        self,
        fleet_size: int,
        local_member: int,
        random_below: Callable[[int], int],
        is_candidate: Callable[[int], bool],
        is_skipped: Callable[[int], bool],
    ) -> None:
        """Create an empty round, which the first call of `next` fills.

        Args:
            fleet_size: Number of configured members, which are numbered from 0.
            local_member: This member's number, which is never probed.
            random_below: Takes n and returns a random integer from 0 to n - 1.
            is_candidate: Whether a member is alive or suspect; checked when a round begins and at its turn.
            is_skipped: Whether to skip a member's turn because this member already suspects it.
        """
        self._fleet_size = fleet_size
        self._local_member = local_member
        self._random_below = random_below
        self._is_candidate = is_candidate
        self._is_skipped = is_skipped
        # The last member of the list is probed next.
        self._round: list[int] = []

    def put_first(self, member: int) -> None:
        """Probe a member next, in addition to its turn in the round."""
        self._round.append(member)

    def next(self) -> int | None:
        """Return the next member to probe, or None if there is no candidate."""
        for _ in range(2):  # The rest of the current round, then a new round.
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
