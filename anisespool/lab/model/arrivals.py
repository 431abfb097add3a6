"""Arrivals of client requests. They are open loop: outcomes of requests never move later arrivals.

The simulation generates arrivals on its virtual clock. A run with real processes generates all of them
beforehand with the same code, and so has the same client requests at the same moments.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import accumulate
from math import exp, log, sqrt

from anisespool.lab.model.backend import span_ns
from anisespool.lab.model.clock import Clock
from anisespool.lab.model.metrics import ClientRequest
from anisespool.lab.model.random_streams import RandomStream, RandomStreams
from anisespool.lab.scenario import MS, SECOND, Burst, Class, Fault, Scenario

IDLE_NS = SECOND // 10  # interval at which a rate of 0 is checked again


class QuotaBuckets:
    """A token bucket for each tenant, which holds up to one second of the tenant's quota."""

    def __init__(self, quotas_per_s: list[float]) -> None:
        self._quotas_per_s = quotas_per_s
        self._tokens = [0.0] * len(quotas_per_s)
        self._refilled_at = 0

    def take(self, tenant: int, now: int) -> bool:
        """Takes a token of the tenant; returns False if none is left. Without tenants there is no quota."""
        if not self._quotas_per_s:
            return True
        elapsed_s = (now - self._refilled_at) / SECOND
        self._refilled_at = now
        for index, quota in enumerate(self._quotas_per_s):
            self._tokens[index] = min(quota, self._tokens[index] + elapsed_s * quota)
        self._tokens[tenant] -= 1
        if self._tokens[tenant] >= 0:
            return True
        self._tokens[tenant] = 0.0
        return False


class Arrivals:
    """Calls `on_arrival` for each client request of a run; `start` schedules the first.

    Args:
        random: Stream of all random numbers drawn here.
        span: First moment of the run, start of the scenario time and end of the run, ns.
    """

    def __init__(
        self,
        scenario: Scenario,
        random: RandomStream,
        clock: Clock,
        span: tuple[int, int, int],
        on_arrival: Callable[[ClientRequest], None],
    ) -> None:
        self._scenario = scenario
        self._random = random
        self._clock = clock
        self._on_arrival = on_arrival
        self._first, self._scenario_start, self._end = span
        self._client_requests = 0
        self._traffic_factor = 1.0
        self._tenant_traffic_factor = 1.0  # total rate relative to a run without faults of tenants
        self._zone_factors = dict.fromkeys(scenario.zones(), 1.0)
        self._tenant_factors = [1.0] * len(scenario.tenants)
        self._quotas = QuotaBuckets(scenario.quotas_per_s())
        self._class_shares = cumulative_shares([c.share for c in scenario.classes])
        self._sidecar_shares: list[float] = []
        self._tenant_shares: list[float] = []
        self.set_zone_traffic_factor(0, 1.0)
        if scenario.tenants:
            self.set_tenant_traffic_factor(0, 1.0)

    def set_traffic_factor(self, factor: float) -> None:
        """Multiplies the traffic of all clients. The factor replaces the one set before."""
        self._traffic_factor = factor

    def set_zone_traffic_factor(self, zone: int, factor: float) -> None:
        """Multiplies one zone's traffic. Zones without a factor get less: the total stays the same."""
        self._zone_factors[zone] = factor
        usual = self._usual_shares()
        factors = [self._zone_factors[zone] for zone in self._scenario.sidecar_zones()]
        changed = [share * factor for share, factor in zip(usual, factors, strict=True)]
        added = sum(changed) - sum(usual)
        others = sum(share for share, factor in zip(usual, factors, strict=True) if factor == 1.0)
        others_factor = max(0.0, 1 - added / others) if others else 1.0
        self._sidecar_shares = cumulative_shares(
            [
                share if factor != 1.0 else share * others_factor
                for share, factor in zip(changed, factors, strict=True)
            ]
        )

    def _usual_shares(self) -> list[float]:
        """Relative traffic of each sidecar without faults."""
        traffic = self._scenario.traffic
        count = max(1, self._scenario.sidecars)
        zones = list(self._zone_factors)
        shares = []
        for index, zone in enumerate(self._scenario.sidecar_zones()):
            skew = 1 + traffic.zone_skew * (1 - 2 * zones.index(zone) / max(1, len(zones) - 1))
            shares.append((1 - traffic.uneven * index / count) * skew)
        return shares

    def set_tenant_traffic_factor(self, tenant: int, factor: float) -> None:
        """Multiplies one tenant's traffic. The other tenants' traffic stays the same."""
        self._tenant_factors[tenant] = factor
        usual = [tenant.share * tenant.usage for tenant in self._scenario.tenants]
        changed = [share * factor for share, factor in zip(usual, self._tenant_factors, strict=True)]
        self._tenant_traffic_factor = sum(changed) / sum(usual)
        self._tenant_shares = cumulative_shares(changed)

    def start(self) -> None:
        """Schedules the first arrival and all bursts."""
        self._clock.at(self._first, self._next_arrival)
        for burst in self._scenario.bursts:
            self._clock.at(self._scenario_start + int(burst.at_s * SECOND), self._burst, burst)

    def _next_arrival(self) -> None:
        """Generates an arrival of the traffic outside bursts, and schedules the next."""
        now = self._clock.now
        rate_per_s = self._rate_per_s(now)
        if self._first < now < self._end:
            class_index = self._random.pick(self._class_shares)
            tenant = self._random.pick(self._tenant_shares) if self._tenant_shares else 0
            self._arrive(class_index, tenant)
        if now >= self._end:
            return
        if rate_per_s <= 0:
            self._clock.after(IDLE_NS, self._next_arrival)
            return
        gap = self._random.exponential() if self._scenario.traffic.arrivals == "poisson" else 1.0
        self._clock.after(max(1, int(gap / rate_per_s * SECOND)), self._next_arrival)

    def _rate_per_s(self, now: int) -> float:
        traffic = self._scenario.traffic
        rate = traffic.per_s
        if traffic.until_per_s is not None:
            elapsed = (now - self._scenario_start) / (self._end - self._scenario_start)
            rate += (traffic.until_per_s - rate) * min(1.0, max(0.0, elapsed))
        return rate * (self._traffic_factor * self._tenant_traffic_factor)

    def _burst(self, burst: Burst) -> None:
        for _ in range(burst.count):
            delay = int(self._random.uniform() * burst.over_ms * MS)
            self._clock.after(delay, self._arrive, burst.cls)
        if burst.every_s and self._clock.now + burst.every_s * SECOND < self._end:
            self._clock.after(int(burst.every_s * SECOND), self._burst, burst)

    def _arrive(self, class_index: int, tenant: int = 0) -> None:
        """Creates a client request. The order of the draws is fixed: another one would change all runs."""
        clients = self._scenario.clients
        random = self._random
        work = self._draw_work(self._scenario.classes[class_index])
        self._client_requests += 1
        sidecar = random.pick(self._sidecar_shares)
        patience = random.uniform(*clients.gives_up)
        honors_retry_after = random.uniform() < clients.honour
        within_quota = self._quotas.take(tenant, self._clock.now)
        self._on_arrival(
            ClientRequest(
                self._client_requests,
                class_index,
                self._clock.now,
                max(1, int(work)),
                sidecar,
                patience,
                honors_retry_after,
                tenant,
                1.0 if within_quota else self._scenario.over_share_worth,
            )
        )

    def _draw_work(self, spec: Class) -> float:
        work = spec.work_ms * MS
        if spec.work == "exponential":
            work *= self._random.exponential()
        elif spec.work == "lognormal":
            variance = log(1 + spec.cv * spec.cv)
            work *= exp(self._random.normal() * sqrt(variance) - variance / 2)
        return work


def plan_client_requests(scenario: Scenario, seed: int) -> list[ClientRequest]:
    """All client requests of a run in order of arrival, as in the simulation. The run begins at 0 ns."""
    clock = Clock(0)
    client_requests: list[ClientRequest] = []
    begin, end = span_ns(scenario, 0)
    random = RandomStreams(seed).named("arrivals")
    arrivals = Arrivals(scenario, random, clock, (0, begin, end), client_requests.append)
    arrivals.start()
    for fault in scenario.faults:
        starts_at = begin + int(fault.at_s * SECOND)
        _schedule_factor(clock, arrivals, fault, starts_at, fault.size)
        _schedule_factor(clock, arrivals, fault, starts_at + int(fault.for_s * SECOND), 1.0)
    clock.run(end)
    return client_requests


def _schedule_factor(clock: Clock, arrivals: Arrivals, fault: Fault, when: int, factor: float) -> None:
    """Schedules the fault's traffic factor, if it has one."""
    if fault.kind == "traffic":
        clock.at(when, arrivals.set_traffic_factor, factor)
    elif fault.kind == "tenant":
        clock.at(when, arrivals.set_tenant_traffic_factor, fault.tenant, factor)
    elif fault.kind == "shift":
        clock.at(when, arrivals.set_zone_traffic_factor, fault.zone, factor)


def cumulative_shares(weights: list[float]) -> list[float]:
    """Running sums of the weights, scaled to end at 1."""
    total = sum(weights)
    return list(accumulate(weight / total for weight in weights))
