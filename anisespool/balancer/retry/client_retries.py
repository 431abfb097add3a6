"""Is a request a client's retry, and how long has the client waited already?

A request does not carry it. But a client gives each first attempt of a class the same time (the class's usual
one), and a retry what is left of the deadline. In an overload most work would otherwise go to retries that
can't be answered in time.
"""

from anisespool.balancer.interface import RequestArrived, Settings

MAX_VOTES = 100
MIN_MAJORITY_VOTES = 4  # from this lead on the usual time of a class is known


class UsualTime:
    """The majority vote (Boyer-Moore) on the time that clients give a request of one class.

    Attributes:
        remaining_ns: The time.
        votes: Its lead over all other times.
    """

    __slots__ = ("remaining_ns", "votes")

    def __init__(self) -> None:
        self.remaining_ns = 0
        self.votes = 0


class ClientRetryDetector:
    """Estimates how long a client has waited on earlier attempts of its own."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._usual = [UsualTime() for _ in settings.classes]

    def waited_ns(self, event: RequestArrived) -> int:
        """Return the wait before this request, 0 if it is a first attempt; count its vote."""
        class_index = event.class_index
        usual = self._usual[class_index]
        votes = usual.votes
        if not votes:
            usual.remaining_ns = event.remaining_ns
        is_usual = abs(event.remaining_ns - usual.remaining_ns) <= self._settings.resolution_ns
        usual.votes = min(votes + 1, MAX_VOTES) if is_usual else votes - 1
        if is_usual or votes < MIN_MAJORITY_VOTES:
            return 0
        return max(0, self._settings.classes[class_index].deadline_ns - event.remaining_ns)
