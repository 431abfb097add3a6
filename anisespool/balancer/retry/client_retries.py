"""Detects requests that are a client's own retries, and how long the client has waited.

A request does not show how long its client has waited. But a client gives every first attempt of a class the
same time, and a retry only what is left of the deadline. Without the detection, most work in an overload
would go to retries that can't be answered in time.
"""

from anisespool.balancer.interface import RequestArrived, Settings

MAX_VOTES = 100  # bounds the lead, so that a new usual time can replace the old one
MIN_MAJORITY_VOTES = 4  # lead from which on a class's usual time counts as known


class GivenTimeVote:
    """A Boyer-Moore majority vote on the time that clients give requests of one class.

    Attributes:
        given_ns: The candidate: the usual time.
        lead: Votes for the candidate minus votes for all other times.
    """

    __slots__ = ("given_ns", "lead")

    def __init__(self) -> None:
        self.given_ns = 0
        self.lead = 0


class ClientRetryDetector:
    """Estimates how long a client has waited for its earlier attempts of the same request."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._votes_by_class = [GivenTimeVote() for _ in settings.classes]

    def waited_ns(self, event: RequestArrived) -> int:
        """Count a request's vote, and return how long its client has waited; 0 for a first attempt."""
        class_index = event.class_index
        vote = self._votes_by_class[class_index]
        lead = vote.lead
        # A wait in the sidecar says nothing about the client, so it counts as time that the client gave.
        given_ns = event.remaining_ns + event.queued_ns
        if not lead:
            vote.given_ns = given_ns
        is_usual = abs(given_ns - vote.given_ns) <= self._settings.resolution_ns
        vote.lead = min(lead + 1, MAX_VOTES) if is_usual else lead - 1
        if is_usual or lead < MIN_MAJORITY_VOTES:
            return 0
        return max(0, self._settings.classes[class_index].deadline_ns - given_ns)
