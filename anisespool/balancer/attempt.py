"""One attempt of a request. Instants (`*_at`) are monotonic ns."""

from __future__ import annotations

from anisespool.balancer.endpoint import Endpoint


class Attempt:
    """One attempt of a request at an endpoint.

    Attributes:
        expected_latency_ns: Expected latency of the request when the attempt was sent.
        in_flight_when_sent: This sidecar's attempts then in flight there, this one included.
        may_have_executed: False once an outcome proves that the endpoint did not execute the attempt.
    """

    def __init__(self, endpoint: Endpoint, sent_at: int, expected_latency_ns: float) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.expected_latency_ns = expected_latency_ns
        self.in_flight_when_sent = len(endpoint.in_flight) + 1
        self.in_flight = True
        self.may_have_executed = True
