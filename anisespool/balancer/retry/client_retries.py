"""Is a request a client's retry, and how long has the client waited already?

A request does not carry it. But a client gives each first attempt of a class the same time (the class's usual
one), and a retry what is left of the deadline. In an overload most work would otherwise go to retries that
can't be answered in time.
"""

from typing import NamedTuple

from anisespool.balancer.interface import RequestArrived, Settings

MAX_VOTES = 100
MIN_MAJORITY_VOTES = 4  # from this lead on the usual time of a class is known


class UsualTime(NamedTuple):
    """The majority vote (Boyer-Moore) on the time that clients give a request of one class."""

    remaining_ns: int
    votes: int
    """Its lead over all other times."""


class ClientRetryDetector:
    """Estimates how long a client has waited on earlier attempts of its own."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._usual = [UsualTime(0, 0)] * len(settings.classes)

    def waited_ns(self, event: RequestArrived) -> int:
        """Return the wait before this request, 0 if it is a first attempt; count its vote."""
        class_index = event.class_index
        usual_ns, votes = self._usual[class_index]
        if not votes:
            usual_ns = event.remaining_ns
        is_usual = abs(event.remaining_ns - usual_ns) <= self._settings.resolution_ns
        new_votes = min(votes + 1, MAX_VOTES) if is_usual else votes - 1
        self._usual[class_index] = UsualTime(usual_ns, new_votes)
        if is_usual or votes < MIN_MAJORITY_VOTES:
            return 0
        return max(0, self._settings.classes[class_index].deadline_ns - event.remaining_ns)
