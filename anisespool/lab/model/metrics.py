"""Metrics of a run: outcomes by class, latencies, counts for each second, and checks of the counts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

from anisespool.lab.scenario import MS, SECOND, Scenario

OUTCOMES = ("in_time", "late", "refused", "failed", "gone")
LONGEST_US = 3_600_000_000  # highest latency that a histogram can hold

# Weights of the parts of `net`, as the site's operators use them to rate a day.
WEIGHT_SERVICE = 0.45
WEIGHT_WORST_WINDOW = 0.15
WEIGHT_WORST_CLASS = 0.3
WEIGHT_WORST_TENANT = 0.1


class VoidError(RuntimeError):
    """The model's own counts do not balance, so the run has no valid result."""


@dataclass(slots=True)
class ClientRequest:
    """A client's request, which it may send several times until it is served.

    Attributes:
        arrived_at: When the client sends it for the first time, ns.
        work_ns: Work of an execution, as its service time at a speed of 1.
        sidecar: Index of the application, whose current sidecar gets the request.
        patience: Share of the deadline for which the client waits each time.
        honors_retry_after: Whether the client waits for the time in a Retry-After.
        weight: Factor of the class's priority weight; lower if the tenant was over its quota.
        attempts_made: How many times the client has sent it.
        executions: Executions begun at all endpoints together.
        last_rejection: Time of the last rejection and its Retry-After, ns.
        outcome: One of OUTCOMES; empty while the request has none.
    """

    number: int
    class_index: int
    arrived_at: int
    work_ns: int
    sidecar: int
    patience: float
    honors_retry_after: bool
    tenant: int = 0
    weight: float = 1.0
    attempts_made: int = 0
    executions: int = 0
    rejections: int = 0
    last_rejection: tuple[int, int] = (0, 0)
    outcome: str = ""

    @property
    def last_retry_after(self) -> int:
        """The Retry-After of the last rejection, ns; 0: none."""
        return self.last_rejection[1]


@dataclass
class RunMetrics:
    """Counts of the client requests that arrived after the warm-up.

    Attributes:
        warmup_end: End of the warm-up, ns.
        requested: Client requests, by class.
        ended: Client requests with an outcome, by class and outcome.
        windows: Client requests by class and outcome, for each second of arrival.
        latency: Latency histogram of served client requests for each class, us.
        attempts: Attempts that sidecars sent to endpoints, including the warm-up.
        crossings: Attempts from one zone to another, after the warm-up.
        handshakes: Connections opened after the warm-up.
        list_entries: Entries of endpoint lists that sidecars received after the warm-up.
        requests_sent: Requests that sidecars got, including the warm-up. Each retry is another request.
        requests_measured: Ended requests whose client request arrived after the warm-up.
        requests_rejected: Requests in `requests_measured` that were rejected.
        retry_after_outcomes: Retries after a Retry-After, by whether they were served (or rejected again).
        weight_requested: Total weight of the client requests.
        weight_in_time: Total weight of the client requests served in time.
        weight_late: Total weight of the client requests that ended after their latency objective.
        by_tenant: Client requests within the quota for each tenant, by whether they were served in time.
    """

    scenario: Scenario
    warmup_end: int
    requested: Counter[int] = field(default_factory=Counter)
    ended: Counter[tuple[int, str]] = field(default_factory=Counter)
    windows: dict[int, Counter[tuple[int, str]]] = field(default_factory=dict)
    latency: list[HdrHistogram] = field(default_factory=list)
    attempts: int = 0
    crossings: int = 0
    handshakes: int = 0
    list_entries: int = 0
    requests_sent: int = 0
    requests_measured: int = 0
    requests_rejected: int = 0
    retry_after_outcomes: Counter[bool] = field(default_factory=Counter)
    weight_requested: float = 0.0
    weight_in_time: float = 0.0
    weight_late: float = 0.0
    by_tenant: dict[int, Counter[bool]] = field(default_factory=dict)
    _requests_closed: int = 0
    _open: int = 0
    _open_over_time: int = 0  # number of open requests, integrated over time, ns
    _time_in_system: int = 0  # sum of the durations of ended requests, ns
    _integrated_until: int = 0

    def __post_init__(self) -> None:
        self.latency = [HdrHistogram(1, LONGEST_US, 3) for _ in self.scenario.classes]

    def request_opened(self, now: int) -> None:
        """Records that a client sent a request."""
        self._integrate(now)
        self._open += 1
        self.requests_sent += 1

    def request_closed(self, now: int, opened_at: int) -> None:
        """Records that a request got its final response, or that its client gave up."""
        self._integrate(now)
        self._open -= 1
        self._requests_closed += 1
        self._time_in_system += now - opened_at

    def _integrate(self, now: int) -> None:
        self._open_over_time += self._open * (now - self._integrated_until)
        self._integrated_until = now

    def record_client_request(self, client_request: ClientRequest) -> None:
        """Records a client request before it is sent for the first time."""
        if client_request.arrived_at >= self.warmup_end:
            self.requested[client_request.class_index] += 1
            self.weight_requested += self._weight(client_request)

    def _weight(self, client_request: ClientRequest) -> float:
        return self.scenario.classes[client_request.class_index].priority_weight * client_request.weight

    def record_client_attempt(self, client_request: ClientRequest, rejected: bool) -> None:
        """Records that a request of a client request, first or retry, ended: `rejected` or otherwise."""
        if client_request.arrived_at >= self.warmup_end:
            self.requests_measured += 1
            self.requests_rejected += rejected

    def end(self, client_request: ClientRequest, now: int, outcome: str) -> None:
        """Records the first outcome of a client request. "served" becomes "in_time" or "late"."""
        if client_request.outcome:
            return
        latency = now - client_request.arrived_at
        in_target = latency <= self.scenario.classes[client_request.class_index].target_ms * MS
        if outcome == "served":
            outcome = "in_time" if in_target else "late"
        client_request.outcome = outcome
        if client_request.arrived_at < self.warmup_end:
            return
        self.ended[client_request.class_index, outcome] += 1
        self._count_weight(client_request, outcome, in_target)
        window = self.windows.setdefault((client_request.arrived_at - self.warmup_end) // SECOND, Counter())
        window[client_request.class_index, outcome] += 1
        if outcome in ("in_time", "late"):
            self.latency[client_request.class_index].record_value(max(1, latency // 1000))

    def _count_weight(self, client_request: ClientRequest, outcome: str, in_target: bool) -> None:
        if outcome == "in_time":
            self.weight_in_time += self._weight(client_request)
        elif not in_target:
            self.weight_late += self._weight(client_request)
        if client_request.weight == 1.0:
            self.by_tenant.setdefault(client_request.tenant, Counter())[outcome == "in_time"] += 1

    def check_balance(self, now: int) -> None:
        """Checks that all requests have ended, and Little's law by two independent sums.

        Raises:
            VoidError: The counts do not balance.
        """
        self._integrate(now)
        if self._open or self.requests_sent != self._requests_closed:
            raise VoidError(
                f"{self.requests_sent} requests sent, {self._requests_closed} ended, {self._open} open"
            )
        if self._open_over_time != self._time_in_system:
            raise VoidError(f"Little's law: {self._open_over_time} ns open, {self._time_in_system} ns spent")
        requested = sum(self.requested.values())
        ended = sum(self.ended.values())
        if requested != ended:
            raise VoidError(f"{requested} client requests arrived, {ended} ended")

    def service(self) -> float:
        """The share of the requested weight that was served in time."""
        return self.weight_in_time / self.weight_requested if self.weight_requested else 1.0

    def prices(self) -> dict[str, float]:
        """Costs that `net` subtracts, by cause."""
        prices = self.scenario.prices
        requested = max(1, sum(self.requested.values()))
        return {
            "cross_zone": prices.cross_zone * self.crossings / requested,
            "handshake": prices.handshake * self.handshakes / requested,
            "late_fail": prices.late_fail * self.weight_late / (self.weight_requested or 1.0),
            "list_line": prices.list_line * self.list_entries / 100 / requested,
        }

    def by_second(self) -> list[tuple[float, float]]:
        """Weight served in time and weight requested for each second, by arrival of the client requests."""
        weights = [request_class.priority_weight for request_class in self.scenario.classes]
        sums = []
        for second in range(max(self.windows, default=-1) + 1):
            window = self.windows.get(second, Counter())
            in_time = sum(
                weights[class_index] * count
                for (class_index, outcome), count in window.items()
                if outcome == "in_time"
            )
            requested = sum(weights[class_index] * count for (class_index, _), count in window.items())
            sums.append((in_time, requested))
        return sums

    def worst_window(self, seconds: int = 10) -> float:
        """The lowest service in any `seconds` consecutive seconds. Quotas do not change the weights here."""
        sums = self.by_second()
        spans = [sums[n : n + seconds] for n in range(max(1, len(sums) - seconds + 1))]
        services = (
            sum(in_time for in_time, _ in span) / (sum(requested for _, requested in span) or 1.0)
            for span in spans
        )
        return min(services, default=1.0)

    def worst_class(self) -> float:
        """The share served in time of the class with the lowest one."""
        shares = (self.ended[cls, "in_time"] / count for cls, count in self.requested.items() if count)
        return min(shares, default=1.0)

    def worst_tenant(self) -> float:
        """The share served in time, within quota, of the tenant with the lowest one."""
        shares = (counts[True] / sum(counts.values()) for counts in self.by_tenant.values())
        return min(shares, default=1.0)

    def net(self) -> float:
        """Weighted sum of total service, worst ten seconds, worst class and worst tenant, less the prices."""
        weighted = (
            (WEIGHT_SERVICE, self.service()),
            (WEIGHT_WORST_WINDOW, self.worst_window()),
            (WEIGHT_WORST_CLASS, self.worst_class()),
            (WEIGHT_WORST_TENANT, self.worst_tenant()),
        )
        return sum(weight * part for weight, part in weighted) - sum(self.prices().values())

    def share(self, outcome: str) -> float:
        """Share of the client requests that ended with `outcome`."""
        requested = sum(self.requested.values())
        if not requested:
            return 0.0
        return sum(count for (_, found), count in self.ended.items() if found == outcome) / requested

    def quantile_ms(self, quantile: float) -> float:
        """Latency at a quantile over all classes, ms."""
        merged = HdrHistogram(1, LONGEST_US, 3)
        for histogram in self.latency:
            merged.add(histogram)
        if not merged.get_total_count():
            return 0.0
        return float(merged.get_value_at_percentile(100 * quantile)) / 1000

    def figures(self) -> dict[str, Any]:
        """All figures by their names in results and in `--json` output."""
        requested = sum(self.requested.values())
        return {
            "service": self.service(),
            "asked": requested,
            **{outcome: self.share(outcome) for outcome in OUTCOMES},
            "p50_ms": self.quantile_ms(0.5),
            "p99_ms": self.quantile_ms(0.99),
            "attempts": self.attempts / max(1, requested),
            "tries": self.requests_sent / max(1, requested),
            "tries_refused": self.requests_rejected / max(1, self.requests_measured),
            "net": self.net(),
            **{f"price_{what}": price for what, price in self.prices().items()},
            "worst_window": self.worst_window(),
            "worst_class": self.worst_class(),
            "worst_tenant": self.worst_tenant(),
            "honest": self.retry_after_outcomes[True] / max(1, sum(self.retry_after_outcomes.values())),
        }
