"""Instants of a request: until when an answer has value, and how long the request may still wait.

An answer after the latency objective is late. An answer after the end of use (`useful_until`) has no value to
the client, which gives up at the deadline. A request without an attempt in flight that can no longer be
answered before its end of use is answered at once: rejected if a retry is harmless, otherwise failed
(retry/idempotency.py). The proxy keeps two reserves before the client's deadline (proxy/deadlines.py), and a
graceful shutdown has its own end (sidecar/shutdown.py).
"""

from __future__ import annotations

from anisespool.balancer import interface as api

RECHECK_INTERVAL_OBJECTIVE_PERCENT = 5  # part of the objective between two checks for an eligible endpoint


class Deadlines:
    """The instants of one request, in monotonic ns. They don't change.

    A plain class with slots, as each request creates one and a named tuple costs twice as much.

    Attributes:
        objective_at: A later answer misses the latency objective.
        useful_until: A later answer has no value: the objective, or the deadline if the class values late
            answers.
        deadline_at: When the client gives up its current attempt.
    """

    __slots__ = ("deadline_at", "objective_at", "useful_until")

    def __init__(
        self, event: api.RequestArrived, request_class: api.RequestClass, waited_ns: int, now: int
    ) -> None:
        """Set the instants of a request that arrives at `now`.

        Until then `waited_ns` went on the client's earlier attempts (retry/client_retries.py) and on its wait
        in the sidecar.
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
            queued_before: Earlier requests with the same ordering key. A stuck one would make all behind it
                late, so each gives up while it can still be answered elsewhere.
            expected_latency_ns: Assumed for each of the earlier requests.
            pause_ns: Remaining pause of the ordering key.
        """
        return self.useful_until - now - int(queued_before * expected_latency_ns) - pause_ns

    def attempt_end_at(self, is_stream: bool) -> int:
        """Return when an attempt without a time-out ends: the deadline for a stream, else the end of use."""
        return self.deadline_at if is_stream else self.useful_until


def recheck_delay_ns(target_ns: int, time_left_ns: int) -> int:
    """Return the delay until the next check for an eligible endpoint, at most until the deadline."""
    return min(target_ns * RECHECK_INTERVAL_OBJECTIVE_PERCENT // 100, time_left_ns)
