"""Until when an answer is of value, and how long a request may still wait.

A request has three instants. After its latency objective an answer is late; after its end of use an answer is
of no value to its client; at its deadline the client gives up. Without an attempt in flight, a request whose
end of use can't be met any more is answered at once: rejected where that is harmless to repeat, else failed
(retry/idempotency.py). The proxy keeps two reserves before the client's deadline (proxy/deadlines.py), and a
graceful shutdown has its own end (sidecar/shutdown.py).
"""

from __future__ import annotations

from anisespool.balancer import interface as api

RECHECK_INTERVAL_OBJECTIVE_PERCENT = 5  # of the latency objective, between two looks for an eligible endpoint


class Deadlines:
    """The instants of one request, monotonic ns. They don't change.

    A plain class with slots: each request makes one, and a named tuple costs twice as much.

    Attributes:
        objective_at: A later answer misses the latency objective.
        useful_until: A later answer has no value: the objective, or the deadline where the class values late
            answers.
        deadline_at: The client gives this attempt of its own up.
    """

    __slots__ = ("deadline_at", "objective_at", "useful_until")

    def __init__(
        self, event: api.RequestArrived, request_class: api.RequestClass, waited_ns: int, now: int
    ) -> None:
        """Set the instants of a request that arrives `now`.

        Args:
            event: Its arrival, with the time that its client leaves and its work hint.
            request_class: Objective, stretch of the objective by the hint, value of an answer past it.
            waited_ns: Time that the client spent on earlier attempts (retry/client_retries.py).
            now: Monotonic ns.
        """
        stretch_ns = int(request_class.objective_stretch * (event.work_hint_ns or 0))
        target_ns = request_class.target_ns + stretch_ns
        deadline_at = now + event.remaining_ns
        objective_at = now + min(target_ns - waited_ns, event.remaining_ns)
        self.objective_at = objective_at
        self.useful_until = deadline_at if request_class.late_priority_weight else objective_at
        self.deadline_at = deadline_at

    def useful_time_in_queue_ns(
        self, now: int, queued_before: int, expected_latency_ns: float, pause_ns: int
    ) -> int:
        """Return how long an ordered request may still wait for its turn; 0 or less: it gives up now.

        Args:
            now: Monotonic ns.
            queued_before: Requests of the same ordering key before it. A stuck one would hold all behind it
                until they are late, so each leaves while it can still be answered elsewhere.
            expected_latency_ns: Time that each of them is expected to take.
            pause_ns: Rest of the pause of its ordering key.
        """
        return self.useful_until - now - int(queued_before * expected_latency_ns) - pause_ns

    def attempt_end_at(self, is_stream: bool) -> int:
        """Return when an attempt ends that has no time-out: a stream may go on until the deadline."""
        return self.deadline_at if is_stream else self.useful_until


def recheck_delay_ns(target_ns: int, time_left_ns: int) -> int:
    """Return when to look for an eligible endpoint again, where there was none.

    Args:
        target_ns: The latency objective of the request's class.
        time_left_ns: To the request's deadline.
    """
    return min(target_ns * RECHECK_INTERVAL_OBJECTIVE_PERCENT // 100, time_left_ns)
